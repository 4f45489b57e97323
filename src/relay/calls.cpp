#include "relay/calls.h"

#include <algorithm>
#include <charconv>

namespace peargrade::relay {

void Calls::add(std::vector<Order> reply) {
  ++counts_.replies;
  if (state_ == State::Missed) {
    flight_.clear();
    waiting_.clear();
    state_ = State::Idle;
  }
  ended_ = false;
  messages_ = 0;
  for (Order& order : reply) {
    if (order.mark) mark_ = order.mark->updateId;
    if (std::find(refused_.begin(), refused_.end(), order.text) != refused_.end()) continue;
    if (waiting_.size() >= most_) {
      ++counts_.lost;
      waiting_.pop_front();
    }
    waiting_.push_back(std::move(order));
  }
}

std::string Calls::begin() {
  std::string text;
  ++counts_.calls;
  ++messages_;
  flight_.clear();
  while (!waiting_.empty()) {
    Order& order = waiting_.front();
    if (!flight_.empty() && text.size() + 1 + order.text.size() > kBytesMost) break;
    text += (text.empty() ? "" : ";") + order.text;
    flight_.push_back(std::move(order));
    waiting_.pop_front();
  }
  state_ = State::InCall;
  return "APPLY " + text + "\r\n";
}

void Calls::done(std::size_t count) {
  for (std::size_t k = 0; k < count && taken_; ++k) taken_(flight_[k]);
}

// The call in hand was taken as a whole; with the last one of a reply the reply was.
void Calls::finish() {
  done(flight_.size());
  flight_.clear();
  state_ = State::Idle;
  if (!waiting_.empty()) return;
  ended_ = true;
  doubted_.clear();
  refused_.clear();
}

void Calls::miss(bool perhaps) {
  ++counts_.missed;
  if (!perhaps && state_ == State::InCall) --messages_;
  if (perhaps) doubted_ = flight_;
  state_ = State::Missed;
  ended_ = true;
}

Calls::Fate Calls::tell() {
  ended_ = false;
  const Fate fate{mark_, state_ != State::Missed, messages_};
  if (state_ == State::Missed) {  // the reply that follows holds what is still wanted
    flight_.clear();
    waiting_.clear();
    state_ = State::Idle;
  }
  return fate;
}

Calls::Outcome Calls::answered(const std::string& line) {
  if (line.compare(0, 3, "OK ") == 0) {
    std::size_t count = 0;
    const auto end = std::from_chars(line.data() + 3, line.data() + line.size(), count);
    if (end.ec != std::errc() || end.ptr != line.data() + line.size() || count > flight_.size())
      return Outcome::Unreadable;
    ++counts_.answered;
    invalid_ = 0;
    if (count == flight_.size()) {
      skipped_.clear();
      finish();
      return Outcome::Taken;
    }
    done(count);
    // Guards against a spoilt count that would lose an order: it is left out when the relay halts there
    // twice.
    const bool twice = flight_[count].text == skipped_;
    skipped_ = flight_[count].text;
    if (twice) refused_.push_back(skipped_);
    miss(true);
    return twice ? Outcome::Skipped : Outcome::Halted;
  }
  if (line.size() < 200 && line.find("throttled") != std::string::npos) {
    miss(false);
    return Outcome::Throttled;
  }
  // Guards against a false `invalid`: the call is in doubt like any that was not answered. Only orders that
  // get nothing else are dropped, as they would be in the way of all that is newer.
  if (line.size() < 200 && line.find("invalid") != std::string::npos && ++invalid_ >= kInvalidMost) {
    invalid_ = 0;
    skipped_ = flight_.empty() ? "" : flight_.front().text;
    flight_.clear();
    waiting_.clear();
    finish();
    return Outcome::Invalid;
  }
  return Outcome::Unreadable;
}

void Calls::broken() {
  if (state_ == State::InCall) return miss(true);
  if (state_ == State::Idle && !waiting_.empty()) miss(false);
}

void Calls::applied(int mark) {
  if (state_ != State::Missed) return;
  for (const Order& order : doubted_) {
    if (order.mark && order.mark->updateId == mark) return carriedOut();
  }
}

void Calls::carriedOut() {
  if (state_ != State::Missed || flight_.empty() || doubted_.empty()) return;
  ++counts_.settled;
  invalid_ = 0;
  if (waiting_.empty()) return finish();
  done(flight_.size());  // the rest of the reply is still missed
  flight_.clear();
}

}  // namespace peargrade::relay
