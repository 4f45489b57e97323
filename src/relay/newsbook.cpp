#include "relay/newsbook.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace peargrade::relay {
namespace {

bool equal(double a, double b) { return std::abs(a - b) <= 1e-6 * std::max(1.0, std::abs(a)); }

template <class Lines>
bool equalLines(const Lines& a, const Lines& b) {
  if (a.size() != b.size()) return false;
  for (auto i = a.begin(), k = b.begin(); i != a.end(); ++i, ++k) {
    if (i->first != k->first || !equal(i->second, k->second)) return false;
  }
  return true;
}

template <class Slices>
void apply(const Order& order, Slices& slices) {
  if (order.cleared) {
    if (const auto it = slices.find(*order.cleared); it != slices.end()) it->second.clear();
  }
  if (!order.line) return;
  const auto it = slices.find(order.line->table);
  if (it == slices.end()) return;
  if (order.line->weight > 0)
    it->second[order.line->server] = order.line->weight;
  else
    it->second.erase(order.line->server);
}

}  // namespace

void NewsBook::begin(const Call& flight, bool inDoubt) {
  settling_ = true;
  doubtCarriedOut_ = false;
  unseenProxies_ = proxies_;
  unseenSlices_.clear();
  for (const auto& [slice, lines] : slices_) unseenSlices_.insert(slice);
  repeated_ = -1;
  told_.clear();
  before_ = slices_;
  since_.clear();
  if (!flight.empty()) since_.push_back(flight);
  firstInDoubt_ = inDoubt;
}

void NewsBook::sent(const Call& call) {
  if (settling_) since_.push_back(call);
}

void NewsBook::taken(const Order& order) { apply(order, slices_); }

// Whether the lines told for a slice are what the store held as the stream began, or that with the calls that
// have gone out since, up to any one of them.
bool NewsBook::expected(TableId slice, const Lines& told) {
  std::map<TableId, Lines> state{{slice, before_[slice]}};
  if (equalLines(state[slice], told)) return true;
  for (std::size_t k = 0; k < since_.size(); ++k) {
    for (const Order& order : since_[k]) apply(order, state);
    if (!equalLines(state[slice], told)) continue;
    doubtCarriedOut_ = doubtCarriedOut_ || firstInDoubt_;
    return true;
  }
  return false;
}

// A slice of ours has been repeated in full. Where another supervisor wrote it meanwhile, it counts as given
// anew.
void NewsBook::closeRepeat(std::vector<Event>& events) {
  if (repeated_ < 0) return;
  const TableId slice = std::exchange(repeated_, -1);
  if (expected(slice, told_)) return;
  slices_[slice] = told_;
  events.push_back(SliceAssignment{slice, false});
  events.push_back(SliceAssignment{slice, true});
  for (const auto& [server, weight] : told_) events.push_back(StoredRoute{slice, server, weight});
}

void NewsBook::take(const News& news, std::vector<Event>& events) {
  if (const auto* line = std::get_if<StoredRoute>(&news); line != nullptr && line->slice == repeated_) {
    told_[line->server] = line->weight;
    return;
  }
  closeRepeat(events);
  if (const auto* joined = std::get_if<ProxyConnected>(&news)) {
    unseenProxies_.erase(joined->proxy);
    const bool known = !proxies_.insert(joined->proxy).second;
    // One that holds nothing that was ordered has started anew, and one that joins twice has left between.
    // Announced by a new stream of news its own never broke; whether it left between nobody tells then.
    if (known && settling_ && !joined->newIncarnation) return;
    if (known && !settling_) events.push_back(ProxyDisconnected{joined->proxy});
    events.push_back(*joined);
  } else if (const auto* left = std::get_if<ProxyDisconnected>(&news)) {
    unseenProxies_.erase(left->proxy);
    if (proxies_.erase(left->proxy) > 0) events.push_back(*left);
  } else if (const auto* charge = std::get_if<SliceAssignment>(&news)) {
    const bool known = slices_.count(charge->slice) > 0;
    if (charge->assigned && known && unseenSlices_.erase(charge->slice) > 0) {
      repeated_ = charge->slice;
      told_.clear();
      return;
    }
    unseenSlices_.erase(charge->slice);
    if (charge->assigned)
      slices_[charge->slice].clear();
    else if (slices_.erase(charge->slice) == 0)
      return;
    events.push_back(*charge);
  } else if (const auto* line = std::get_if<StoredRoute>(&news)) {
    const auto it = slices_.find(line->slice);
    if (it == slices_.end()) return;
    it->second[line->server] = line->weight;
    events.push_back(*line);
  } else if (const auto* applied = std::get_if<UpdateAcknowledged>(&news)) {
    if (proxies_.count(applied->proxy) > 0) events.push_back(*applied);
  }
}

std::size_t NewsBook::records() const {
  std::size_t count =
      proxies_.size() + unseenProxies_.size() + unseenSlices_.size() + before_.size() + since_.size();
  for (const auto& [slice, lines] : slices_) count += 1 + lines.size();
  return count;
}

void NewsBook::settle(std::vector<Event>& events) {
  closeRepeat(events);
  if (!settling_) return;
  settling_ = false;
  for (ProxyId proxy : unseenProxies_) {
    proxies_.erase(proxy);
    events.push_back(ProxyDisconnected{proxy});
  }
  for (TableId slice : unseenSlices_) {
    slices_.erase(slice);
    events.push_back(SliceAssignment{slice, false});
  }
  unseenProxies_.clear();
  unseenSlices_.clear();
  before_.clear();
  since_.clear();
}

}  // namespace peargrade::relay
