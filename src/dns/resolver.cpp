#include "dns/resolver.h"

#include <algorithm>

namespace peargrade::dns {

Resolver::Active::Active(Resolver& owner, const Question& question)
    : owner(owner),
      asked(question),
      question(question),
      query(std::make_unique<Query>(owner.settings_, owner.servers_)),
      begun(owner.clock_()),
      wait(owner.base_, [this] { this->owner.onTimeout(*this); }),
      whole(owner.base_, [this] { this->owner.onTooLong(*this); }) {}

Resolver::Resolver(event_base* base, const Settings& settings, Clock clock, Random random, log::Log& log)
    : base_(base),
      settings_(settings),
      clock_(std::move(clock)),
      random_(std::move(random)),
      log_(log),
      servers_(settings.servers.size()),
      cache_(settings_),
      cleaner_(base, [this] {
        over_.clear();
        next();
      }) {}

Resolver::~Resolver() {
  for (auto& [question, active] : active_) closeTransport(*active, log::CloseReason::Stopping, "");
}

Result Resolver::failedResult(const Question& question, Verdict verdict) {
  if (const Result* known = cache_.stale(question, clock_())) {
    ++counts_.stale;
    Result result = *known;
    result.stale = true;
    result.verdict = verdict;
    return result;
  }
  Result result;
  result.verdict = verdict;
  return result;
}

void Resolver::resolve(const Question& question, Told told, bool fresh) {
  const auto under = active_.find(question);
  if (under != active_.end()) return under->second->waiting.push_back(std::move(told));
  const Cache::Found found = cache_.find(question, clock_());
  if (found.result != nullptr && (!fresh || found.askNotBefore > clock_())) {
    ++counts_.cached;
    const Result result = *found.result;
    return told(result);
  }
  if (settings_.servers.empty() || found.askNotBefore > clock_())
    return told(failedResult(question, Verdict::ServFail));
  const auto queued = queued_.find(question);
  if (queued != queued_.end()) return queued->second.push_back(std::move(told));
  if (static_cast<int>(active_.size()) < settings_.inFlight) return start(question, std::move(told));
  if (queue_.size() >= settings_.waiting) {
    ++counts_.turnedAway;
    return told(failedResult(question, Verdict::ServFail));
  }
  queue_.push_back(question);
  queued_[question].push_back(std::move(told));
}

void Resolver::start(const Question& question, Told told) {
  ++counts_.asked;
  auto owned = std::make_unique<Active>(*this, question);
  Active& active = *owned;
  active.waiting.push_back(std::move(told));
  active_[question] = std::move(owned);
  active.whole.schedule(settings_.lookupFor);
  carryOut(active, active.query->begin(clock_()));
}

void Resolver::next() {
  while (!queue_.empty() && static_cast<int>(active_.size()) < settings_.inFlight) {
    const Question question = queue_.front();
    queue_.pop_front();
    auto waiting = queued_.extract(question);
    start(question, std::move(waiting.mapped().front()));
    const auto under = active_.find(question);
    for (std::size_t k = 1; k < waiting.mapped().size(); ++k) {
      if (under != active_.end())
        under->second->waiting.push_back(std::move(waiting.mapped()[k]));
      else
        waiting.mapped()[k](failedResult(question, Verdict::ServFail));
    }
  }
}

// Each step has a socket, a port and an id of its own.
void Resolver::carryOut(Active& active, const Query::Step& step) {
  closeTransport(active, log::CloseReason::Discarded, "");
  active.step = step;
  active.id = static_cast<std::uint16_t>(random_());
  switch (step.what) {
    case Query::Step::Do::Done:
      return onDone(active);
    case Query::Step::Do::Udp:
      return sendUdp(active);
    case Query::Step::Do::Tcp:
      return sendTcp(active);
  }
}

void Resolver::sendUdp(Active& active) {
  net::Datagram::Handlers handlers;
  handlers.data = [this, &active](const std::string& bytes) { onBytes(active, bytes); };
  handlers.failed = [this, &active](const std::string&) { onFailed(active, "refused"); };
  active.udp = std::make_unique<net::Datagram>(base_, settings_.servers[active.step.server], random_,
                                               std::move(handlers));
  active.wait.schedule(active.step.wait);
  // What cannot be sent is taken for lost: the wait bounds it and keeps this from going round in the
  // callback.
  active.udp->send(encode(active.question, active.id, active.step.edns ? settings_.payload : 0));
}

void Resolver::sendTcp(Active& active) {
  ++counts_.tcp;
  active.input.clear();
  net::Stream::Handlers handlers;
  handlers.up = [this, &active] {
    const std::string body = encode(active.question, active.id, active.step.edns ? settings_.payload : 0);
    const std::string length{static_cast<char>(body.size() >> 8), static_cast<char>(body.size() & 255)};
    active.tcp->send(length + body);
  };
  handlers.data = [this, &active](evbuffer* input) { onTcpData(active, input); };
  handlers.end = [this, &active](log::CloseReason reason, const std::string& detail) {
    closeTransport(active, reason, detail);
    onFailed(active, log::code(reason));
  };
  active.tcp = std::make_unique<net::Stream>(base_, settings_.servers[active.step.server], active.step.wait,
                                             std::move(handlers));
  active.wait.schedule(active.step.wait);
}

// Two bytes of length before the message (RFC 1035, section 4.2.2), in any pieces (RFC 7766, section 8).
void Resolver::onTcpData(Active& active, evbuffer* input) {
  const std::size_t size = evbuffer_get_length(input);
  const std::size_t had = active.input.size();
  active.input.resize(had + size);
  evbuffer_remove(input, active.input.data() + had, size);
  if (active.input.size() < 2) return;
  const std::size_t due = static_cast<std::size_t>(static_cast<unsigned char>(active.input[0])) << 8 |
                          static_cast<unsigned char>(active.input[1]);
  if (active.input.size() < 2 + due) return;
  onBytes(active, active.input.substr(2, due));
}

void Resolver::onBytes(Active& active, const std::string& bytes) {
  const bool tcp = active.step.what == Query::Step::Do::Tcp;
  const Bounds bounds{settings_.records, settings_.chain,
                      tcp ? 65535 : static_cast<std::size_t>(std::max(512, settings_.payload))};
  bool ignored = false;
  const Answer answer = decode(bytes, active.question, active.id, bounds);
  const Query::Step step = active.query->answered(answer, clock_(), ignored);
  if (ignored) {
    ++counts_.strangers;
    return;
  }
  carryOut(active, step);
}

void Resolver::onFailed(Active& active, const char* why) {
  carryOut(active, active.query->failed(clock_(), why));
}

void Resolver::onTimeout(Active& active) {
  closeTransport(active, log::CloseReason::NoAnswer, "");
  onFailed(active, "timeout");
}

// The whole lookup has its bound, whatever each step may still take.
void Resolver::onTooLong(Active& active) {
  closeTransport(active, log::CloseReason::NoAnswer, "");
  active.query->failed(clock_(), "lookup timeout");
  onDone(active);
}

void Resolver::closeTransport(Active& active, log::CloseReason reason, const std::string& detail) {
  active.wait.cancel();
  active.udp.reset();
  if (!active.tcp) return;
  log_.ended("dns", settings_.servers[active.step.server].text(), reason,
             detail.empty() ? active.question.text() : active.question.text() + ": " + detail);
  active.tcp.reset();
}

void Resolver::onDone(Active& active) {
  const Answer& answer = active.query->result();
  if (seen_) {
    for (const Query::Taken& step : active.query->taken()) seen_(active.question, step);
  }
  const Micros now = clock_();
  Result result;
  result.verdict = answer.verdict;
  result.asOf = active.begun;
  switch (answer.verdict) {
    case Verdict::Chain:
      // The chain leads to names that this answer says nothing of: they are asked for, up to the bound.
      active.chain += static_cast<int>(answer.chain.size());
      active.ttl = std::min(active.ttl, answer.ttl);
      if (active.chain > settings_.chain) break;
      active.question.name = answer.chain.back();
      active.query = std::make_unique<Query>(settings_, servers_);
      return carryOut(active, active.query->begin(now));
    case Verdict::Answer:
      result.kind = Result::Kind::Data;
      result.complete = true;
      result.records = answer.records;
      break;
    case Verdict::NoData:
    case Verdict::NxDomain:
      result.kind = Result::Kind::None;
      result.complete = true;
      break;
    case Verdict::Truncated:
      // Half an answer serves who asked and is not kept in place of a whole one.
      cache_.failed(active.asked, now);
      if (!answer.records.empty()) {
        result.kind = Result::Kind::Data;
        result.records = answer.records;
        result.until = now + std::clamp(static_cast<Micros>(answer.ttl) * 1000000, settings_.ttlLeast,
                                        settings_.ttlMost);
        return finish(active, result);
      }
      ++counts_.failed;
      return finish(active, failedResult(active.asked, answer.verdict));
    default:
      break;
  }
  if (!result.complete) {
    ++counts_.failed;
    cache_.failed(active.asked, now);
    return finish(active, failedResult(active.asked, answer.verdict));
  }
  ++counts_.answered;
  const double chance = static_cast<double>(random_()) / 4294967296.0;
  result = cache_.keep(active.asked, std::move(result), std::min(active.ttl, answer.ttl), now, chance);
  finish(active, result);
}

// Who is told may ask anew at once.
void Resolver::finish(Active& active, const Result& result) {
  closeTransport(active, log::CloseReason::Discarded, "");
  active.whole.cancel();
  auto node = active_.extract(active.asked);
  const std::vector<Told> waiting = std::move(active.waiting);
  over_.push_back(std::move(node.mapped()));
  cleaner_.schedule(0);
  for (const Told& told : waiting) told(result);
}

void Resolver::lookup(const std::string& name, ServiceTold told, bool all) {
  struct Call {
    SrvLookup lookup;
    ServiceTold told;
  };
  const auto call = std::make_shared<Call>(Call{SrvLookup(name), std::move(told)});
  const Question first = call->lookup.first();
  resolve(
      first,
      [this, call, first, all](const Result& srv) {
        const std::vector<Question> questions = call->lookup.got(first, srv);
        if (call->lookup.done()) return call->told(call->lookup.service());
        for (const Question& q : questions) {
          const auto got = [call, q](const Result& address) {
            call->lookup.got(q, address);
            if (call->lookup.done()) call->told(call->lookup.service());
          };
          resolve(q, got, all || cache_.find(q, clock_()).refresh);
        }
      },
      true);
}

}  // namespace peargrade::dns
