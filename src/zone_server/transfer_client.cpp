#include "zone_server/transfer_client.h"

#include <algorithm>
#include <random>

namespace peargrade::zone_server {
namespace {

std::uint32_t drawn() {
  thread_local std::random_device device;
  return static_cast<std::uint32_t>(device());
}

dns_zone::Secondary::Settings settingsOf(std::size_t primaries) {
  dns_zone::Secondary::Settings s;
  s.primaries = primaries;
  return s;
}

}  // namespace

TransferClient::TransferClient(event_base* base, const std::string& label, const std::string& origin,
                               std::vector<net::Address> primaries, std::function<Micros()> clock,
                               log::Log& log, Limits limits, Handlers handlers)
    : base_(base),
      label_(label),
      origin_(origin),
      primaries_(std::move(primaries)),
      clock_(std::move(clock)),
      log_(log),
      limits_(limits),
      handlers_(std::move(handlers)),
      secondary_(settingsOf(primaries_.size())),
      due_(base, [this] { carryOut(secondary_.due(clock_())); }),
      wait_(base,
            [this] {
              close(log::CloseReason::Silent);
              failed("no answer");
            }),
      whole_(base, [this] {
        close(log::CloseReason::NoAnswer);
        failed("it took too long");
      }) {}

TransferClient::~TransferClient() { close(log::CloseReason::Stopping); }

void TransferClient::begin(Micros freshAt) {
  const dns_zone::Zone* held = handlers_.held();
  carryOut(secondary_.begin(held == nullptr ? std::nullopt : std::optional<dns_zone::Soa>(held->soa()),
                            freshAt, clock_()));
}

bool TransferClient::notified(const std::string& host) {
  const auto at = std::find_if(primaries_.begin(), primaries_.end(),
                               [&](const net::Address& a) { return a.host == host; });
  if (at == primaries_.end()) return false;
  ++counts_.notifies;
  if (const auto step = secondary_.notified(static_cast<std::size_t>(at - primaries_.begin()), clock_()))
    carryOut(*step);
  return true;
}

void TransferClient::carryOut(const dns_zone::Secondary::Step& step) {
  step_ = step;
  due_.cancel();
  switch (step.what) {
    case dns_zone::Secondary::Step::Do::Wait:
      return due_.schedule(step.at - clock_());
    case dns_zone::Secondary::Step::Do::AskSoa:
      return askSoa();
    case dns_zone::Secondary::Step::Do::Transfer:
      return transfer();
  }
}

void TransferClient::askSoa() {
  ++counts_.soas;
  id_ = static_cast<std::uint16_t>(drawn());
  net::Datagram::Handlers handlers;
  handlers.data = [this](const std::string& bytes) { onSoa(bytes); };
  handlers.failed = [this](const std::string& why) {
    close(log::CloseReason::Refused);
    failed(why);
  };
  udp_ = std::make_unique<net::Datagram>(base_, primaries_[step_.primary], drawn, std::move(handlers));
  dns_zone::Message m;
  m.id = id_;
  m.hasQuestion = true;
  m.name = origin_;
  m.type = static_cast<std::uint16_t>(dns_zone::Type::SOA);
  wait_.schedule(limits_.soa);
  udp_->send(dns_zone::encodeMessage(m));
}

void TransferClient::onSoa(const std::string& bytes) {
  const auto m = dns_zone::decodeMessage(bytes);
  // Not the answer: the wait for that goes on.
  if (!m || !m->response || m->id != id_ || !m->hasQuestion || m->name != origin_) return;
  close(log::CloseReason::Discarded);
  for (const dns_zone::RawRecord& r : m->answer) {
    if (r.type != static_cast<std::uint16_t>(dns_zone::Type::SOA) || r.name != origin_) continue;
    const auto soa = dns_zone::soaOf(r.data);
    if (!soa) continue;
    const dns_zone::Zone* held = handlers_.held();
    const bool same = held != nullptr && held->serial() == soa->serial;
    carryOut(secondary_.answered(soa->serial, clock_()));
    if (same) handlers_.fresh();
    return;
  }
  failed(std::string("no SOA: ") + dns_zone::nameOf(m->rcode));
}

void TransferClient::transfer() {
  transfer_ = std::make_unique<dns_zone::Transfer>(origin_, step_.whole ? nullptr : handlers_.held(),
                                                   limits_.records);
  ++(step_.whole ? counts_.whole : counts_.changes);
  id_ = static_cast<std::uint16_t>(drawn());
  input_.clear();
  net::Stream::Handlers handlers;
  handlers.up = [this] {
    const std::string body = dns_zone::encodeMessage(transfer_->question(id_));
    tcp_->send(std::string{static_cast<char>(body.size() >> 8), static_cast<char>(body.size() & 255)} + body);
  };
  handlers.data = [this](evbuffer* input) { onTransfer(input); };
  handlers.end = [this](log::CloseReason reason, const std::string& detail) {
    close(reason);
    failed(std::string(log::code(reason)) + (detail.empty() ? "" : ": " + detail));
  };
  tcp_ = std::make_unique<net::Stream>(base_, primaries_[step_.primary], limits_.soa, std::move(handlers));
  wait_.schedule(limits_.silence);
  whole_.schedule(limits_.whole);
}

void TransferClient::onTransfer(evbuffer* input) {
  const std::size_t size = evbuffer_get_length(input), had = input_.size();
  input_.resize(had + size);
  evbuffer_remove(input, input_.data() + had, size);
  std::size_t done = 0;
  while (input_.size() - done >= 2) {
    const std::size_t due = static_cast<std::size_t>(static_cast<unsigned char>(input_[done])) << 8 |
                            static_cast<unsigned char>(input_[done + 1]);
    if (input_.size() - done < 2 + due) break;
    const auto m = dns_zone::decodeMessage(input_.substr(done + 2, due));
    done += 2 + due;
    if (!m || m->id != id_) {
      close(log::CloseReason::BadMessage);
      return failed("a message that is no answer");
    }
    wait_.schedule(limits_.silence);
    const dns_zone::Transfer::State state = transfer_->take(*m);
    if (state == dns_zone::Transfer::State::More) continue;
    const std::unique_ptr<dns_zone::Transfer> over = std::move(transfer_);
    close(state == dns_zone::Transfer::State::Failed ? log::CloseReason::BadAnswer
                                                     : log::CloseReason::Discarded);
    if (state == dns_zone::Transfer::State::Failed) return failed(over->why());
    if (state == dns_zone::Transfer::State::Unfit) {
      ++counts_.unfit;
      log_.warn("zones") << label_ << ": changes from " << primaries_[step_.primary].text() << " do not fit ("
                         << over->why() << "), the whole is asked for code=unfit";
      return carryOut(secondary_.unfit(clock_()));
    }
    if (state == dns_zone::Transfer::State::UpToDate) {
      carryOut(secondary_.transferred(handlers_.held()->soa(), clock_()));
      return handlers_.fresh();
    }
    const dns_zone::Zone zone = over->zone();
    if (handlers_.came(zone)) {
      carryOut(secondary_.transferred(zone.soa(), clock_()));
      return handlers_.fresh();
    }
    return carryOut(secondary_.refused(clock_()));
  }
  input_.erase(0, done);
}

void TransferClient::failed(const std::string& why) {
  ++counts_.failed;
  // Told at the 1st, 2nd, 4th, 8th ... in a row.
  const int before = secondary_.failures();
  if ((before & (before + 1)) == 0)
    log_.warn("zones") << label_ << ": primary " << primaries_[step_.primary].text() << ": " << why
                       << ", what is held stays code=primary";
  carryOut(secondary_.failed(clock_()));
}

void TransferClient::close(log::CloseReason reason) {
  wait_.cancel();
  whole_.cancel();
  udp_.reset();
  if (!tcp_) return;
  log_.ended("zones", primaries_[step_.primary].text(), reason, "transfer of " + origin_);
  tcp_.reset();
}

}  // namespace peargrade::zone_server
