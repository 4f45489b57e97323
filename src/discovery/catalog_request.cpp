#include "discovery/catalog_request.h"

#include <event2/http_struct.h>

#include <new>
#include <utility>

namespace peargrade::discovery {
namespace {

constexpr char kPath[] = "/catalog/members";
constexpr Micros kMicrosPerSecond = 1000000;
constexpr std::size_t kHeaderBytesMax = 16 << 10;
constexpr std::size_t kReadAheadBytes = 64 << 10;  // input buffered beyond one maximum-size response
constexpr std::size_t kReadBufferBytes = 4096;

timeval toTimeval(Micros span) {
  return {static_cast<time_t>(span / kMicrosPerSecond), static_cast<suseconds_t>(span % kMicrosPerSecond)};
}

log::CloseReason toCloseReason(evhttp_request_error error) {
  switch (error) {
    case EVREQ_HTTP_TIMEOUT:
      return log::CloseReason::Silent;
    case EVREQ_HTTP_DATA_TOO_LONG:
      return log::CloseReason::TooLong;
    case EVREQ_HTTP_EOF:
      return log::CloseReason::Reset;
    default:
      return log::CloseReason::BadAnswer;
  }
}

}  // namespace

CatalogRequest::CatalogRequest(event_base* base, const net::Address& address, const Query& query,
                               const Limits& limits, Micros firstObjectTimeout, Handlers handlers)
    : base_(base),
      address_(address),
      query_(query),
      limits_(limits),
      firstObjectTimeout_(firstObjectTimeout),
      handlers_(std::move(handlers)),
      lines_(limits.objectBytesMax),
      baseVersion_(query.version),
      connectTimeout_(base, [this] { checkConnected(); }),
      objectTimeout_(base, [this] {
        if (!closed_) handlers_.onTimeout(*this);
      }) {}

void CatalogRequest::send() {
  openConnection();
  evhttp_request* const request = makeRequest();
  connectTimeout_.schedule(limits_.connectTimeout);
  objectTimeout_.schedule(firstObjectTimeout_);
  // libevent owns the request and frees it even if the call fails.
  if (evhttp_make_request(connection_.get(), request, EVHTTP_REQ_GET, path().c_str()) != 0)
    reportFailure(log::CloseReason::Refused, "");
}

void CatalogRequest::close() {
  closed_ = true;
  connectTimeout_.cancel();
  objectTimeout_.cancel();
}

void CatalogRequest::openConnection() {
  connection_.reset(evhttp_connection_base_new(base_, nullptr, address_.host.c_str(), address_.port));
  if (!connection_) throw std::bad_alloc();
  const timeval idleTimeout = toTimeval(limits_.idleTimeout);
  evhttp_connection_set_timeout_tv(connection_.get(), &idleTimeout);
  evhttp_connection_set_max_headers_size(connection_.get(), kHeaderBytesMax);
  evhttp_connection_set_max_body_size(connection_.get(), static_cast<ev_ssize_t>(limits_.responseBytesMax));
  // libevent buffers a chunk length or a trailer line without limit, so this callback limits the input
  // buffer. A read watermark is not an option: libevent busy-loops once the watermark is reached.
  evbuffer_add_cb(
      bufferevent_get_input(evhttp_connection_get_bufferevent(connection_.get())),
      [](evbuffer* input, const evbuffer_cb_info*, void* context) {
        auto& self = *static_cast<CatalogRequest*>(context);
        if (evbuffer_get_length(input) > self.limits_.responseBytesMax + kReadAheadBytes)
          self.reportFailure(log::CloseReason::TooLong, "unbounded chunk length or trailer");
      },
      this);
}

evhttp_request* CatalogRequest::makeRequest() {
  evhttp_request* const request = evhttp_request_new(
      [](evhttp_request* response, void* context) {
        static_cast<CatalogRequest*>(context)->handleResponse(response);
      },
      this);
  if (request == nullptr) throw std::bad_alloc();
  if (query_.kind == Kind::Watch) {
    evhttp_request_set_chunked_cb(request, [](evhttp_request* response, void* context) {
      static_cast<CatalogRequest*>(context)->readWatchLines(response);
    });
  }
  evhttp_request_set_error_cb(request, [](evhttp_request_error error, void* context) {
    static_cast<CatalogRequest*>(context)->connectionError_ = toCloseReason(error);
  });
  evhttp_add_header(evhttp_request_get_output_headers(request), "Host", address_.text().c_str());
  return request;
}

std::string CatalogRequest::path() const {
  if (query_.kind == Kind::Poll) return kPath;
  std::string watch = std::string(kPath) + "?follow=1";
  if (query_.watchStart == WatchStart::FullList) return watch;
  return watch + "&since=" + std::to_string(query_.version);
}

// Without this check, a peer that neither accepts nor refuses the connection is detected only by the idle
// timeout.
void CatalogRequest::checkConnected() {
  if (closed_) return;
  sockaddr_in peer{};
  socklen_t size = sizeof peer;
  const evutil_socket_t socket = bufferevent_getfd(evhttp_connection_get_bufferevent(connection_.get()));
  if (socket >= 0 && getpeername(socket, reinterpret_cast<sockaddr*>(&peer), &size) == 0) return;
  reportFailure(log::CloseReason::ConnectTimeout, "");
}

void CatalogRequest::readWatchLines(evhttp_request* request) {
  evbuffer* const body = evhttp_request_get_input_buffer(request);
  if (closed_ || evhttp_request_get_response_code(request) != HTTP_OK) {
    evbuffer_drain(body, evbuffer_get_length(body));
    return;
  }
  char buffer[kReadBufferBytes];
  std::string line;
  while (evbuffer_get_length(body) > 0 && !closed_) {
    const int size = evbuffer_remove(body, buffer, sizeof buffer);
    if (size <= 0) break;
    lines_.add(buffer, static_cast<std::size_t>(size));
    while (!closed_ && lines_.next(line)) {
      objectTimeout_.schedule(limits_.idleTimeout);
      if (!line.empty()) handlers_.onObject(*this, line);
    }
    if (!closed_ && lines_.tooLong())
      reportFailure(log::CloseReason::TooLong,
                    "watch line exceeds " + std::to_string(limits_.objectBytesMax) + " bytes");
  }
}

// Called by libevent when the response is complete or the connection has failed. In the latter case `request`
// is null or has status 0.
void CatalogRequest::handleResponse(evhttp_request* request) {
  if (closed_) return;
  const int status = request == nullptr ? 0 : evhttp_request_get_response_code(request);
  if (status == 0) return reportFailure(connectionError_, "connection ended before a response status");
  if (status != HTTP_OK)
    return reportFailure(log::CloseReason::BadAnswer, "status " + std::to_string(status));
  if (query_.kind == Kind::Watch) {
    readWatchLines(request);  // libevent delivers a response that is not chunked only here
    return reportFailure(log::CloseReason::PeerClosed, "watch ended");
  }
  evbuffer* const body = evhttp_request_get_input_buffer(request);
  std::string json(evbuffer_get_length(body), '\0');
  evbuffer_copyout(body, json.data(), json.size());
  handlers_.onObject(*this, json);
  if (!closed_) handlers_.onPollCompleted(*this);
}

void CatalogRequest::reportFailure(log::CloseReason reason, const std::string& detail) {
  if (!closed_) handlers_.onFailure(*this, reason, detail);
}

}  // namespace peargrade::discovery
