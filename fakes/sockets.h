// What fakes share about sockets.
#pragma once

#include <event2/util.h>
#include <sys/socket.h>

namespace peargrade::fakes {

// The next close of this socket is a reset.
inline void resetOnClose(evutil_socket_t fd) {
  const linger now{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

}  // namespace peargrade::fakes
