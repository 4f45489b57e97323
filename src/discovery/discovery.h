/// Client of the discovery service: keeps the endpoint list up to date by polls and watches of its catalog.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <vector>

#include "discovery/catalog.h"
#include "discovery/catalog_request.h"
#include "discovery/limits.h"
#include "dispatch/dispatcher.h"
#include "log/log.h"
#include "net/net.h"

namespace peargrade::discovery {

/// Executes the decision module's WatchEndpoints and PollEndpoints actions. Results are EndpointListUpdate
/// events: the full list, its deltas, or one `Failed` when the request in progress fails. Runs one request at
/// a time, except after an address change: the old watch stays active until its successor, a watch at
/// the new address, has delivered its first object.
class Discovery {
 public:
  using Limits = discovery::Limits;

  /// `knownVersion`: version of the cached list, 0 if there is none. `names`, `dispatcher` and `log` must
  /// outlive the client.
  Discovery(event_base* base, const net::Address& address, const Names& names, std::int64_t knownVersion,
            dispatch::Dispatcher& dispatcher, log::Log& log, Limits limits);
  ~Discovery();
  Discovery(const Discovery&) = delete;
  Discovery& operator=(const Discovery&) = delete;

  /// Receives each update and the socket addresses of its endpoints, in the same order; "" for an endpoint
  /// without one.
  using Listener = std::function<void(EndpointListUpdate, std::vector<std::string> socketAddresses)>;
  /// Sends further updates to `listener` instead of the dispatcher, so that the membership can merge them
  /// with other sources. `Failed` still goes to the dispatcher.
  void setListener(Listener listener) { listener_ = std::move(listener); }

  /// Switches to another address of the discovery service. Make before break: an open watch stays
  /// active until its successor at `address` has delivered its first object.
  void moveTo(const net::Address& address);

 private:
  using RequestKind = CatalogRequest::Kind;
  enum class Outcome { Completed, Failed };

  void handleRequest(dispatch::Dispatcher::EndpointListRequest request);
  void requestList(RequestKind kind);
  void closeWatches(const std::string& detail);
  void startPendingRequest();
  void startRequest(RequestKind kind);
  /// The first open request; nullptr if there is none.
  CatalogRequest* activeRequest();

  void parseObject(CatalogRequest& request, const std::string& json);
  void applyObject(CatalogRequest& request, const wire::Value& object);
  void retirePredecessors(const CatalogRequest& successor);
  void handleTimeout(CatalogRequest& request);
  /// Closes the request and logs the reason. If the active request failed and has no successor,
  /// notifies the decision module. If a successor failed, schedules another attempt after a backoff.
  void finish(CatalogRequest& request, log::CloseReason reason, const std::string& detail, Outcome outcome);
  void destroyClosedRequests();

  event_base* base_;
  net::Address address_;
  const Names& names_;
  std::int64_t version_;  // of the last update that was delivered
  dispatch::Dispatcher& dispatcher_;
  log::Log& log_;
  const Limits limits_;
  Listener listener_;

  /// The active request, then its successor if there is one. Closed requests remain until they are
  /// destroyed.
  std::list<CatalogRequest> requests_;
  /// Whether a watch starts once the request in progress has ended.
  bool watchPending_ = false;
  /// Whether a poll starts once the request in progress has ended.
  bool pollPending_ = false;
  /// Whether the next watch requests the full list: the last object was invalid, or its delta did not
  /// apply to the known list.
  bool fullListNeeded_ = false;
  /// Doubles with each timeout, up to the limit.
  Micros firstObjectTimeout_;
  net::Backoff reconnectBackoff_;
  net::Timer destroyTimer_;
  net::Timer reconnectTimer_;
};

}  // namespace peargrade::discovery
