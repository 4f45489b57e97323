/// Owning handles for libevent objects, and helpers for the classes that wrap them.
#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <memory>
#include <new>

#include "peargrade/types.h"

namespace peargrade::net {

/// Deleter that calls a libevent `*_free` function.
template <auto Free>
struct Freed {
  template <class T>
  void operator()(T* handle) const {
    Free(handle);
  }
};

using EventBase = std::unique_ptr<event_base, Freed<event_base_free>>;
using EventHandle = std::unique_ptr<event, Freed<event_free>>;
using BufferHandle = std::unique_ptr<bufferevent, Freed<bufferevent_free>>;
using ListenerHandle = std::unique_ptr<evconnlistener, Freed<evconnlistener_free>>;

/// Creates an event loop. Throws std::bad_alloc on failure.
EventBase makeBase();

/// Returns `handle`. Throws std::bad_alloc if it is null, that is, if libevent could not create the object.
template <class T>
T* requireHandle(T* handle) {
  if (handle == nullptr) throw std::bad_alloc();
  return handle;
}

/// Converts a duration in microseconds. A negative duration becomes 0.
timeval toTimeval(Micros duration);

}  // namespace peargrade::net
