// The orders of one reply on their way to the relay, without sockets: what is not sent, what is in a call,
// and what became of it.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "relay/orders.h"

namespace peargrade::relay {

class Calls {
 public:
  static constexpr std::size_t kBytesMost = 60000;  // of orders in a call, by the relay's page
  static constexpr int kInvalidMost = 5;            // answers `invalid` in a row until they are believed

  // `most`: orders that may wait; beyond it the oldest are lost.
  explicit Calls(std::size_t most) : most_(most) {}

  // The orders of one reply. The next one is given once the fate of this one has been told; after a miss it
  // holds whatever the missed one held and is not outdated.
  void add(std::vector<Order> reply);

  bool inCall() const { return state_ == State::InCall; }
  // A call is to be made, or a miss to be told.
  bool wants() const { return state_ == State::Missed || (state_ == State::Idle && !waiting_.empty()); }
  bool missed() const { return state_ == State::Missed; }
  std::size_t waiting() const { return waiting_.size(); }
  std::size_t records() const { return waiting_.size() + flight_.size() + doubted_.size() + refused_.size(); }

  // Starts a call and returns its line.
  std::string begin();

  // Halted: at an order that the relay cannot use, or the count is spoilt. One that it halts at twice running
  // is left out from then on: Skipped. Unreadable: the caller ends the connection.
  enum class Outcome { Taken, Halted, Skipped, Throttled, Invalid, Unreadable };
  // The relay's answer to the call. Answers come spoilt: what one alone says costs no order.
  Outcome answered(const std::string& line);
  // The connection broke, or none came up: a call under way was carried out as a whole or not at all.
  void broken();
  // Evidence that a call in doubt was carried out: a proxy has applied its mark, or the store shows its
  // lines.
  void applied(int mark);
  void carriedOut();

  // What became of the last reply, once it is known: told once.
  struct Fate {
    int mark = 0;
    bool taken = false;
    int messages = 0;  // calls that were or may have been carried out
  };
  bool ended() const { return ended_; }
  Fate tell();

  const std::vector<Order>& flight() const { return flight_; }
  // The last call in doubt, until a reply has been taken since.
  const std::vector<Order>& doubted() const { return doubted_; }
  // Told of each order that the relay has taken.
  void onTaken(std::function<void(const Order&)> sink) { taken_ = std::move(sink); }
  const std::string& skipped() const { return skipped_; }

  struct Counts {
    std::uint64_t replies = 0, calls = 0, answered = 0, missed = 0, settled = 0, lost = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  enum class State { Idle, InCall, Missed };
  void miss(bool perhaps);
  void done(std::size_t count);
  void finish();

  const std::size_t most_;
  State state_ = State::Idle;
  bool ended_ = false;
  int mark_ = -1;     // of the reply
  int messages_ = 0;  // calls of the reply that were or may have been carried out
  int invalid_ = 0;   // answers in a row
  std::deque<Order> waiting_;
  std::vector<Order> flight_, doubted_;
  std::string skipped_;
  std::vector<std::string> refused_;  // orders that the relay halted at twice, until a reply is taken
  std::function<void(const Order&)> taken_;
  Counts counts_;
};

}  // namespace peargrade::relay
