#include "discovery/discovery.h"

#include <event2/http_struct.h>

#include <new>

namespace peargrade::discovery {
namespace {

constexpr char kPath[] = "/catalog/members";

}  // namespace

Discovery::Discovery(event_base* base, const net::Address& address, const Names& names,
                     std::int64_t knownVersion, exchange::Exchange& exchange, log::Log& log, Limits limits)
    : base_(base),
      address_(address),
      names_(names),
      version_(knownVersion),
      exchange_(exchange),
      log_(log),
      limits_(limits),
      lines_(limits.line),
      cleaner_(base, [this] { cleanUp(); }) {
  exchange_.onListCall([this](Call call) { want(call); });
}

Discovery::~Discovery() {
  exchange_.onListCall(nullptr);
  if (connection_ && !over_) log_.ended("discovery", address_.text(), log::Reason::Stopping, "");
}

// One call at a time: what is wanted meanwhile waits. A watch that stands serves a watch that is asked for; a
// fetch beside it ends it for the time of the fetch.
void Discovery::want(Call call) {
  if (call == Call::Unwatch) {
    watchNext_ = false;
    if (connection_ && current_ == Call::Watch && !over_)
      finish(log::Reason::NotWanted, "watch ended", false);
    return;
  }
  (call == Call::Watch ? watchNext_ : fetchNext_) = true;
  if (!connection_) return begin(fetchNext_ ? Call::Fetch : Call::Watch);
  if (over_ || current_ != Call::Watch) return;
  watchNext_ = true;
  finish(log::Reason::NotWanted, "asked anew", false);
}

void Discovery::begin(Call call) {
  (call == Call::Watch ? watchNext_ : fetchNext_) = false;
  current_ = call;
  over_ = false;
  error_ = log::Reason::Refused;
  lines_ = net::Lines(limits_.line);
  connection_.reset(evhttp_connection_base_new(base_, nullptr, address_.host.c_str(), address_.port));
  if (!connection_) throw std::bad_alloc();
  const timeval silence{static_cast<time_t>(limits_.silence / 1000000),
                        static_cast<suseconds_t>(limits_.silence % 1000000)};
  evhttp_connection_set_timeout_tv(connection_.get(), &silence);
  evhttp_connection_set_max_headers_size(connection_.get(), 16 << 10);
  evhttp_connection_set_max_body_size(connection_.get(), static_cast<ev_ssize_t>(limits_.body));
  evhttp_request* request = evhttp_request_new(
      [](evhttp_request* r, void* self) { static_cast<Discovery*>(self)->onDone(r); }, this);
  if (request == nullptr) throw std::bad_alloc();
  if (call == Call::Watch) {
    evhttp_request_set_chunked_cb(
        request, [](evhttp_request* r, void* self) { static_cast<Discovery*>(self)->onChunk(r); });
  }
  evhttp_request_set_error_cb(request, [](evhttp_request_error error, void* self) {
    static_cast<Discovery*>(self)->error_ = error == EVREQ_HTTP_TIMEOUT         ? log::Reason::Silent
                                            : error == EVREQ_HTTP_DATA_TOO_LONG ? log::Reason::TooLong
                                            : error == EVREQ_HTTP_EOF           ? log::Reason::Reset
                                                                                : log::Reason::BadAnswer;
  });
  evhttp_add_header(evhttp_request_get_output_headers(request), "Host", address_.text().c_str());
  std::string path = kPath;
  if (call == Call::Watch) path += "?follow=1" + (whole_ ? "" : "&since=" + std::to_string(version_));
  if (evhttp_make_request(connection_.get(), request, EVHTTP_REQ_GET, path.c_str()) != 0)
    finish(log::Reason::Refused, "", true);  // libevent has freed the request
}

void Discovery::onChunk(evhttp_request* request) {
  evbuffer* body = evhttp_request_get_input_buffer(request);
  if (over_ || evhttp_request_get_response_code(request) != HTTP_OK) {
    evbuffer_drain(body, evbuffer_get_length(body));
    return;
  }
  char piece[4096];
  std::string line;
  while (evbuffer_get_length(body) > 0 && !over_) {
    const int size = evbuffer_remove(body, piece, sizeof piece);
    if (size <= 0) break;
    lines_.add(piece, static_cast<std::size_t>(size));
    while (!over_ && lines_.next(line)) {
      if (!line.empty()) take(line);
    }
    if (!over_ && lines_.tooLong()) finish(log::Reason::TooLong, "line of the watch", true);
  }
}

void Discovery::take(const std::string& line) {
  try {
    ListNews news = parseCatalog(line, names_, "discovery");
    // What is older than what was told cannot build on it: the whole list is asked for.
    if (news.mode == ListMode::Delta && news.version < version_) {
      whole_ = true;
      return finish(log::Reason::RevisionBack,
                    std::to_string(news.version) + " after " + std::to_string(version_), true);
    }
    whole_ = false;
    version_ = news.version;
    log_.debug("discovery") << "list " << news.version << ", " << news.entries.size() << " entries"
                            << (news.mode == ListMode::Full ? ", whole" : "");
    exchange_.post(std::move(news));
    exchange_.listKnown();
  } catch (const wire::Malformed& e) {
    whole_ = true;
    finish(log::Reason::BadMessage, e.what(), true);
  }
}

// The answer is complete, or (no request, or no status) the connection has failed.
void Discovery::onDone(evhttp_request* request) {
  if (over_) return;
  const int status = request == nullptr ? 0 : evhttp_request_get_response_code(request);
  if (status == 0) return finish(error_, "no answer", true);
  if (status != HTTP_OK) return finish(log::Reason::BadAnswer, "status " + std::to_string(status), true);
  if (current_ == Call::Watch) {
    onChunk(request);  // an answer that was not chunked comes whole
    if (!over_) finish(log::Reason::PeerClosed, "watch ended", true);
    return;
  }
  evbuffer* body = evhttp_request_get_input_buffer(request);
  std::string bytes(evbuffer_get_length(body), '\0');
  evbuffer_copyout(body, bytes.data(), bytes.size());
  take(bytes);
  if (!over_) finish(log::Reason::NotWanted, "list received", false);
}

void Discovery::finish(log::Reason reason, const std::string& detail, bool failed) {
  if (over_) return;
  over_ = true;
  log_.ended("discovery", address_.text(), reason, detail);
  if (failed) exchange_.post(ListNews{ListMode::Failed, 0, {}});
  cleaner_.in(0);
}

void Discovery::cleanUp() {
  connection_.reset();
  if (fetchNext_)
    begin(Call::Fetch);
  else if (watchNext_)
    begin(Call::Watch);
}

}  // namespace peargrade::discovery
