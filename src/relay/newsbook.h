// What stands by the relay's news, without sockets. A new stream of news repeats what stands: only
// differences are handed on, and what is no longer named has gone.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "relay/orders.h"

namespace peargrade::relay {

class NewsBook {
 public:
  using Call = std::vector<Order>;
  // A stream of news begins; the store may or may not show the call that is under way or in doubt.
  void begin(const Call& flight, bool inDoubt);
  // A call goes out: while what stands is being repeated, the store may or may not show it.
  void sent(const Call& call);
  // One line of news; what it changes is added to `events`.
  void take(const News& news, std::vector<Event>& events);
  // The repetition is over: what was not repeated has gone.
  void settle(std::vector<Event>& events);
  bool settling() const { return settling_; }

  bool holds(ProxyId proxy) const { return proxies_.count(proxy) > 0; }
  // Proxies, slices and their lines that are kept.
  std::size_t records() const;

  // An order that the relay has taken: the store now holds this.
  void taken(const Order& order);

  // Whether the store showed lines of the call in doubt: it was carried out.
  bool doubtCarriedOut() const { return doubtCarriedOut_; }

 private:
  using Lines = std::map<ServerId, double>;
  void closeRepeat(std::vector<Event>& events);
  bool expected(TableId slice, const Lines& told);

  std::set<ProxyId> proxies_;
  std::map<TableId, Lines> slices_;  // in our charge, with the lines of the store
  bool settling_ = false;
  bool doubtCarriedOut_ = false;
  std::set<ProxyId> unseenProxies_;  // stood before, not yet repeated
  std::set<TableId> unseenSlices_;
  TableId repeated_ = -1;  // a slice of ours that is being repeated, and its lines so far
  Lines told_;
  std::map<TableId, Lines> before_;  // slices_ as the stream began
  std::vector<Call> since_;          // calls that the store may show beyond that, in sequence
  bool firstInDoubt_ = false;
};

}  // namespace peargrade::relay
