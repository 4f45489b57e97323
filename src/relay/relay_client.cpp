#include "relay/relay_client.h"

#include <algorithm>
#include <utility>

#include "errors/parse_error.h"
#include "wire/fields.h"

namespace peargrade::relay {
namespace {

/// Whether later lines may hold more events of the same slice.
Continuation continuationAfter(const WatchEvent& event) {
  const bool ofSlice =
      std::holds_alternative<SliceAssignment>(event) || std::holds_alternative<StoredRoute>(event);
  return ofSlice ? Continuation::MoreMayFollow : Continuation::Complete;
}

bool isPowerOfTwo(std::uint64_t count) { return (count & (count - 1)) == 0; }

}  // namespace

RelayClient::RelayClient(event_base* base, const net::Address& address, const Names& names, int slices,
                         std::uint64_t seed, dispatch::Dispatcher& dispatcher, log::Log& log,
                         const Limits& limits)
    : names_(names),
      slices_(slices),
      limits_(limits),
      dispatcher_(dispatcher),
      log_(log),
      batch_(base, limits.batchDelay, limits.batchDelayMax, limits.batchEventsMax, dispatcher),
      calls_(base, address, limits, seed + 1, dispatcher, log,
             {[this](const Call& call) { onCallSent(call); },
              [this](const Command& command) { view_.onCommandAccepted(command); },
              [this](const SettledCall& settled) { onCallSettled(settled); },
              [this] { return watch_.openAddress(); }}),
      watch_(base, address, limits, seed, log,
             {[this] { onWatchOpened(); }, [this](const std::string& line) { onWatchLine(line); },
              [this] { batch_.flush(); }}) {
  dispatcher_.onTableUpdate([this](const dispatch::Dispatcher::TableUpdate& update) { sendUpdate(update); });
}

RelayClient::~RelayClient() { dispatcher_.onTableUpdate(nullptr); }

void RelayClient::moveTo(const net::Address& address) {
  calls_.setAddress(address);
  watch_.moveTo(address);
}

bool RelayClient::busy() const {
  const UpdateCalls& calls = calls_.calls();
  return calls.awaitingReply() || (calls.pending() > 0 && !calls.undelivered());
}

void RelayClient::sendUpdate(const dispatch::Dispatcher::TableUpdate& update) {
  Commands commands;
  for (const Action& action : update) {
    if (auto command = encodeCommand(action, names_)) commands.push_back(std::move(*command));
  }
  calls_.send(std::move(commands));
}

void RelayClient::onWatchOpened() {
  batch_.flush();
  forgetOldCalls();
  view_.beginReplay(firstCallNotShown());
  reportMissedAcknowledgements();
  dispatcher_.relayConnected();
  calls_.closeIfMoved();
}

void RelayClient::onCallSent(const Call& call) {
  forgetOldCalls();
  recentCalls_.push_back({call.id, net::steadyNow()});
  view_.onCallSent(call);
}

void RelayClient::onCallSettled(const SettledCall& settled) {
  view_.onCallSettled(settled);
  const std::size_t unknownCalls = view_.unknownCalls();
  if (settled.outcome == CallOutcome::Unknown && unknownCalls > 1)
    log_.warn("relay") << unknownCalls << " calls may or may not have been executed";
}

/// The first call whose effect a watch that is opened now may not show.
CallId RelayClient::firstCallNotShown() const {
  const UpdateCalls& calls = calls_.calls();
  CallId first = calls.counts().calls + 1;
  if (!recentCalls_.empty()) first = recentCalls_.front().id;
  return calls.awaitingReply() ? std::min(first, calls.inFlight().id) : first;
}

// A relay executes a call within the reply timeout or not at all. A watch opened within that time may show
// the store as it was before the call.
void RelayClient::forgetOldCalls() {
  const Micros settledBefore = net::steadyNow() - limits_.replyTimeout;
  while (!recentCalls_.empty() && recentCalls_.front().sentAt < settledBefore) recentCalls_.pop_front();
}

// A replay holds the present state, not past acknowledgements. Those sent between the last line of the former
// watch and the start of this one are lost.
void RelayClient::reportMissedAcknowledgements() {
  if (hasOpenedWatch_) batch_.add({AcknowledgementsMissed{}}, Continuation::Complete);
  hasOpenedWatch_ = true;
}

// A corrupt acknowledgement is ignored: the next one of the same proxy covers it. After any other corrupt
// line the watch must end, because only the replay of a new watch restores the missed change.
void RelayClient::onWatchLine(const std::string& line) {
  try {
    const WatchEvent event = parseWatchEvent(line, names_, slices_);
    if (log_.shows(log::Level::Debug)) log_.debug("relay") << line;
    onWatchEvent(event);
  } catch (const ParseError& error) {
    if (!isAcknowledgementLine(line)) throw;
    onUnreadableAcknowledgement(error.what());
  }
}

void RelayClient::onWatchEvent(const WatchEvent& event) {
  // A corrupt acknowledgement must not resolve a call whose outcome is unknown: accept it from connected
  // proxies only.
  const auto* acknowledged = std::get_if<UpdateAcknowledged>(&event);
  if (acknowledged != nullptr && view_.isConnected(acknowledged->proxy))
    calls_.onAcknowledged(acknowledged->updateId);
  std::vector<Event> events;
  view_.apply(event, events);
  const auto* route = std::get_if<StoredRoute>(&event);
  if (route != nullptr && view_.routeCount(route->slice) > limits_.routesPerSliceMax)
    wire::fail("watch event", "more than " + std::to_string(limits_.routesPerSliceMax) + " routes of slice " +
                                  std::to_string(route->slice));
  const bool heartbeat = std::holds_alternative<Heartbeat>(event);
  if (heartbeat && view_.replaying() && watch_.openFor() > limits_.replayDuration) {
    view_.endReplay(events);
    // Not before the end of the replay: a relay that accepts WATCH and then drops the connection must be
    // reconnected with increasing backoff.
    watch_.resetBackoff();
  }
  const CallId unconfirmed = calls_.calls().unconfirmed();
  if (view_.confirmsCall(unconfirmed)) calls_.onCallConfirmed(unconfirmed);
  calls_.reportConfirmedDelivery();
  batch_.add(std::move(events), continuationAfter(event));
}

void RelayClient::onUnreadableAcknowledgement(const std::string& error) {
  ++unreadableAcknowledgements_;
  if (!isPowerOfTwo(unreadableAcknowledgements_)) return;
  log_.warn("relay") << unreadableAcknowledgements_
                     << " unreadable acknowledgements ignored; latest error: " << error;
}

}  // namespace peargrade::relay
