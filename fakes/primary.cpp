#include "fakes/primary.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstddef>
#include <utility>

namespace peargrade::fakes {
namespace {

dns_zone::RawRecord rawSoa(const dns_zone::Zone& zone) {
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
  dns_zone::Message message;
  message.id = 4711;
  message.opcode = dns_zone::Opcode::Notify;
  message.authoritative = true;
  message.hasQuestion = true;
  message.name = zone().origin();
  message.type = static_cast<std::uint16_t>(dns_zone::Type::SOA);
  message.answer.push_back(rawSoa(zone()));
  net::Datagram::Handlers handlers;
  handlers.data = [this](const std::string& bytes) {
    const auto answer = dns_zone::decodeMessage(bytes);
    notifyAnswers += answer && answer->response && answer->rcode == dns_zone::Rcode::NoError;
  };
  std::uint32_t port =
      static_cast<std::uint32_t>(notifySockets_.size()) * 7919 + static_cast<std::uint32_t>(getpid());
  notifySockets_.push_back(std::make_unique<net::Datagram>(
      base_, whom, [port]() mutable { return port += 13; }, std::move(handlers)));
  notifySockets_.back()->send(dns_zone::encodeMessage(message));
}

std::vector<dns_zone::RawRecord> Primary::fullTransfer() const {
  std::vector<dns_zone::RawRecord> records;
  for (const dns_zone::Record& record : zone().all()) records.push_back(dns_zone::rawOf(record));
  records.push_back(rawSoa(zone()));
  return records;
}

std::vector<dns_zone::RawRecord> Primary::incrementalTransfer(std::uint32_t from) const {
  std::vector<dns_zone::RawRecord> records{rawSoa(zone())};
  if (from == zone().serial()) return records;
  std::size_t at = 0;
  while (at < versions_.size() && versions_[at].serial() != from) ++at;
  if (at == versions_.size()) return {};
  for (; at + 1 < versions_.size(); ++at) {
    const dns_zone::Difference difference = dns_zone::difference(versions_[at], versions_[at + 1]);
    records.push_back(rawSoa(versions_[at]));
    for (const dns_zone::Record& record : difference.removed) {
      if (record.type != dns_zone::Type::SOA) records.push_back(dns_zone::rawOf(record));
    }
    if (wrongChanges)
      records.push_back(
          dns_zone::rawOf({"nobody." + zone().origin(), dns_zone::Type::A, 1, std::string("\1\2\3\4", 4)}));
    records.push_back(rawSoa(versions_[at + 1]));
    for (const dns_zone::Record& record : difference.added) {
      if (record.type != dns_zone::Type::SOA) records.push_back(dns_zone::rawOf(record));
    }
  }
  records.push_back(rawSoa(zone()));
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
    message->answer = {rawSoa(zone())};
  return dns_zone::encodeMessage(*message);
}

bool Primary::answerStream(DnsEndpoint::Peer peer, const std::string& query) {
  auto message = dns_zone::decodeMessage(query);
  if (!message) return true;
  const std::vector<dns_zone::RawRecord> records = prepareTransfer(*message);
  return sendTransfer(peer, std::move(*message), records);
}

std::vector<dns_zone::RawRecord> Primary::prepareTransfer(dns_zone::Message& message) {
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
  if (!incremental) return fullTransfer();
  if (noChanges) {
    message.rcode = dns_zone::Rcode::NotImp;
    return {};
  }
  std::vector<dns_zone::RawRecord> records = incrementalTransfer(from);
  if (records.empty())
    return fullTransfer();  // RFC 1995 allows a full transfer in place of an incremental one
  return records;
}

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
    // Written to the socket directly: a later reset must not discard messages buffered in this process.
    const auto written = send(peer->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    static_cast<void>(written);
    ++sent;
    message.hasQuestion = false;
  } while (at < records.size());
  return true;
}

}  // namespace peargrade::fakes
