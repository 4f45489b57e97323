#include "fakes/discovery.h"

#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <cstdlib>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "fakes/sockets.h"

namespace peargrade::fakes {
namespace {

constexpr int kListenBacklog = 4096;  // connections not accepted yet

}  // namespace

Discovery::Discovery(event_base* base, const std::string& host, std::uint16_t port)
    : address_{host, port}, http_(evhttp_new(base)), emptyLineTimer_(base, [this] {
        if (emptyLines) raw("\n");
        emptyLineTimer_.schedule(2000000);
      }) {
  evhttp_set_gencb(http_.get(), onRequest, this);
  evhttp_set_bevcb(http_.get(), onAccept, this);
  // evhttp's default backlog of 128 is too small for a fleet that connects at the same time.
  sockaddr_in bound = address_.socket();
  evconnlistener* listener =
      evconnlistener_new_bind(base, nullptr, nullptr, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                              kListenBacklog, reinterpret_cast<sockaddr*>(&bound), sizeof bound);
  if (listener == nullptr) throw std::runtime_error("fake discovery: cannot listen on " + address_.text());
  evhttp_bound_socket* socket = evhttp_bind_listener(http_.get(), listener);
  sockaddr_in at{};
  socklen_t size = sizeof at;
  getsockname(evhttp_bound_socket_get_fd(socket), reinterpret_cast<sockaddr*>(&at), &size);
  address_.port = ntohs(at.sin_port);
  emptyLineTimer_.schedule(2000000);
}

void Discovery::set(const std::string& uid, const std::string& az, const std::string& state,
                    std::int64_t bootMs, const std::string& endpoint) {
  ++rev;
  std::ostringstream json;
  json << R"({"uid":")" << uid << R"(","endpoint":")" << endpoint << R"(","az":")" << az
       << R"(","model":"m1","pod_group":0,"state":")" << state << R"(","capacity_hint":1.0,"boot_ms":)"
       << bootMs << "}";
  entries_[uid] = {rev, json.str(), state == "DELETED"};
  raw(list(rev - 1) + "\n");
}

std::string Discovery::list(std::int64_t since) const {
  std::string text;
  for (const auto& [uid, entry] : entries_) {
    if (entry.rev <= since || (since == 0 && entry.removed)) continue;
    text += (text.empty() ? "" : ",") + entry.json;
  }
  return R"({"rev":)" + std::to_string(rev) + R"(,"all":)" + (since == 0 ? "true" : "false") +
         R"(,"targets":[)" + text + "]}";
}

// Counts all bytes of a connection, including the first request.
bufferevent* Discovery::onAccept(event_base* base, void* self) {
  bufferevent* const buffer = bufferevent_socket_new(base, -1, 0);
  if (buffer == nullptr) return nullptr;
  evbuffer_add_cb(
      bufferevent_get_input(buffer),
      [](evbuffer*, const evbuffer_cb_info* info, void* discovery) {
        static_cast<Discovery*>(discovery)->wireIn += info->n_added;
      },
      self);
  evbuffer_add_cb(
      bufferevent_get_output(buffer),
      [](evbuffer*, const evbuffer_cb_info* info, void* discovery) {
        static_cast<Discovery*>(discovery)->wireOut += info->n_added;
      },
      self);
  return buffer;
}

void Discovery::onRequest(evhttp_request* request, void* self) {
  auto* discovery = static_cast<Discovery*>(self);
  discovery->requests.emplace_back(evhttp_request_get_uri(request));
  discovery->in.add("request", discovery->requests.back().size());
  evhttp_connection* connection = evhttp_request_get_connection(request);
  if (discovery->mute) {
    discovery->muted_[connection] = request;
    return evhttp_connection_set_closecb(connection, onClose, discovery);
  }
  if (!discovery->statuses.empty()) {
    const int status = discovery->statuses.front();
    discovery->statuses.pop_front();
    return evhttp_send_reply(request, status, "not now", nullptr);
  }
  const char* path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
  if (std::string(path == nullptr ? "" : path) != "/catalog/members")
    return evhttp_send_reply(request, 404, "not found", nullptr);
  evkeyvalq query{};
  const char* text = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
  evhttp_parse_query_str(text == nullptr ? "" : text, &query);
  const char* since = evhttp_find_header(&query, "since");
  const bool follow = evhttp_find_header(&query, "follow") != nullptr;
  const std::string body = discovery->list(follow && since != nullptr ? std::atoll(since) : 0);
  evhttp_clear_headers(&query);
  evbuffer* out = evbuffer_new();
  evbuffer_add_printf(out, "%s\n", body.c_str());
  discovery->out.add(follow && since != nullptr ? "changes" : "whole", body.size() + 1);
  if (follow) {
    evhttp_send_reply_start(request, 200, "OK");
    evhttp_send_reply_chunk(request, out);
    discovery->watches_[connection] = request;
    evhttp_connection_set_closecb(connection, onClose, discovery);
    if (discovery->onWatch) discovery->onWatch();
  } else {
    evhttp_send_reply(request, 200, "OK", out);
  }
  evbuffer_free(out);
}

void Discovery::onClose(evhttp_connection* connection, void* self) {
  auto* discovery = static_cast<Discovery*>(self);
  for (auto* held : {&discovery->watches_, &discovery->muted_}) {
    const auto it = held->find(connection);
    if (it == held->end()) continue;
    // The request no longer belongs to a connection, so libevent does not free it.
    if (evhttp_request_get_connection(it->second) == nullptr) evhttp_request_free(it->second);
    held->erase(it);
  }
}

void Discovery::raw(const std::string& bytes) {
  for (const auto& [connection, request] : watches_) {
    evbuffer* out = evbuffer_new();
    evbuffer_add(out, bytes.data(), bytes.size());
    evhttp_send_reply_chunk(request, out);
    evbuffer_free(out);
    this->out.add(bytes.size() > 1 ? "changes" : "empty", bytes.size());
    const evbuffer* waiting = bufferevent_get_output(evhttp_connection_get_bufferevent(connection));
    unsentMost = std::max(unsentMost, evbuffer_get_length(waiting));
  }
}

void Discovery::endWatches() {
  for (const auto& [connection, request] : std::exchange(watches_, {})) {
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
    evhttp_send_reply_end(request);
  }
}

void Discovery::breakWatches() {
  for (const auto& [connection, request] : std::exchange(watches_, {})) {
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
    resetOnClose(bufferevent_getfd(evhttp_connection_get_bufferevent(connection)));
    evhttp_connection_free(connection);
  }
}

}  // namespace peargrade::fakes
