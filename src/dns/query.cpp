#include "dns/query.h"

#include <algorithm>

namespace peargrade::dns {
namespace {

// More unrelated answers in one attempt are treated as an attempt to guess the query id: the next attempt
// uses a new port.
constexpr int kMaxUnrelatedAnswers = 32;

}  // namespace

void Query::recordStep(Micros now, const std::string& outcome) {
  taken_.push_back({step_.server, step_.action == Step::Action::Tcp, stepStart_, now - stepStart_, outcome});
}

Query::Step Query::nextAttempt(Micros now) {
  if (attempts_ >= settings_.tries) return step_ = Step{};
  const Micros wait = std::min(settings_.tryMost, settings_.tryFor << std::min(attempts_, 12));
  ++attempts_;
  unrelatedAnswers_ = 0;
  stepStart_ = now;
  const std::size_t server = servers_.select(now, triedServers_);
  triedServers_.insert(server);
  return step_ = Step{Step::Action::Udp, server, wait, !withoutEdns_};
}

Query::Step Query::onAnswer(const Answer& answer, Micros now, bool& ignored) {
  ignored = false;
  const bool tcp = step_.action == Step::Action::Tcp;
  switch (answer.verdict) {
    case Verdict::Unrelated:
      // A TCP answer comes from the server itself, so an unrelated one is a failure of the server.
      if (tcp || ++unrelatedAnswers_ > kMaxUnrelatedAnswers) return onFailure(now, nameOf(answer.verdict));
      ignored = true;
      return step_;
    case Verdict::Answer:
    case Verdict::NoData:
    case Verdict::NxDomain:
    case Verdict::Chain:
      recordStep(now, nameOf(answer.verdict));
      servers_.recordAnswer(step_.server, now - stepStart_);
      bestAnswer_ = answer;
      return step_ = Step{};
    case Verdict::Truncated:
      if (answer.records.size() > bestAnswer_.records.size() || bestAnswer_.verdict != Verdict::Truncated)
        bestAnswer_ = answer;
      if (tcp) return onFailure(now, nameOf(answer.verdict));
      recordStep(now, nameOf(answer.verdict));
      stepStart_ = now;
      return step_ = Step{Step::Action::Tcp, step_.server, settings_.tcpFor, step_.edns};
    case Verdict::FormErr:
    case Verdict::NotImp:
      // A server without EDNS(0) support rejects the query (RFC 6891, section 7): repeat it without EDNS(0).
      if (step_.edns) {
        recordStep(now, nameOf(answer.verdict));
        withoutEdns_ = true;
        stepStart_ = now;
        step_.edns = false;
        return step_;
      }
      return onFailure(now, nameOf(answer.verdict));
    default:
      if (bestAnswer_.verdict != Verdict::Truncated) bestAnswer_.verdict = answer.verdict;
      return onFailure(now, nameOf(answer.verdict));
  }
}

Query::Step Query::onFailure(Micros now, const char* why) {
  recordStep(now, why);
  servers_.recordFailure(step_.server, now);
  return nextAttempt(now);
}

}  // namespace peargrade::dns
