#include "fakes/primary.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstddef>
#include <utility>

namespace peargrade::fakes {
namespace {

dns_zone::RawRecord soaOf(const dns_zone::Zone& zone) {
  const dns_zone::Zone::Set* set = zone.find(zone.origin(), dns_zone::Type::SOA);
  return dns_zone::rawOf({zone.origin(), dns_zone::Type::SOA, set->ttl, *set->data.begin()});
}

}  // namespace

Primary::Primary(event_base* base, const std::string& host)
    : base_(base),
      endpoint_(
          base, {host, 0},
          {[this](const std::string& query, std::uint16_t) { return answerDatagram(query); },
           [this](DnsEndpoint::Peer peer, const std::string& query) { return answerStream(peer, query); }}) {}

void Primary::down(bool on) {
  if (on)
    endpoint_.close();
  else
    endpoint_.open();
}

void Primary::publish(const dns_zone::Zone& zone) { versions_.push_back(zone); }

void Primary::notify(const net::Address& whom) {
  dns_zone::Message m;
  m.id = 4711;
  m.opcode = dns_zone::Opcode::Notify;
  m.authoritative = true;
  m.hasQuestion = true;
  m.name = zone().origin();
  m.type = static_cast<std::uint16_t>(dns_zone::Type::SOA);
  m.answer.push_back(soaOf(zone()));
  net::Datagram::Handlers handlers;
  handlers.data = [this](const std::string& bytes) {
    const auto answer = dns_zone::decodeMessage(bytes);
    notifyAnswers += answer && answer->response && answer->rcode == dns_zone::Rcode::NoError;
  };
  std::uint32_t port =
      static_cast<std::uint32_t>(notices_.size()) * 7919 + static_cast<std::uint32_t>(getpid());
  notices_.push_back(std::make_unique<net::Datagram>(
      base_, whom, [port]() mutable { return port += 13; }, std::move(handlers)));
  notices_.back()->send(dns_zone::encodeMessage(m));
}

std::vector<dns_zone::RawRecord> Primary::whole() const {
  std::vector<dns_zone::RawRecord> records;
  for (const dns_zone::Record& r : zone().all()) records.push_back(dns_zone::rawOf(r));
  records.push_back(soaOf(zone()));
  return records;
}

// From the version with that serial on, step by step; empty: it is not known.
std::vector<dns_zone::RawRecord> Primary::changes(std::uint32_t from) const {
  std::vector<dns_zone::RawRecord> records{soaOf(zone())};
  if (from == zone().serial()) return records;
  std::size_t at = 0;
  while (at < versions_.size() && versions_[at].serial() != from) ++at;
  if (at == versions_.size()) return {};
  for (; at + 1 < versions_.size(); ++at) {
    const dns_zone::Difference d = dns_zone::difference(versions_[at], versions_[at + 1]);
    records.push_back(soaOf(versions_[at]));
    for (const dns_zone::Record& r : d.removed) {
      if (r.type != dns_zone::Type::SOA) records.push_back(dns_zone::rawOf(r));
    }
    if (wrongChanges)
      records.push_back(
          dns_zone::rawOf({"nobody." + zone().origin(), dns_zone::Type::A, 1, std::string("\1\2\3\4", 4)}));
    records.push_back(soaOf(versions_[at + 1]));
    for (const dns_zone::Record& r : d.added) {
      if (r.type != dns_zone::Type::SOA) records.push_back(dns_zone::rawOf(r));
    }
  }
  records.push_back(soaOf(zone()));
  return records;
}

std::string Primary::answerDatagram(const std::string& query) {
  auto message = dns_zone::decodeMessage(query);
  if (!message || silent) return "";
  ++soas;
  message->response = true;
  message->authoritative = true;
  if (refuse)
    message->rcode = dns_zone::Rcode::Refused;
  else
    message->answer = {soaOf(zone())};
  return dns_zone::encodeMessage(*message);
}

bool Primary::answerStream(DnsEndpoint::Peer peer, const std::string& query) {
  auto message = dns_zone::decodeMessage(query);
  if (!message) return true;
  const std::vector<dns_zone::RawRecord> records = transferFor(*message);
  return sendTransfer(peer, std::move(*message), records);
}

// Makes the message an answer; returns the records that it is to carry.
std::vector<dns_zone::RawRecord> Primary::transferFor(dns_zone::Message& message) {
  const bool incremental = message.type == dns_zone::kTypeIxfr;
  ++(incremental ? ixfrs : axfrs);
  std::uint32_t from = 0;
  if (incremental && !message.authority.empty()) from = dns_zone::soaOf(message.authority[0].data)->serial;
  message.response = true;
  message.authoritative = true;
  message.authority.clear();
  if (refuse) {
    message.rcode = dns_zone::Rcode::Refused;
    return {};
  }
  if (!incremental) return whole();
  if (noChanges) {
    message.rcode = dns_zone::Rcode::NotImp;
    return {};
  }
  std::vector<dns_zone::RawRecord> records = changes(from);
  if (records.empty()) return whole();  // as RFC 1995 allows
  return records;
}

// In messages of `perMessage` records, as far as the scripted fault lets it. False: the connection is gone.
bool Primary::sendTransfer(DnsEndpoint::Peer peer, dns_zone::Message message,
                           const std::vector<dns_zone::RawRecord>& records) {
  std::size_t at = 0;
  int sent = 0;
  do {
    const std::size_t end = std::min(records.size(), at + perMessage);
    message.answer.assign(records.begin() + static_cast<std::ptrdiff_t>(at),
                          records.begin() + static_cast<std::ptrdiff_t>(end));
    at = end;
    const std::string bytes = framedForTcp(dns_zone::encodeMessage(message));
    if (dieAfter >= 0 && sent == dieAfter) {
      if (hang) return true;
      peer->stream->send(bytes.substr(0, bytes.size() / 2));
      peer->stream->flush();
      endpoint_.reset(peer);
      return false;
    }
    // Straight to the socket: what was sent before a break has left this process.
    const auto written = send(peer->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    static_cast<void>(written);
    ++sent;
    message.hasQuestion = false;
  } while (at < records.size());
  return true;
}

}  // namespace peargrade::fakes
