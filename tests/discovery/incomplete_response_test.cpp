// Responses that stall, arrive byte by byte or end at any byte.
#include <gtest/gtest.h>

#include "discovery_fixture.h"

namespace peargrade::discovery {
namespace {

class IncompleteResponse : public ManualDiscoveryTest {};

// Every byte restarts libevent's own timeout, so that timeout does not detect a line that never ends.
TEST_F(IncompleteResponse, WatchThatTricklesWithoutACompleteLineTimesOut) {
  startManual(150000);
  peer->send(kHeader + fullListChunk());
  ASSERT_TRUE(untilUpdates(1));
  ASSERT_TRUE(trickleUntilFailure(chunk(" ")));
  EXPECT_TRUE(log.has("code=silent (no complete line"));
  requestAndAccept();
  peer->send(kHeader + chunk("\n") + fullListChunk());
  ASSERT_TRUE(until([&] { return lastIsFull(); })) << "the next request is answered";
}

TEST_F(IncompleteResponse, EmptyLinesKeepAWatchOpen) {
  startManual(150000);
  peer->send(kHeader + fullListChunk());
  const Micros end = net::steadyNow() + 450000;
  Pace pace{20000};
  ASSERT_TRUE(until([&] {
    if (pace.due()) peer->send(chunk("\n"));
    return net::steadyNow() > end;
  }));
  EXPECT_EQ(failures(), 0u);
}

TEST_F(IncompleteResponse, HeaderThatTricklesTimesOut) {
  startManual(150000);
  peer->send("HTTP/1.1 200 OK\r\nX-Long: ");
  ASSERT_TRUE(trickleUntilFailure("x"));
  EXPECT_TRUE(log.has("code=silent")) << log.text;
}

TEST_F(IncompleteResponse, PolledListThatTricklesTimesOut) {
  startManual(150000, PollEndpoints{});
  peer->send("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n");
  ASSERT_TRUE(trickleUntilFailure(" "));
  EXPECT_TRUE(log.has("code=silent")) << log.text;
}

// The list takes longer than the initial timeout. It arrives because the timeout grows with each attempt.
TEST_F(IncompleteResponse, ListOverASlowConnectionArrivesAtALaterAttempt) {
  startManual(100000);
  const std::string response = kHeader + fullListChunk();
  for (std::size_t attempt = 1; attempt <= 4; ++attempt) {
    std::size_t sent = 0;
    const Micros begin = net::steadyNow();
    ASSERT_TRUE(until([&] {
      // The complete response takes 250 ms, byte by byte.
      const auto due = static_cast<std::size_t>(net::steadyNow() - begin) * response.size() / 250000;
      for (; sent < std::min(due, response.size()); ++sent) peer->send(response.substr(sent, 1));
      return failures() == attempt || lastIsFull();
    }));
    if (lastIsFull()) return;
    requestAndAccept();
  }
  ADD_FAILURE() << "timed out four times";
}

// Wherever the connection ends, by a close or a reset, the client reports exactly one failure and no part of
// the response, and sends the next request.
TEST_F(IncompleteResponse, EndAtAnyByteIsOneFailure) {
  const std::string line = fullListChunk();
  const std::string halfObject = chunk(kFullList.substr(0, 50));
  const std::pair<const char*, std::string> cuts[] = {
      {"before a byte", ""},
      {"in the status line", "HTTP/1.1 2"},
      {"in a header", "HTTP/1.1 200 OK\r\nTransfer-Enc"},
      {"after the header", kHeader},
      {"in a chunk's length", kHeader + "a"},
      {"after a chunk's length", kHeader + "a5\r\n"},
      {"in a chunk", kHeader + line.substr(0, line.size() / 2)},
      {"in a line, after a complete chunk", kHeader + halfObject},
      {"last chunk after half an object", kHeader + halfObject + "0\r\n\r\n"},
      {"last chunk without an object", kHeader + "0\r\n\r\n"},
      {"empty", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
      {"neither a length nor chunks", "HTTP/1.1 200 OK\r\n\r\n"},
      {"not HTTP", "* attach 1 a 1 1\r\n"},
      {"invalid chunk length", kHeader + "zz\r\n"},
  };
  startManual(3000000);
  std::size_t failed = 0;
  for (const auto& [where, bytes] : cuts) {
    for (const bool byReset : {false, true}) {
      peer->send(bytes);
      byReset ? peer->reset() : peer->close();
      ++failed;
      ASSERT_TRUE(until([&] { return failures() == failed; })) << where;
      EXPECT_EQ(updates().size(), failed) << where << ": no other update is reported";
      EXPECT_EQ(log.count(" ended code="), failed) << where << ": one log line per failure\n" << log.text;
      requestAndAccept();
    }
  }
  peer->send(kHeader + line);
  ASSERT_TRUE(until([&] { return lastIsFull(); }));
}

// libevent buffers a chunk length that never ends without limit.
TEST_F(IncompleteResponse, UnboundedChunkLengthFailsAtTheMemoryLimit) {
  Limits limits;
  limits.idleTimeout = 10000000;
  limits.responseBytesMax = 256 << 10;
  limits.objectBytesMax = 256 << 10;
  startAt(server.address(), 0, limits);
  requestAndAccept();
  peer->send(kHeader);
  const std::string piece(64 << 10, '1');
  ASSERT_TRUE(until([&] {
    peer->send(piece);
    return failures() > 0;
  }));
  EXPECT_TRUE(log.has("code=too-long (unbounded chunk length or trailer)")) << log.text;
}

}  // namespace
}  // namespace peargrade::discovery
