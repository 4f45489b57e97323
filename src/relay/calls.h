// The sequence of orders to the relay, without sockets: what is not sent, what is in a call, and what became
// of it.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

#include "relay/orders.h"

namespace peargrade::relay {

class Calls {
 public:
  static constexpr std::size_t kBytesMost = 60000;  // of orders in a call, by the relay's page
  static constexpr int kInvalidMost = 5;            // answers `invalid` to one call until it is believed

  // `most`: orders that may wait; beyond it the oldest are lost.
  explicit Calls(std::size_t most) : most_(most) {}

  // The orders of one reply. What waits from earlier replies goes out together with them, in one call where
  // the bytes allow: a table is then never seen between the two. An older order of the same key gives way to
  // the newer.
  void add(std::vector<Order> reply);

  bool inCall() const { return state_ == State::InCall; }
  bool inDoubt() const { return state_ == State::InDoubt; }
  bool wants() const { return state_ == State::InDoubt || (state_ == State::Idle && !waiting_.empty()); }
  std::size_t waiting() const { return waiting_.size(); }
  std::size_t records() const { return waiting_.size() + byKey_.size() + flight_.size(); }

  // Starts a call and returns its line. One in doubt is repeated as it was, before anything newer.
  std::string begin();

  // Again: halted at an order, which leads the next call; Skipped: halted there once more, so it is left out.
  // Unreadable: the caller ends the connection, and the call is in doubt.
  enum class Outcome { Taken, Again, Skipped, Throttled, Invalid, Unreadable };
  // The relay's answer to the call. Answers come spoilt: what one alone says costs no order.
  Outcome answered(const std::string& line);
  // The connection broke, or no answer came: the call was carried out as a whole or not at all.
  void broken();
  // Not a byte of it can have arrived: it waits again.
  void unsent();
  // Evidence that a call in doubt was carried out: a proxy has applied its mark, or the store shows its
  // lines.
  void applied(int mark);
  void carriedOut();

  const std::vector<Order>& flight() const { return flight_; }
  // Told of each order that the relay has taken.
  void onTaken(std::function<void(const Order&)> sink) { taken_ = std::move(sink); }
  const std::string& skipped() const { return skipped_; }

  struct Counts {
    std::uint64_t replies = 0, calls = 0, answered = 0, merged = 0, superseded = 0, repeated = 0, settled = 0,
                  lost = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  enum class State { Idle, InCall, InDoubt };
  void putBack(std::size_t from);
  void append(Order order);
  void done(std::size_t count);

  const std::size_t most_;
  State state_ = State::Idle;
  int invalid_ = 0;  // answers in a row, to the call in hand
  std::list<Order> waiting_;
  std::unordered_map<std::string, std::list<Order>::iterator> byKey_;
  std::vector<Order> flight_;
  std::string skipped_;
  std::function<void(const Order&)> taken_;
  Counts counts_;
};

}  // namespace peargrade::relay
