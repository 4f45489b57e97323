#include "relay/orders.h"

#include <charconv>
#include <cmath>

#include "wire/fields.h"

namespace peargrade::relay {
namespace {

// The shortest decimal that reads back the same, without an exponent.
std::string number(double value) {
  char text[400];
  const auto end = std::to_chars(text, text + sizeof text, value, std::chars_format::fixed);
  return std::string(text, end.ptr);
}

std::string table(TableId id) { return id == kAllTables ? "*" : std::to_string(id); }

std::string classes(unsigned mask, const Names& names) {
  std::string text;
  for (std::size_t k = 0; k < names.classes.size(); ++k) {
    if (mask != 0 && (mask >> k & 1u) == 0) continue;
    text += (text.empty() ? "" : "+") + names.classes[k];
  }
  return mask == 0 ? "*" : text;
}

struct ToOrder {
  const Names& names;

  std::optional<Order> operator()(const SetRoute& a) const {
    const std::string line = table(a.table) + "," + a.server;
    return Order{"put," + line + "," + number(a.weight), "put," + line, a, {}, {}};
  }
  std::optional<Order> operator()(const ClearTable& a) const {
    return Order{"wipe," + table(a.table), "wipe," + table(a.table), {}, a.table, {}};
  }
  std::optional<Order> operator()(const SetEjection& a) const {
    return Order{(a.state == EjectionState::Ejected ? "eject," : "uneject,") + a.server,
                 "eject," + a.server,
                 {},
                 {},
                 {}};
  }
  std::optional<Order> operator()(const SetAdmission& a) const {
    const std::string where = "gate," + table(a.table) + "," + classes(a.classMask, names);
    return Order{where + "," + number(a.ratio) + "," + std::to_string(static_cast<int>(a.retryPolicy)),
                 where,
                 {},
                 {},
                 {}};
  }
  std::optional<Order> operator()(const AcknowledgementRequest& a) const {
    return Order{"fence," + std::to_string(a.updateId) + (a.everyProxy ? ",1" : ",0"), "fence", {}, {}, a};
  }
  template <class Other>
  std::optional<Order> operator()(const Other&) const {
    return std::nullopt;
  }
};

// The words of one line of news, each checked as it is taken.
class Words {
 public:
  explicit Words(const std::string& line) {
    std::size_t at = 0;
    while (at <= line.size()) {
      const std::size_t end = std::min(line.find(' ', at), line.size());
      if (end > at) words_.push_back(line.substr(at, end - at));
      at = end + 1;
    }
  }
  std::size_t size() const { return words_.size(); }
  const std::string& text(std::size_t k, const char* name) const {
    if (k >= words_.size()) wire::fail("news", std::string("'") + name + "' is missing");
    return words_[k];
  }
  int integer(std::size_t k, const char* name, int most) const {
    const std::string& word = text(k, name);
    int value = -1;
    const auto end = std::from_chars(word.data(), word.data() + word.size(), value);
    if (end.ec != std::errc() || end.ptr != word.data() + word.size() || value < 0 || value > most)
      wire::fail("news", std::string("'") + name + "' is no whole number in range");
    return value;
  }
  double number(std::size_t k, const char* name) const {
    const std::string& word = text(k, name);
    double value = 0;
    const auto end = std::from_chars(word.data(), word.data() + word.size(), value);
    if (end.ec != std::errc() || end.ptr != word.data() + word.size() || !std::isfinite(value) || value < 0)
      wire::fail("news", std::string("'") + name + "' is no number from 0");
    return value;
  }
  bool flag(std::size_t k, const char* name) const { return integer(k, name, 1) == 1; }

 private:
  std::vector<std::string> words_;
};

}  // namespace

std::optional<Order> toOrder(const Action& action, const Names& names) {
  return std::visit(ToOrder{names}, action);
}

News parseNews(const std::string& line, const Names& names, int slices) {
  const Words w(line);
  if (w.text(0, "*") != "*") wire::fail("news", "a line does not begin with '*'");
  if (w.size() == 1) return SignOfLife{};
  const std::string& kind = w.text(1, "type");
  const auto proxy = [&] { return w.integer(2, "sidecar", static_cast<int>(wire::kProxyMax)); };
  const auto slice = [&] { return w.integer(2, "partition", slices - 1); };
  if (kind == "attach") {
    const int zone = discovery::indexOf(names.zones, w.text(3, "az"));
    if (zone < 0) wire::fail("news", "'az' is no zone of the settings");
    return ProxyConnected{proxy(), zone, w.number(4, "share"), w.flag(5, "standing")};
  }
  if (kind == "detach") return ProxyDisconnected{proxy()};
  if (kind == "done") {
    const double lag = std::min(w.number(4, "lag_ms"), 1e9);
    return UpdateAcknowledged{proxy(), w.integer(3, "version", 65535),
                              static_cast<Micros>(std::llround(lag * 1000))};
  }
  if (kind == "owner") return SliceAssignment{slice(), w.flag(3, "yes")};
  if (kind == "entry") return StoredRoute{slice(), w.text(3, "host"), w.number(4, "weight")};
  wire::fail("news", "unknown type '" + kind.substr(0, 40) + "'");
}

}  // namespace peargrade::relay
