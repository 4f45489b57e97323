#include "relay/watch_event.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <vector>

#include "wire/fields.h"

namespace peargrade::relay {
namespace {

/// Longest acknowledgement delay that is believed, in milliseconds; larger ones are cut to it.
constexpr double kDelayMaxMs = 1e9;
constexpr int kUpdateIdMax = 65535;
/// Characters of an unknown type that an error quotes.
constexpr std::size_t kQuotedTypeMax = 40;

[[noreturn]] void fail(const std::string& what) { wire::fail("watch event", what); }

/// The fields of one line, separated by spaces and checked as they are read.
class LineFields {
 public:
  explicit LineFields(const std::string& line) {
    std::size_t begin = 0;
    while (begin <= line.size()) {
      const std::size_t end = std::min(line.find(' ', begin), line.size());
      if (end > begin) fields_.push_back(line.substr(begin, end - begin));
      begin = end + 1;
    }
  }

  std::size_t size() const { return fields_.size(); }

  const std::string& text(std::size_t index, const char* name) const {
    if (index >= fields_.size()) fail(std::string("'") + name + "' is missing");
    return fields_[index];
  }

  /// A whole number from 0 to `max`.
  int integer(std::size_t index, const char* name, int max) const {
    const auto value = parse<int>(text(index, name));
    if (!value || *value < 0 || *value > max) fail(std::string("'") + name + "' is no whole number in range");
    return *value;
  }

  /// A finite number from 0.
  double number(std::size_t index, const char* name) const {
    const auto value = parse<double>(text(index, name));
    if (!value || !std::isfinite(*value) || *value < 0)
      fail(std::string("'") + name + "' is no number from 0");
    return *value;
  }

  bool boolean(std::size_t index, const char* name) const { return integer(index, name, 1) == 1; }

 private:
  template <class Number>
  static std::optional<Number> parse(const std::string& field) {
    Number value{};
    const char* const last = field.data() + field.size();
    const auto end = std::from_chars(field.data(), last, value);
    if (end.ec != std::errc() || end.ptr != last) return std::nullopt;
    return value;
  }

  std::vector<std::string> fields_;
};

ProxyId proxyOf(const LineFields& fields) {
  return fields.integer(2, "sidecar", static_cast<int>(wire::kProxyMax));
}

TableId sliceOf(const LineFields& fields, int slices) { return fields.integer(2, "partition", slices - 1); }

ProxyConnected parseConnected(const LineFields& fields, const Names& names) {
  const int zone = discovery::indexOf(names.zones, fields.text(3, "az"));
  if (zone < 0) fail("'az' is no zone of the settings");
  return {proxyOf(fields), zone, fields.number(4, "share"), fields.boolean(5, "standing")};
}

UpdateAcknowledged parseAcknowledged(const LineFields& fields) {
  const double delayMs = std::min(fields.number(4, "lag_ms"), kDelayMaxMs);
  return {proxyOf(fields), fields.integer(3, "version", kUpdateIdMax),
          static_cast<Micros>(std::llround(delayMs * 1000))};
}

}  // namespace

WatchEvent parseWatchEvent(const std::string& line, const Names& names, int slices) {
  const LineFields fields(line);
  if (fields.text(0, "*") != "*") fail("a line does not begin with '*'");
  if (fields.size() == 1) return Heartbeat{};
  const std::string& type = fields.text(1, "type");
  if (type == "attach") return parseConnected(fields, names);
  if (type == "detach") return ProxyDisconnected{proxyOf(fields)};
  if (type == "done") return parseAcknowledged(fields);
  if (type == "owner") return SliceAssignment{sliceOf(fields, slices), fields.boolean(3, "yes")};
  if (type == "entry") {
    return StoredRoute{sliceOf(fields, slices), fields.text(3, "host"), fields.number(4, "weight")};
  }
  fail("unknown type '" + type.substr(0, kQuotedTypeMax) + "'");
}

bool isAcknowledgementLine(const std::string& line) { return line.compare(0, 6, "* done") == 0; }

}  // namespace peargrade::relay
