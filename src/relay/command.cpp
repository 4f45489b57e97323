#include "relay/command.h"

#include <charconv>

namespace peargrade::relay {
namespace {

/// Buffer size in bytes: no finite double without an exponent is longer than 327 characters.
constexpr std::size_t kNumberBytesMax = 400;

/// The shortest decimal without an exponent that parses to the same value.
std::string formatNumber(double value) {
  char text[kNumberBytesMax];
  const auto end = std::to_chars(text, text + sizeof text, value, std::chars_format::fixed);
  return std::string(text, end.ptr);
}

std::string formatTable(TableId table) { return table == kAllTables ? "*" : std::to_string(table); }

std::string formatClasses(unsigned mask, const Names& names) {
  if (mask == 0) return "*";
  std::string text;
  for (std::size_t k = 0; k < names.classes.size(); ++k) {
    if ((mask >> k & 1u) == 0) continue;
    if (!text.empty()) text += "+";
    text += names.classes[k];
  }
  return text;
}

/// Encodes each type of action; nullopt for types that have no relay command.
struct CommandEncoder {
  const Names& names;

  std::optional<std::string> operator()(const SetRoute& route) const {
    return "put," + formatTable(route.table) + "," + route.server + "," + formatNumber(route.weight);
  }
  std::optional<std::string> operator()(const ClearTable& clear) const {
    return "wipe," + formatTable(clear.table);
  }
  std::optional<std::string> operator()(const SetEjection& ejection) const {
    return (ejection.state == EjectionState::Ejected ? "eject," : "uneject,") + ejection.server;
  }
  std::optional<std::string> operator()(const SetAdmission& admission) const {
    return "gate," + formatTable(admission.table) + "," + formatClasses(admission.classMask, names) + "," +
           formatNumber(admission.ratio) + "," + std::to_string(static_cast<int>(admission.retryPolicy));
  }
  std::optional<std::string> operator()(const AcknowledgementRequest& request) const {
    return "fence," + std::to_string(request.updateId) + (request.everyProxy ? ",1" : ",0");
  }
  template <class Other>
  std::optional<std::string> operator()(const Other&) const {
    return std::nullopt;
  }
};

}  // namespace

std::optional<int> requestedAcknowledgement(const Command& command) {
  const auto* request = std::get_if<AcknowledgementRequest>(&command.action);
  if (request == nullptr) return std::nullopt;
  return request->updateId;
}

std::optional<Command> encodeCommand(const Action& action, const Names& names) {
  std::optional<std::string> text = std::visit(CommandEncoder{names}, action);
  if (!text) return std::nullopt;
  return Command{std::move(*text), action};
}

}  // namespace peargrade::relay
