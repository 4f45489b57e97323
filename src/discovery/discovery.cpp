#include "discovery/discovery.h"

#include <algorithm>
#include <utility>

namespace peargrade::discovery {
namespace {

constexpr char kComponent[] = "discovery";  // in log lines and parse errors

}  // namespace

Discovery::Discovery(event_base* base, const net::Address& address, const Names& names,
                     std::int64_t knownVersion, dispatch::Dispatcher& dispatcher, log::Log& log,
                     Limits limits)
    : base_(base),
      address_(address),
      names_(names),
      version_(knownVersion),
      dispatcher_(dispatcher),
      log_(log),
      limits_(limits),
      firstObjectTimeout_(limits.idleTimeout),
      reconnectBackoff_(limits.reconnectDelayMin, limits.reconnectDelayMax,
                        static_cast<std::uint64_t>(knownVersion)),
      destroyTimer_(base, [this] { destroyClosedRequests(); }),
      reconnectTimer_(base, [this] {
        if (requests_.size() == 1 && activeRequest() != nullptr) startRequest(RequestKind::Watch);
      }) {
  dispatcher_.onEndpointListRequest([this](auto request) { handleRequest(request); });
}

Discovery::~Discovery() {
  dispatcher_.onEndpointListRequest(nullptr);
  for (const CatalogRequest& request : requests_) {
    if (!request.closed()) log_.ended(kComponent, request.address().text(), log::CloseReason::Stopping, "");
  }
}

void Discovery::moveTo(const net::Address& address) {
  if (address.text() == address_.text()) return;
  address_ = address;
  reconnectBackoff_.reset();
  reconnectTimer_.cancel();
  CatalogRequest* const current = activeRequest();
  for (CatalogRequest& request : requests_) {
    if (&request != current)
      finish(request, log::CloseReason::Moved, "to " + address_.text(), Outcome::Completed);
  }
  if (current != nullptr && current->kind() == RequestKind::Watch) startRequest(RequestKind::Watch);
}

void Discovery::handleRequest(dispatch::Dispatcher::EndpointListRequest request) {
  using Request = dispatch::Dispatcher::EndpointListRequest;
  switch (request) {
    case Request::Watch:
      return requestList(RequestKind::Watch);
    case Request::Poll:
      return requestList(RequestKind::Poll);
    case Request::Unwatch:
      watchPending_ = false;
      return closeWatches("watch cancelled");
  }
}

void Discovery::requestList(RequestKind kind) {
  (kind == RequestKind::Watch ? watchPending_ : pollPending_) = true;
  if (requests_.empty()) return startPendingRequest();
  const CatalogRequest* const current = activeRequest();
  if (current == nullptr || current->kind() != RequestKind::Watch) return;
  // The new request replaces the watch in progress, which is started again afterwards.
  watchPending_ = true;
  closeWatches("superseded by a new request");
}

void Discovery::closeWatches(const std::string& detail) {
  for (CatalogRequest& request : requests_) {
    if (request.kind() == RequestKind::Watch)
      finish(request, log::CloseReason::Discarded, detail, Outcome::Completed);
  }
}

void Discovery::startPendingRequest() {
  if (pollPending_) return startRequest(RequestKind::Poll);
  if (watchPending_) startRequest(RequestKind::Watch);
}

void Discovery::startRequest(RequestKind kind) {
  (kind == RequestKind::Watch ? watchPending_ : pollPending_) = false;
  CatalogRequest::Query query;
  query.kind = kind;
  query.version = version_;
  query.watchStart = fullListNeeded_ ? CatalogRequest::WatchStart::FullList
                                     : CatalogRequest::WatchStart::ChangesSinceVersion;
  CatalogRequest::Handlers handlers;
  handlers.onObject = [this](CatalogRequest& request, const std::string& json) {
    parseObject(request, json);
  };
  handlers.onPollCompleted = [this](CatalogRequest& request) {
    finish(request, log::CloseReason::Discarded, "list received", Outcome::Completed);
  };
  handlers.onTimeout = [this](CatalogRequest& request) { handleTimeout(request); };
  handlers.onFailure = [this](CatalogRequest& request, log::CloseReason reason, const std::string& detail) {
    finish(request, reason, detail, Outcome::Failed);
  };
  requests_.emplace_back(base_, address_, query, limits_, firstObjectTimeout_, std::move(handlers)).send();
}

CatalogRequest* Discovery::activeRequest() {
  const auto found = std::find_if(requests_.begin(), requests_.end(),
                                  [](const CatalogRequest& request) { return !request.closed(); });
  return found == requests_.end() ? nullptr : &*found;
}

void Discovery::parseObject(CatalogRequest& request, const std::string& json) {
  try {
    rapidjson::Document document;
    wire::parseJson(document, json, kComponent);
    applyObject(request, document);
  } catch (const ParseError& error) {
    fullListNeeded_ = true;
    finish(request, log::CloseReason::BadMessage, error.what(), Outcome::Failed);
  }
}

void Discovery::applyObject(CatalogRequest& request, const wire::Value& object) {
  EndpointListUpdate update = parseCatalog(object, names_, kComponent);
  if (update.kind == EndpointListKind::Delta && update.version < request.baseVersion()) {
    fullListNeeded_ = true;
    return finish(request, log::CloseReason::RevisionRegressed,
                  std::to_string(update.version) + " after " + std::to_string(request.baseVersion()),
                  Outcome::Failed);
  }
  retirePredecessors(request);
  reconnectBackoff_.reset();
  firstObjectTimeout_ = limits_.idleTimeout;
  fullListNeeded_ = false;
  request.setBaseVersion(update.version);
  dispatcher_.endpointListKnown();
  // The first deltas of a successor may repeat changes that its predecessor has already delivered.
  if (update.kind == EndpointListKind::Delta && update.version < version_) return;
  version_ = update.version;
  log_.debug(kComponent) << "endpoint list version " << update.version << ", "
                         << (update.kind == EndpointListKind::Full ? "full" : "delta") << " of "
                         << update.endpoints.size() << " endpoints";
  if (listener_) return listener_(std::move(update), parseSocketAddresses(object, kComponent));
  dispatcher_.post(std::move(update));
}

void Discovery::retirePredecessors(const CatalogRequest& successor) {
  for (CatalogRequest& request : requests_) {
    if (&request == &successor) return;
    finish(request, log::CloseReason::Moved, "to " + successor.address().text(), Outcome::Completed);
  }
}

// libevent restarts its own timeout with every byte; this timeout requires a complete object. The timeout
// grows so that a later attempt can receive a large list over a slow connection.
void Discovery::handleTimeout(CatalogRequest& request) {
  firstObjectTimeout_ = std::min(2 * firstObjectTimeout_, limits_.firstObjectTimeoutMax);
  finish(request, log::CloseReason::Silent, "no complete line", Outcome::Failed);
}

void Discovery::finish(CatalogRequest& request, log::CloseReason reason, const std::string& detail,
                       Outcome outcome) {
  if (request.closed()) return;
  const bool isSuccessor = &request != activeRequest();
  request.close();
  log_.ended(kComponent, request.address().text(), reason, detail);
  destroyTimer_.schedule(0);  // not destroyed here: libevent may be running a callback of this request
  if (outcome == Outcome::Completed) return;
  if (isSuccessor) return reconnectTimer_.schedule(reconnectBackoff_.next());
  if (activeRequest() != nullptr) return;  // the successor is the active request now
  reconnectTimer_.cancel();
  dispatcher_.post(EndpointListUpdate{EndpointListKind::Failed, 0, {}});
}

void Discovery::destroyClosedRequests() {
  requests_.remove_if([](const CatalogRequest& request) { return request.closed(); });
  if (requests_.empty()) startPendingRequest();
}

}  // namespace peargrade::discovery
