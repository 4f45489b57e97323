// ZoneSource and dynamic updates (RFC 2136): keys, the address that takes messages, and what becomes of each.
#include "zone_server/key_file.h"
#include "zone_server/zone_source.h"

namespace peargrade::zone_server {
namespace {

constexpr Micros kListenRetry = 1000000;   // an address that is in use is tried again
constexpr Micros kRefusedEvery = 1000000;  // refusals are told once a second, counted
constexpr std::size_t kHeaderSize = 12;    // of a DNS message (RFC 1035, section 4.1.1)

bool isNotify(const std::string& message) {
  if (message.size() < kHeaderSize) return false;
  const unsigned opcode = static_cast<unsigned char>(message[2]) >> 3 & 15;
  return opcode == static_cast<unsigned>(dns_zone::Opcode::Notify);
}

}  // namespace

void ZoneSource::listen() {
  std::vector<std::string> problems;
  dns_zone::Keys keys;
  if (!op_.keys.empty()) keys = readKeys(op_.keys, problems);
  for (const std::string& p : problems) around_.log->error("zones") << op_.label << ": " << p << " code=keys";
  if (problems.empty()) keys_ = std::move(keys);  // else the old ones hold
  if (listener_) return;
  try {
    Listener::Limits limits;
    limits.connections = op_.connections;
    listener_ = std::make_unique<Listener>(
        around_.base, *op_.listen,
        [this](const std::string& message, const std::string& peer, Listener::Reply reply) {
          onMessage(message, peer, std::move(reply));
        },
        *around_.log, limits);
    around_.log->info("zones") << op_.label << ": takes updates at " << listener_->address().text() << ", "
                               << keys_.size() << " keys";
  } catch (const std::exception& e) {
    around_.log->error("zones") << op_.label << ": " << e.what() << " code=listen";
    listenAgain_.schedule(kListenRetry);
  }
}

void ZoneSource::onMessage(const std::string& message, const std::string& peer, Listener::Reply reply) {
  if (isNotify(message)) return onNotify(message, peer, reply);
  if (!processor_) return;
  const dns_zone::UpdateProcessor::Taken taken = processor_->take(message, keys_, unixNow());
  if (taken.code == "accepted")
    ++counts_.accepted;
  else if (taken.code == "repeated")
    ++counts_.repeated;
  else
    refused(taken, peer);
  if (taken.answered)
    reply(taken.answer);
  else
    waiting_[taken.ticket] = std::move(reply);
  writeNext();
}

// A flood of refusals is one line a second.
void ZoneSource::refused(const dns_zone::UpdateProcessor::Taken& taken, const std::string& peer) {
  ++counts_.refused;
  const Micros now = around_.clock();
  if (refusedToldAt_ != 0 && now < refusedToldAt_ + kRefusedEvery) {
    ++refusedUntold_;
    return;
  }
  refusedToldAt_ = now;
  log::Line line = around_.log->warn("zones");
  line << op_.label << ": update of " << peer << " refused code=" << taken.code << " "
       << dns_zone::nameOf(taken.rcode);
  if (!taken.why.empty()) line << " (" << taken.why << ")";
  if (refusedUntold_ > 0) line << ", and " << refusedUntold_ << " more since the last line";
  refusedUntold_ = 0;
}

}  // namespace peargrade::zone_server
