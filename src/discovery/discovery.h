/// Client of the discovery service: keeps the endpoint list known by polls and watches of its catalog.
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

/// Serves the decision module's WatchEndpoints and PollEndpoints, and answers with EndpointListUpdate events:
/// the list, its changes, or one `Failed` when the request that was in progress is lost. One request at a
/// time; after a change of address the old one stays active until its successor has delivered.
class Discovery {
 public:
  using Limits = discovery::Limits;

  /// `knownVersion`: version of the cached list, 0 if there is none. `names`, `dispatcher` and `log` outlive
  /// it.
  Discovery(event_base* base, const net::Address& address, const Names& names, std::int64_t knownVersion,
            dispatch::Dispatcher& dispatcher, log::Log& log, Limits limits);
  ~Discovery();
  Discovery(const Discovery&) = delete;
  Discovery& operator=(const Discovery&) = delete;

  /// Receives each update, with the socket address of each of its endpoints in their order ("" where it has
  /// none).
  using Listener = std::function<void(EndpointListUpdate, std::vector<std::string> socketAddresses)>;
  /// Updates go to the listener instead of the dispatcher from now on: to the membership, which merges
  /// several sources. `Failed` still goes to the dispatcher.
  void setListener(Listener listener) { listener_ = std::move(listener); }

  /// Discovery has another address from now on. Make before break: an open watch stays active until the one
  /// at the new address has delivered its first object.
  void moveTo(const net::Address& address);

 private:
  using RequestKind = CatalogRequest::Kind;
  enum class Outcome { Completed, Failed };

  void handleRequest(dispatch::Dispatcher::EndpointListRequest request);
  void requestList(RequestKind kind);
  void closeWatches(const std::string& detail);
  void beginPending();
  void begin(RequestKind kind);
  /// The first request that is not closed; nullptr if there is none.
  CatalogRequest* active();

  void receive(CatalogRequest& request, const std::string& json);
  void apply(CatalogRequest& request, const wire::Value& object);
  void retirePredecessors(const CatalogRequest& successor);
  void handleTimeout(CatalogRequest& request);
  /// Closes the request and logs why. After a failure of the active one without a successor the decision
  /// module is notified; a successor that failed is tried again after a backoff.
  void finish(CatalogRequest& request, log::CloseReason reason, const std::string& detail, Outcome outcome);
  void destroyClosed();

  event_base* base_;
  net::Address address_;
  const Names& names_;
  std::int64_t version_;  // of the last update that was passed on
  dispatch::Dispatcher& dispatcher_;
  log::Log& log_;
  const Limits limits_;
  Listener listener_;

  std::list<CatalogRequest>
      requests_;               // the active one, behind it its successor; closed ones until destroyed
  bool watchPending_ = false;  // begins once the request in progress is over
  bool pollPending_ = false;
  bool fullListNeeded_ = false;  // the list known here does not fit discovery's changes
  Micros firstObjectTimeout_;    // adaptive: doubles with each timeout, up to the limit
  net::Backoff reconnectBackoff_;
  net::Timer destroyTimer_;
  net::Timer reconnectTimer_;
};

}  // namespace peargrade::discovery
