// Socket functions shared by the fakes.
#pragma once

#include <event2/util.h>
#include <sys/socket.h>

namespace peargrade::fakes {

/// Makes the next close of this socket send a TCP reset.
inline void resetOnClose(evutil_socket_t fd) {
  const linger discardAndReset{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &discardAndReset, sizeof discardAndReset);
}

}  // namespace peargrade::fakes
