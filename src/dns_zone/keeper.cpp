#include "dns_zone/keeper.h"

namespace peargrade::dns_zone {

const char* codeOf(Judgement judgement) {
  switch (judgement) {
    case Judgement::First:
      return "first";
    case Judgement::Same:
      return "same";
    case Judgement::Newer:
      return "newer";
    case Judgement::Accepted:
      return "accepted";
    case Judgement::Backwards:
      return "serial-backwards";
    case Judgement::SameSerial:
      return "same-serial";
  }
  return "?";
}

Judgement Keeper::judge(const Zone* now, const Zone& candidate, std::optional<std::uint32_t> accepted) const {
  if (now == nullptr) return Judgement::First;
  if (*now == candidate) return Judgement::Same;
  if (later(candidate.serial(), now->serial())) return Judgement::Newer;
  if (accepted && *accepted == candidate.serial()) return Judgement::Accepted;
  return candidate.serial() == now->serial() ? Judgement::SameSerial : Judgement::Backwards;
}

std::optional<std::string> Keeper::tell(Judgement judgement, const Zone* now, const Zone& candidate) {
  if (judgement != Judgement::Backwards && judgement != Judgement::SameSerial) {
    told_.clear();
    return std::nullopt;
  }
  std::string text = "zone " + candidate.origin() + " refused code=" + codeOf(judgement) + ": serial " +
                     std::to_string(candidate.serial()) + " after " +
                     std::to_string(now == nullptr ? 0 : now->serial()) +
                     (judgement == Judgement::SameSerial ? " with other content" : "");
  if (text == told_) return std::nullopt;
  told_ = text;
  return text;
}

}  // namespace peargrade::dns_zone
