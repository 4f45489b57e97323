#include "dns_zone/serial_policy.h"

namespace peargrade::dns_zone {

const char* codeOf(SerialVerdict verdict) {
  switch (verdict) {
    case SerialVerdict::First:
      return "first";
    case SerialVerdict::Same:
      return "same";
    case SerialVerdict::Newer:
      return "newer";
    case SerialVerdict::Accepted:
      return "accepted";
    case SerialVerdict::Backwards:
      return "serial-backwards";
    case SerialVerdict::SameSerial:
      return "same-serial";
  }
  return "?";
}

SerialVerdict SerialPolicy::judge(const Zone* now, const Zone& candidate,
                                  std::optional<std::uint32_t> accepted) const {
  if (now == nullptr) return SerialVerdict::First;
  if (*now == candidate) return SerialVerdict::Same;
  if (later(candidate.serial(), now->serial())) return SerialVerdict::Newer;
  if (accepted && *accepted == candidate.serial()) return SerialVerdict::Accepted;
  return candidate.serial() == now->serial() ? SerialVerdict::SameSerial : SerialVerdict::Backwards;
}

std::optional<std::string> SerialPolicy::tell(SerialVerdict verdict, const Zone* now, const Zone& candidate) {
  if (verdict != SerialVerdict::Backwards && verdict != SerialVerdict::SameSerial) {
    lastRejection_.clear();
    return std::nullopt;
  }
  std::string text = "zone " + candidate.origin() + " refused code=" + codeOf(verdict) + ": serial " +
                     std::to_string(candidate.serial()) + " after " +
                     std::to_string(now == nullptr ? 0 : now->serial()) +
                     (verdict == SerialVerdict::SameSerial ? " with other content" : "");
  if (text == lastRejection_) return std::nullopt;
  lastRejection_ = text;
  return text;
}

}  // namespace peargrade::dns_zone
