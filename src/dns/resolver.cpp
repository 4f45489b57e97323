#include "dns/resolver.h"

#include <algorithm>

namespace peargrade::dns {

Resolver::Active::Active(Resolver& owner, const Question& question)
    : owner(owner),
      originalQuestion(question),
      question(question),
      query(std::make_unique<Query>(owner.settings_, owner.servers_)),
      startedAt(owner.clock_()),
      stepTimeout(owner.base_, [this] { this->owner.onTimeout(*this); }),
      lookupTimeout(owner.base_, [this] { this->owner.onLookupTimeout(*this); }) {}

Resolver::Resolver(event_base* base, const Settings& settings, Clock clock, Random random, log::Log& log)
    : base_(base),
      settings_(settings),
      clock_(std::move(clock)),
      random_(std::move(random)),
      log_(log),
      servers_(settings.servers.size()),
      cache_(settings_),
      cleanupTimer_(base, [this] {
        finished_.clear();
        startQueued();
      }) {}

Resolver::~Resolver() {
  for (auto& [question, active] : active_) closeTransport(*active, log::CloseReason::Stopping, "");
}

Result Resolver::failedResult(const Question& question, Verdict verdict) {
  if (const Result* cached = cache_.stale(question, clock_())) {
    ++counts_.stale;
    Result result = *cached;
    result.stale = true;
    result.verdict = verdict;
    return result;
  }
  Result result;
  result.verdict = verdict;
  return result;
}

void Resolver::resolve(const Question& question, ResultCallback callback, bool bypassCache) {
  const auto running = active_.find(question);
  if (running != active_.end()) return running->second->callbacks.push_back(std::move(callback));
  const Cache::Found found = cache_.find(question, clock_());
  if (found.result != nullptr && (!bypassCache || found.backoffUntil > clock_())) {
    ++counts_.cached;
    const Result result = *found.result;
    return callback(result);
  }
  if (settings_.servers.empty() || found.backoffUntil > clock_())
    return callback(failedResult(question, Verdict::ServFail));
  const auto queued = queuedCallbacks_.find(question);
  if (queued != queuedCallbacks_.end()) return queued->second.push_back(std::move(callback));
  if (static_cast<int>(active_.size()) < settings_.inFlight) return start(question, std::move(callback));
  if (queue_.size() >= settings_.waiting) {
    ++counts_.rejected;
    return callback(failedResult(question, Verdict::ServFail));
  }
  queue_.push_back(question);
  queuedCallbacks_[question].push_back(std::move(callback));
}

void Resolver::start(const Question& question, ResultCallback callback) {
  ++counts_.asked;
  auto owned = std::make_unique<Active>(*this, question);
  Active& active = *owned;
  active.callbacks.push_back(std::move(callback));
  active_[question] = std::move(owned);
  active.lookupTimeout.schedule(settings_.lookupFor);
  executeStep(active, active.query->begin(clock_()));
}

void Resolver::startQueued() {
  while (!queue_.empty() && static_cast<int>(active_.size()) < settings_.inFlight) {
    const Question question = queue_.front();
    queue_.pop_front();
    auto callbacks = queuedCallbacks_.extract(question);
    start(question, std::move(callbacks.mapped().front()));
    const auto running = active_.find(question);
    for (std::size_t k = 1; k < callbacks.mapped().size(); ++k) {
      if (running != active_.end())
        running->second->callbacks.push_back(std::move(callbacks.mapped()[k]));
      else
        callbacks.mapped()[k](failedResult(question, Verdict::ServFail));
    }
  }
}

// Each step uses a new socket, port and id.
void Resolver::executeStep(Active& active, const Query::Step& step) {
  closeTransport(active, log::CloseReason::Discarded, "");
  active.step = step;
  active.id = static_cast<std::uint16_t>(random_());
  switch (step.action) {
    case Query::Step::Action::Done:
      return onQueryDone(active);
    case Query::Step::Action::Udp:
      return sendUdp(active);
    case Query::Step::Action::Tcp:
      return sendTcp(active);
  }
}

void Resolver::sendUdp(Active& active) {
  net::Datagram::Handlers handlers;
  handlers.data = [this, &active](const std::string& bytes) { onMessage(active, bytes); };
  handlers.failed = [this, &active](const std::string&) { onFailed(active, "refused"); };
  active.udp = std::make_unique<net::Datagram>(base_, settings_.servers[active.step.server], random_,
                                               std::move(handlers));
  active.stepTimeout.schedule(active.step.wait);
  // A failure to send is handled like a lost datagram: the step then ends with its timeout, and not by
  // recursion from here.
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
  active.stepTimeout.schedule(active.step.wait);
}

// A message has a prefix of two octets with its length (RFC 1035, section 4.2.2) and may arrive in any number
// of pieces (RFC 7766, section 8).
void Resolver::onTcpData(Active& active, evbuffer* input) {
  const std::size_t size = evbuffer_get_length(input);
  const std::size_t oldSize = active.input.size();
  active.input.resize(oldSize + size);
  evbuffer_remove(input, active.input.data() + oldSize, size);
  if (active.input.size() < 2) return;
  const std::size_t messageSize = static_cast<std::size_t>(static_cast<unsigned char>(active.input[0])) << 8 |
                                  static_cast<unsigned char>(active.input[1]);
  if (active.input.size() < 2 + messageSize) return;
  onMessage(active, active.input.substr(2, messageSize));
}

void Resolver::onMessage(Active& active, const std::string& bytes) {
  const bool tcp = active.step.action == Query::Step::Action::Tcp;
  const Bounds bounds{settings_.records, settings_.chain,
                      tcp ? 65535 : static_cast<std::size_t>(std::max(512, settings_.payload))};
  bool ignored = false;
  const Answer answer = decode(bytes, active.question, active.id, bounds);
  const Query::Step step = active.query->onAnswer(answer, clock_(), ignored);
  if (ignored) {
    ++counts_.strangers;
    return;
  }
  executeStep(active, step);
}

void Resolver::onFailed(Active& active, const char* why) {
  executeStep(active, active.query->onFailure(clock_(), why));
}

void Resolver::onTimeout(Active& active) {
  closeTransport(active, log::CloseReason::NoAnswer, "");
  onFailed(active, "timeout");
}

// The timeout of the complete lookup applies even if the current step has time left.
void Resolver::onLookupTimeout(Active& active) {
  closeTransport(active, log::CloseReason::NoAnswer, "");
  active.query->onFailure(clock_(), "lookup timeout");
  onQueryDone(active);
}

void Resolver::closeTransport(Active& active, log::CloseReason reason, const std::string& detail) {
  active.stepTimeout.cancel();
  active.udp.reset();
  if (!active.tcp) return;
  log_.ended("dns", settings_.servers[active.step.server].text(), reason,
             detail.empty() ? active.question.text() : active.question.text() + ": " + detail);
  active.tcp.reset();
}

void Resolver::onQueryDone(Active& active) {
  const Answer& answer = active.query->result();
  if (onStep_) {
    for (const Query::Taken& step : active.query->taken()) onStep_(active.question, step);
  }
  const Micros now = clock_();
  Result result;
  result.verdict = answer.verdict;
  result.asOf = active.startedAt;
  switch (answer.verdict) {
    case Verdict::Chain:
      // The answer has no data for the end of the CNAME chain: send a query for that name, up to the chain
      // limit.
      active.chainLength += static_cast<int>(answer.chain.size());
      active.ttl = std::min(active.ttl, answer.ttl);
      if (active.chainLength > settings_.chain) break;
      active.question.name = answer.chain.back();
      active.query = std::make_unique<Query>(settings_, servers_);
      return executeStep(active, active.query->begin(now));
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
      // A truncated answer is returned to the callers, but does not replace a complete answer in the cache.
      cache_.recordFailure(active.originalQuestion, now);
      if (!answer.records.empty()) {
        result.kind = Result::Kind::Data;
        result.records = answer.records;
        result.until = now + std::clamp(static_cast<Micros>(answer.ttl) * 1000000, settings_.ttlLeast,
                                        settings_.ttlMost);
        return finish(active, result);
      }
      ++counts_.failed;
      return finish(active, failedResult(active.originalQuestion, answer.verdict));
    default:
      break;
  }
  if (!result.complete) {
    ++counts_.failed;
    cache_.recordFailure(active.originalQuestion, now);
    return finish(active, failedResult(active.originalQuestion, answer.verdict));
  }
  ++counts_.answered;
  const double jitter = static_cast<double>(random_()) / 4294967296.0;
  result =
      cache_.store(active.originalQuestion, std::move(result), std::min(active.ttl, answer.ttl), now, jitter);
  finish(active, result);
}

// Removes the question before the callbacks run: a callback may resolve the same question again.
void Resolver::finish(Active& active, const Result& result) {
  closeTransport(active, log::CloseReason::Discarded, "");
  active.lookupTimeout.cancel();
  auto node = active_.extract(active.originalQuestion);
  const std::vector<ResultCallback> callbacks = std::move(active.callbacks);
  finished_.push_back(std::move(node.mapped()));
  cleanupTimer_.schedule(0);
  for (const ResultCallback& callback : callbacks) callback(result);
}

void Resolver::lookup(const std::string& name, ServiceCallback callback, bool refreshAll) {
  struct Call {
    SrvLookup lookup;
    ServiceCallback callback;
  };
  const auto call = std::make_shared<Call>(Call{SrvLookup(name), std::move(callback)});
  const Question srvQuestion = call->lookup.srvQuestion();
  resolve(
      srvQuestion,
      [this, call, srvQuestion, refreshAll](const Result& srv) {
        const std::vector<Question> questions = call->lookup.onResult(srvQuestion, srv);
        if (call->lookup.done()) return call->callback(call->lookup.service());
        for (const Question& question : questions) {
          const auto onAddress = [call, question](const Result& address) {
            call->lookup.onResult(question, address);
            if (call->lookup.done()) call->callback(call->lookup.service());
          };
          resolve(question, onAddress, refreshAll || cache_.find(question, clock_()).refresh);
        }
      },
      true);
}

}  // namespace peargrade::dns
