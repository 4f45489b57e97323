#include "relay/watch_event.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <vector>

#include "wire/fields.h"

namespace peargrade::relay {
namespace {

/// Upper bound of an acknowledgement delay, in milliseconds; larger values are clamped to it.
constexpr double kDelayMaxMs = 1e9;
constexpr int kUpdateIdMax = 65535;
/// Longest prefix of a field that an error message quotes, in bytes.
constexpr std::size_t kQuotedFieldBytesMax = 40;

[[noreturn]] void fail(const std::string& what) { wire::fail("watch event", what); }

std::string quote(const std::string& field) { return "'" + field.substr(0, kQuotedFieldBytesMax) + "'"; }

/// The fields of one line, separated by spaces. The accessors throw ParseError if a field is missing or
/// invalid; `name` is the name of the field in the error message.
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
    if (index >= fields_.size()) fail(std::string("field '") + name + "' is missing");
    return fields_[index];
  }

  /// An integer from 0 to `max`.
  int integer(std::size_t index, const char* name, int max) const {
    const std::string& field = text(index, name);
    const auto value = parse<int>(field);
    if (!value || *value < 0 || *value > max) {
      fail(std::string("'") + name + "': expected an integer from 0 to " + std::to_string(max) + ", found " +
           quote(field));
    }
    return *value;
  }

  /// A finite number that is not negative.
  double number(std::size_t index, const char* name) const {
    const std::string& field = text(index, name);
    const auto value = parse<double>(field);
    if (!value || !std::isfinite(*value) || *value < 0)
      fail(std::string("'") + name + "': expected a finite number of at least 0, found " + quote(field));
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

ProxyId parseProxy(const LineFields& fields) {
  return fields.integer(2, "sidecar", static_cast<int>(wire::kProxyMax));
}

TableId parseSlice(const LineFields& fields, int slices) {
  return fields.integer(2, "partition", slices - 1);
}

ProxyConnected parseConnected(const LineFields& fields, const Names& names) {
  const std::string& zoneName = fields.text(3, "az");
  const int zone = discovery::indexOf(names.zones, zoneName);
  if (zone < 0) fail("'az': expected a zone of the settings, found " + quote(zoneName));
  return {parseProxy(fields), zone, fields.number(4, "share"), fields.boolean(5, "standing")};
}

UpdateAcknowledged parseAcknowledged(const LineFields& fields) {
  const double delayMs = std::min(fields.number(4, "lag_ms"), kDelayMaxMs);
  return {parseProxy(fields), fields.integer(3, "version", kUpdateIdMax),
          static_cast<Micros>(std::llround(delayMs * 1000))};
}

}  // namespace

WatchEvent parseWatchEvent(const std::string& line, const Names& names, int slices) {
  const LineFields fields(line);
  if (fields.text(0, "*") != "*") fail("expected a line that begins with '*', found " + quote(line));
  if (fields.size() == 1) return Heartbeat{};
  const std::string& type = fields.text(1, "type");
  if (type == "attach") return parseConnected(fields, names);
  if (type == "detach") return ProxyDisconnected{parseProxy(fields)};
  if (type == "done") return parseAcknowledged(fields);
  if (type == "owner") return SliceAssignment{parseSlice(fields, slices), fields.boolean(3, "yes")};
  if (type == "entry") {
    return StoredRoute{parseSlice(fields, slices), fields.text(3, "host"), fields.number(4, "weight")};
  }
  fail("expected type attach, detach, done, owner or entry, found " + quote(type));
}

bool isAcknowledgementLine(const std::string& line) { return line.compare(0, 6, "* done") == 0; }

}  // namespace peargrade::relay
