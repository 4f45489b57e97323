// ZoneSource: dynamic updates (RFC 2136). Reads the keys, listens for messages and passes them to the
// processor.
#include "zone_server/key_file.h"
#include "zone_server/zone_source.h"

namespace peargrade::zone_server {
namespace {

constexpr Micros kListenRetryDelay = 1000000;    // while the address is in use
constexpr Micros kRefusalLogInterval = 1000000;  // refusals between two log lines are counted
constexpr std::size_t kHeaderSize = 12;          // of a DNS message (RFC 1035, section 4.1.1)

bool isNotify(const std::string& message) {
  if (message.size() < kHeaderSize) return false;
  const unsigned opcode = static_cast<unsigned char>(message[2]) >> 3 & 15;
  return opcode == static_cast<unsigned>(dns_zone::Opcode::Notify);
}

}  // namespace

void ZoneSource::listen() {
  std::vector<std::string> problems;
  dns_zone::Keys keys;
  if (!zone_.keys.empty()) keys = readKeys(zone_.keys, problems);
  for (const std::string& p : problems)
    context_.log->error("zones") << zone_.label << ": " << p << " code=keys";
  if (problems.empty()) keys_ = std::move(keys);  // otherwise the previous keys stay in force
  if (listener_) return;
  try {
    Listener::Limits limits;
    limits.maxConnections = zone_.connections;
    listener_ = std::make_unique<Listener>(
        context_.base, *zone_.listen,
        [this](const std::string& message, const std::string& peer, Listener::Reply reply) {
          onMessage(message, peer, std::move(reply));
        },
        *context_.log, limits);
    context_.log->info("zones") << zone_.label << ": takes updates at " << listener_->address().text() << ", "
                                << keys_.size() << " keys";
  } catch (const std::exception& e) {
    context_.log->error("zones") << zone_.label << ": " << e.what() << " code=listen";
    listenRetryTimer_.schedule(kListenRetryDelay);
  }
}

void ZoneSource::onMessage(const std::string& message, const std::string& peer, Listener::Reply reply) {
  if (isNotify(message)) return onNotify(message, peer, reply);
  if (!processor_) return;
  const dns_zone::UpdateProcessor::Taken result = processor_->take(message, keys_, unixNow());
  if (result.code == "accepted")
    ++counts_.accepted;
  else if (result.code == "repeated")
    ++counts_.repeated;
  else
    logRefusal(result, peer);
  if (result.answered)
    reply(result.answer);
  else
    pendingReplies_[result.ticket] = std::move(reply);
  writeNext();
}

// Logs at most one refusal a second, so that a flood does not fill the log.
void ZoneSource::logRefusal(const dns_zone::UpdateProcessor::Taken& result, const std::string& peer) {
  ++counts_.refused;
  const Micros now = context_.clock();
  if (refusalLoggedAt_ != 0 && now < refusalLoggedAt_ + kRefusalLogInterval) {
    ++unloggedRefusals_;
    return;
  }
  refusalLoggedAt_ = now;
  log::Line line = context_.log->warn("zones");
  line << zone_.label << ": update from " << peer << " refused code=" << result.code << " "
       << dns_zone::nameOf(result.rcode);
  if (!result.why.empty()) line << " (" << result.why << ")";
  if (unloggedRefusals_ > 0)
    line << ", and " << unloggedRefusals_ << " more refusals since the last such line";
  unloggedRefusals_ = 0;
}

}  // namespace peargrade::zone_server
