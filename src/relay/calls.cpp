#include "relay/calls.h"

#include <charconv>

namespace peargrade::relay {

void Calls::append(Order order) {
  if (const auto old = byKey_.find(order.key); old != byKey_.end()) {
    ++counts_.superseded;
    if (order.mark && old->second->mark) order.mark->reachAll |= old->second->mark->reachAll;
    waiting_.erase(old->second);
    byKey_.erase(old);
  }
  if (waiting_.size() >= most_) {
    ++counts_.lost;
    byKey_.erase(waiting_.front().key);
    waiting_.pop_front();
  }
  const std::string key = order.key;
  if (order.mark)
    order.text = "fence," + std::to_string(order.mark->mark) + (order.mark->reachAll ? ",1" : ",0");
  byKey_[key] = waiting_.insert(waiting_.end(), std::move(order));
}

void Calls::add(std::vector<Order> reply) {
  ++counts_.replies;
  if (!waiting_.empty()) ++counts_.merged;
  for (Order& order : reply) append(std::move(order));
}

std::string Calls::begin() {
  std::string text;
  const auto join = [&](const Order& order) { text += (text.empty() ? "" : ";") + order.text; };
  ++counts_.calls;
  if (state_ == State::InDoubt) {
    ++counts_.repeated;
    for (const Order& order : flight_) join(order);
  } else {
    flight_.clear();
    while (!waiting_.empty()) {
      Order& order = waiting_.front();
      if (!flight_.empty() && text.size() + 1 + order.text.size() > kBytesMost) break;
      join(order);
      byKey_.erase(order.key);
      flight_.push_back(std::move(order));
      waiting_.pop_front();
    }
  }
  state_ = State::InCall;
  return "APPLY " + text + "\r\n";
}

void Calls::done(std::size_t count) {
  for (std::size_t k = 0; k < count && taken_; ++k) taken_(flight_[k]);
}

// From the order `from` on the call waits again, before all that is newer; what a newer order replaces is
// dropped.
void Calls::putBack(std::size_t from) {
  for (std::size_t k = flight_.size(); k > from; --k) {
    Order& order = flight_[k - 1];
    if (byKey_.count(order.key) > 0) {
      ++counts_.superseded;
      continue;
    }
    const std::string key = order.key;
    byKey_[key] = waiting_.insert(waiting_.begin(), std::move(order));
  }
  flight_.clear();
  state_ = State::Idle;
}

Calls::Outcome Calls::answered(const std::string& line) {
  if (line.compare(0, 3, "OK ") == 0) {
    std::size_t count = 0;
    const auto end = std::from_chars(line.data() + 3, line.data() + line.size(), count);
    if (end.ec != std::errc() || end.ptr != line.data() + line.size() || count > flight_.size())
      return Outcome::Unreadable;
    ++counts_.answered;
    invalid_ = 0;
    done(count);
    if (count == flight_.size()) {
      flight_.clear();
      state_ = State::Idle;
      return Outcome::Taken;
    }
    // Guards against a spoilt count that would lose an order: it is left out when the relay halts there
    // twice.
    const bool twice = flight_[count].text == skipped_;
    skipped_ = flight_[count].text;
    putBack(twice ? count + 1 : count);
    return twice ? Outcome::Skipped : Outcome::Again;
  }
  if (line.size() < 200 && line.find("throttled") != std::string::npos) {
    putBack(0);
    return Outcome::Throttled;
  }
  // Guards against a false `invalid`: the call is in doubt like any that was not answered. Only one that gets
  // nothing else is dropped, as it would be in the way of all that is newer.
  if (line.size() < 200 && line.find("invalid") != std::string::npos && ++invalid_ >= kInvalidMost) {
    invalid_ = 0;
    skipped_ = flight_.empty() ? "" : flight_.front().text;
    flight_.clear();
    state_ = State::Idle;
    return Outcome::Invalid;
  }
  return Outcome::Unreadable;
}

void Calls::broken() {
  if (state_ == State::InCall) state_ = State::InDoubt;
}

void Calls::unsent() {
  if (state_ == State::InCall) putBack(0);
}

void Calls::applied(int mark) {
  if (state_ != State::InDoubt) return;
  for (const Order& order : flight_) {
    if (order.mark && order.mark->mark == mark) return carriedOut();
  }
}

void Calls::carriedOut() {
  if (state_ != State::InDoubt) return;
  ++counts_.settled;
  invalid_ = 0;
  done(flight_.size());
  flight_.clear();
  state_ = State::Idle;
}

}  // namespace peargrade::relay
