#include "discovery/discovery.h"

#include <event2/http_struct.h>

#include <algorithm>
#include <new>

namespace peargrade::discovery {
namespace {

constexpr char kPath[] = "/catalog/members";
constexpr std::size_t kAhead = 64 << 10;  // beside one whole answer

}  // namespace

Discovery::Call::Call(Discovery& owner, Kind kind)
    : owner(owner),
      kind(kind),
      to(owner.address_),
      lines(owner.limits_.line),
      version(owner.version_),
      connecting(owner.base_, [this] { this->owner.onDialled(*this); }),
      whole(owner.base_, [this] { this->owner.onSlow(*this); }) {}

Discovery::Discovery(event_base* base, const net::Address& address, const Names& names,
                     std::int64_t knownVersion, dispatch::Dispatcher& exchange, log::Log& log, Limits limits)
    : base_(base),
      address_(address),
      names_(names),
      version_(knownVersion),
      dispatcher_(exchange),
      log_(log),
      limits_(limits),
      patience_(limits.silence),
      backoff_(limits.redialLeast, limits.redialMost, static_cast<std::uint64_t>(knownVersion)),
      cleaner_(base, [this] { cleanUp(); }),
      redial_(base, [this] {
        if (calls_.size() == 1 && serving() != nullptr) begin(Kind::Watch);
      }) {
  dispatcher_.onEndpointListRequest([this](Kind kind) { want(kind); });
}

Discovery::~Discovery() {
  dispatcher_.onEndpointListRequest(nullptr);
  for (const Call& call : calls_) {
    if (!call.over) log_.ended("discovery", call.to.text(), log::CloseReason::Stopping, "");
  }
}

Discovery::Call* Discovery::serving() {
  for (Call& call : calls_) {
    if (!call.over) return &call;
  }
  return nullptr;
}

// One call at a time but for a move: what is wanted meanwhile waits. A fetch beside a watch ends it for the
// time of the fetch.
void Discovery::want(Kind kind) {
  const bool watching = serving() != nullptr && serving()->kind == Kind::Watch;
  if (kind != Kind::Unwatch) (kind == Kind::Watch ? watchNext_ : fetchNext_) = true;
  if (calls_.empty() && kind != Kind::Unwatch) return begin(fetchNext_ ? Kind::Poll : Kind::Watch);
  if (kind != Kind::Unwatch && !watching) return;
  watchNext_ = kind != Kind::Unwatch;
  for (Call& call : calls_) {
    if (call.kind == Kind::Watch)
      finish(call, log::CloseReason::Discarded, kind == Kind::Unwatch ? "watch ended" : "asked anew", false);
  }
}

// Make before break: the old address accepts nothing new, but what stands there tells on until the new one
// does.
void Discovery::moveTo(const net::Address& address) {
  if (address.text() == address_.text()) return;
  address_ = address;
  backoff_.reset();
  redial_.cancel();
  Call* const now = serving();
  for (Call& call : calls_) {
    if (!call.over && &call != now) finish(call, log::CloseReason::Moved, "to " + address_.text(), false);
  }
  if (now != nullptr && now->kind == Kind::Watch) begin(Kind::Watch);
}

void Discovery::begin(Kind kind) {
  (kind == Kind::Watch ? watchNext_ : fetchNext_) = false;
  calls_.emplace_back(*this, kind);
  Call& call = calls_.back();
  call.connection.reset(evhttp_connection_base_new(base_, nullptr, call.to.host.c_str(), call.to.port));
  if (!call.connection) throw std::bad_alloc();
  const timeval silence{static_cast<time_t>(limits_.silence / 1000000),
                        static_cast<suseconds_t>(limits_.silence % 1000000)};
  evhttp_connection_set_timeout_tv(call.connection.get(), &silence);
  evhttp_connection_set_max_headers_size(call.connection.get(), 16 << 10);
  evhttp_connection_set_max_body_size(call.connection.get(), static_cast<ev_ssize_t>(limits_.body));
  // Guards against a length of a chunk, or a line of the trailer, that never ends: libevent reads on for its
  // end without a bound. A watermark is no way out: at it libevent spins.
  evbuffer_add_cb(
      bufferevent_get_input(evhttp_connection_get_bufferevent(call.connection.get())),
      [](evbuffer* input, const evbuffer_cb_info*, void* c) {
        Call& call = *static_cast<Call*>(c);
        if (evbuffer_get_length(input) > call.owner.limits_.body + kAhead)
          call.owner.finish(call, log::CloseReason::TooLong, "bytes without an end", true);
      },
      &call);
  evhttp_request* request = evhttp_request_new(
      [](evhttp_request* r, void* c) { static_cast<Call*>(c)->owner.onDone(*static_cast<Call*>(c), r); },
      &call);
  if (request == nullptr) throw std::bad_alloc();
  if (kind == Kind::Watch) {
    evhttp_request_set_chunked_cb(request, [](evhttp_request* r, void* c) {
      static_cast<Call*>(c)->owner.onChunk(*static_cast<Call*>(c), r);
    });
  }
  evhttp_request_set_error_cb(request, [](evhttp_request_error error, void* c) {
    static_cast<Call*>(c)->error = error == EVREQ_HTTP_TIMEOUT         ? log::CloseReason::Silent
                                   : error == EVREQ_HTTP_DATA_TOO_LONG ? log::CloseReason::TooLong
                                   : error == EVREQ_HTTP_EOF           ? log::CloseReason::Reset
                                                                       : log::CloseReason::BadAnswer;
  });
  evhttp_add_header(evhttp_request_get_output_headers(request), "Host", call.to.text().c_str());
  std::string path = kPath;
  if (kind == Kind::Watch) path += "?follow=1" + (whole_ ? "" : "&since=" + std::to_string(version_));
  call.connecting.schedule(limits_.connect);
  call.whole.schedule(patience_);
  if (evhttp_make_request(call.connection.get(), request, EVHTTP_REQ_GET, path.c_str()) != 0)
    finish(call, log::CloseReason::Refused, "", true);  // libevent has freed the request
}

// Guards against an address that takes nothing in and refuses nothing: the time of a silence is too long for
// it.
void Discovery::onDialled(Call& call) {
  sockaddr_in peer{};
  socklen_t size = sizeof peer;
  const evutil_socket_t fd = bufferevent_getfd(evhttp_connection_get_bufferevent(call.connection.get()));
  if (call.over || (fd >= 0 && getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) == 0)) return;
  finish(call, log::CloseReason::ConnectTimeout, "", true);
}

// Guards against a peer that is neither silent nor says anything: the limit of libevent is on single bytes.
void Discovery::onSlow(Call& call) {
  if (call.over) return;
  // A list over a slow way would else never be heard.
  patience_ = std::min(2 * patience_, limits_.slowest);
  finish(call, log::CloseReason::Silent, "no whole line", true);
}

void Discovery::onChunk(Call& call, evhttp_request* request) {
  evbuffer* body = evhttp_request_get_input_buffer(request);
  if (call.over || evhttp_request_get_response_code(request) != HTTP_OK) {
    evbuffer_drain(body, evbuffer_get_length(body));
    return;
  }
  char piece[4096];
  std::string line;
  while (evbuffer_get_length(body) > 0 && !call.over) {
    const int size = evbuffer_remove(body, piece, sizeof piece);
    if (size <= 0) break;
    call.lines.add(piece, static_cast<std::size_t>(size));
    while (!call.over && call.lines.next(line)) {
      call.whole.schedule(limits_.silence);
      if (!line.empty()) take(call, line);
    }
    if (!call.over && call.lines.tooLong())
      finish(call, log::CloseReason::TooLong, "line of the watch", true);
  }
}

void Discovery::take(Call& call, const std::string& line) {
  try {
    rapidjson::Document doc;
    wire::parseJson(doc, line, "discovery");
    EndpointListUpdate news = parseCatalog(doc, names_, "discovery");
    // What is older than what was told cannot build on it: the whole list is asked for.
    if (news.kind == EndpointListKind::Delta && news.version < call.version) {
      whole_ = true;
      return finish(call, log::CloseReason::RevisionRegressed,
                    std::to_string(news.version) + " after " + std::to_string(call.version), true);
    }
    // A successor has told: it serves from now on.
    for (Call& other : calls_) {
      if (&other == &call) break;
      if (!other.over) finish(other, log::CloseReason::Moved, "to " + call.to.text(), false);
    }
    backoff_.reset();
    patience_ = limits_.silence;
    whole_ = false;
    call.version = news.version;
    dispatcher_.endpointListKnown();
    // A successor may begin with what the one before it has told meanwhile.
    if (news.kind == EndpointListKind::Delta && news.version < version_) return;
    version_ = news.version;
    log_.debug("discovery") << "list " << news.version << ", " << news.endpoints.size() << " entries"
                            << (news.kind == EndpointListKind::Full ? ", whole" : "");
    if (told_) return told_(std::move(news), parseEndpoints(doc, "discovery"));
    dispatcher_.post(std::move(news));
  } catch (const ParseError& e) {
    whole_ = true;
    finish(call, log::CloseReason::BadMessage, e.what(), true);
  }
}

// The answer is complete, or (no request, or no status) the connection has failed.
void Discovery::onDone(Call& call, evhttp_request* request) {
  if (call.over) return;
  const int status = request == nullptr ? 0 : evhttp_request_get_response_code(request);
  if (status == 0) return finish(call, call.error, "no answer", true);
  if (status != HTTP_OK)
    return finish(call, log::CloseReason::BadAnswer, "status " + std::to_string(status), true);
  if (call.kind == Kind::Watch) {
    onChunk(call, request);  // an answer that was not chunked comes whole
    if (!call.over) finish(call, log::CloseReason::PeerClosed, "watch ended", true);
    return;
  }
  evbuffer* body = evhttp_request_get_input_buffer(request);
  std::string bytes(evbuffer_get_length(body), '\0');
  evbuffer_copyout(body, bytes.data(), bytes.size());
  take(call, bytes);
  if (!call.over) finish(call, log::CloseReason::Discarded, "list received", false);
}

void Discovery::finish(Call& call, log::CloseReason reason, const std::string& detail, bool failed) {
  if (call.over) return;
  const bool successor = &call != serving();
  call.over = true;
  call.connecting.cancel();
  call.whole.cancel();
  log_.ended("discovery", call.to.text(), reason, detail);
  cleaner_.schedule(0);
  if (!failed || (!successor && serving() != nullptr)) return;  // the successor goes on in its place
  if (successor) return redial_.schedule(backoff_.next());
  redial_.cancel();
  dispatcher_.post(EndpointListUpdate{EndpointListKind::Failed, 0, {}});
}

void Discovery::cleanUp() {
  calls_.remove_if([](const Call& call) { return call.over; });
  if (!calls_.empty()) return;
  if (fetchNext_)
    begin(Kind::Poll);
  else if (watchNext_)
    begin(Kind::Watch);
}

}  // namespace peargrade::discovery
