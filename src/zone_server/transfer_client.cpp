#include "zone_server/transfer_client.h"

#include <algorithm>
#include <random>

namespace peargrade::zone_server {
namespace {

std::uint32_t randomNumber() {
  thread_local std::random_device device;
  return static_cast<std::uint32_t>(device());
}

dns_zone::Secondary::Settings secondarySettings(std::size_t primaries) {
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
      secondary_(secondarySettings(primaries_.size())),
      nextStepTimer_(base, [this] { execute(secondary_.due(clock_())); }),
      answerTimeout_(base,
                     [this] {
                       close(log::CloseReason::Silent);
                       onFailure("no answer within the timeout");
                     }),
      transferTimeout_(base, [this] {
        close(log::CloseReason::NoAnswer);
        onFailure("the transfer exceeded its time limit");
      }) {}

TransferClient::~TransferClient() { close(log::CloseReason::Stopping); }

void TransferClient::begin(Micros freshAt) {
  const dns_zone::Zone* current = handlers_.currentZone();
  execute(secondary_.begin(current == nullptr ? std::nullopt : std::optional<dns_zone::Soa>(current->soa()),
                           freshAt, clock_()));
}

bool TransferClient::onNotify(const std::string& host) {
  const auto at = std::find_if(primaries_.begin(), primaries_.end(),
                               [&](const net::Address& a) { return a.host == host; });
  if (at == primaries_.end()) return false;
  ++counts_.notifies;
  if (const auto step = secondary_.notified(static_cast<std::size_t>(at - primaries_.begin()), clock_()))
    execute(*step);
  return true;
}

void TransferClient::execute(const dns_zone::Secondary::Step& step) {
  step_ = step;
  nextStepTimer_.cancel();
  switch (step.what) {
    case dns_zone::Secondary::Step::Do::Wait:
      return nextStepTimer_.schedule(step.at - clock_());
    case dns_zone::Secondary::Step::Do::AskSoa:
      return querySoa();
    case dns_zone::Secondary::Step::Do::Transfer:
      return transfer();
  }
}

void TransferClient::querySoa() {
  ++counts_.soaQueries;
  id_ = static_cast<std::uint16_t>(randomNumber());
  net::Datagram::Handlers handlers;
  handlers.data = [this](const std::string& bytes) { onSoa(bytes); };
  handlers.failed = [this](const std::string& why) {
    close(log::CloseReason::Refused);
    onFailure(why);
  };
  udp_ = std::make_unique<net::Datagram>(base_, primaries_[step_.primary], randomNumber, std::move(handlers));
  dns_zone::Message m;
  m.id = id_;
  m.hasQuestion = true;
  m.name = origin_;
  m.type = static_cast<std::uint16_t>(dns_zone::Type::SOA);
  answerTimeout_.schedule(limits_.soaTimeout);
  udp_->send(dns_zone::encodeMessage(m));
}

void TransferClient::onSoa(const std::string& bytes) {
  const auto m = dns_zone::decodeMessage(bytes);
  // Ignore datagrams that are not the answer.
  if (!m || !m->response || m->id != id_ || !m->hasQuestion || m->name != origin_) return;
  close(log::CloseReason::Discarded);
  for (const dns_zone::RawRecord& r : m->answer) {
    if (r.type != static_cast<std::uint16_t>(dns_zone::Type::SOA) || r.name != origin_) continue;
    const auto soa = dns_zone::soaOf(r.data);
    if (!soa) continue;
    const dns_zone::Zone* current = handlers_.currentZone();
    const bool same = current != nullptr && current->serial() == soa->serial;
    execute(secondary_.answered(soa->serial, clock_()));
    if (same) handlers_.upToDate();
    return;
  }
  onFailure(std::string("the answer has no SOA record: ") + dns_zone::nameOf(m->rcode));
}

void TransferClient::transfer() {
  transfer_ = std::make_unique<dns_zone::Transfer>(origin_, step_.whole ? nullptr : handlers_.currentZone(),
                                                   limits_.maxRecords);
  ++(step_.whole ? counts_.axfrs : counts_.ixfrs);
  id_ = static_cast<std::uint16_t>(randomNumber());
  input_.clear();
  net::Stream::Handlers handlers;
  handlers.up = [this] {
    const std::string body = dns_zone::encodeMessage(transfer_->question(id_));
    tcp_->send(std::string{static_cast<char>(body.size() >> 8), static_cast<char>(body.size() & 255)} + body);
  };
  handlers.data = [this](evbuffer* input) { onTransfer(input); };
  handlers.end = [this](log::CloseReason reason, const std::string& detail) {
    close(reason);
    onFailure(std::string(log::code(reason)) + (detail.empty() ? "" : ": " + detail));
  };
  tcp_ = std::make_unique<net::Stream>(base_, primaries_[step_.primary], limits_.soaTimeout,
                                       std::move(handlers));
  answerTimeout_.schedule(limits_.messageTimeout);
  transferTimeout_.schedule(limits_.transferTimeout);
}

void TransferClient::onTransfer(evbuffer* input) {
  const std::size_t size = evbuffer_get_length(input), had = input_.size();
  input_.resize(had + size);
  evbuffer_remove(input, input_.data() + had, size);
  std::size_t done = 0;
  while (input_.size() - done >= 2) {
    const std::size_t messageBytes = static_cast<std::size_t>(static_cast<unsigned char>(input_[done])) << 8 |
                                     static_cast<unsigned char>(input_[done + 1]);
    if (input_.size() - done < 2 + messageBytes) break;
    const auto m = dns_zone::decodeMessage(input_.substr(done + 2, messageBytes));
    done += 2 + messageBytes;
    if (!m || m->id != id_) {
      close(log::CloseReason::BadMessage);
      return onFailure("received an invalid message");
    }
    answerTimeout_.schedule(limits_.messageTimeout);
    const dns_zone::Transfer::State state = transfer_->take(*m);
    if (state == dns_zone::Transfer::State::More) continue;
    const std::unique_ptr<dns_zone::Transfer> transfer = std::move(transfer_);
    close(state == dns_zone::Transfer::State::Failed ? log::CloseReason::BadAnswer
                                                     : log::CloseReason::Discarded);
    if (state == dns_zone::Transfer::State::Failed) return onFailure(transfer->why());
    if (state == dns_zone::Transfer::State::Unfit) {
      ++counts_.unfit;
      log_.warn("zones") << label_ << ": IXFR from " << primaries_[step_.primary].text()
                         << " does not apply to the current zone (" << transfer->why()
                         << "), requesting AXFR code=unfit";
      return execute(secondary_.unfit(clock_()));
    }
    if (state == dns_zone::Transfer::State::UpToDate) {
      execute(secondary_.transferred(handlers_.currentZone()->soa(), clock_()));
      return handlers_.upToDate();
    }
    const dns_zone::Zone zone = transfer->zone();
    if (handlers_.zoneReceived(zone)) {
      execute(secondary_.transferred(zone.soa(), clock_()));
      return handlers_.upToDate();
    }
    return execute(secondary_.refused(clock_()));
  }
  input_.erase(0, done);
}

void TransferClient::onFailure(const std::string& why) {
  ++counts_.failed;
  // Log the 1st, 2nd, 4th, 8th ... consecutive failure.
  const int before = secondary_.failures();
  if ((before & (before + 1)) == 0)
    log_.warn("zones") << label_ << ": primary " << primaries_[step_.primary].text() << ": " << why
                       << ", the current zone stays in force code=primary";
  execute(secondary_.failed(clock_()));
}

void TransferClient::close(log::CloseReason reason) {
  answerTimeout_.cancel();
  transferTimeout_.cancel();
  udp_.reset();
  if (!tcp_) return;
  log_.ended("zones", primaries_[step_.primary].text(), reason, "transfer of " + origin_);
  tcp_.reset();
}

}  // namespace peargrade::zone_server
