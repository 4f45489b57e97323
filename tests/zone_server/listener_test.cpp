// The listener for updates beside senders that use more than their share, on loopback.
#include "zone_server/listener.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <list>

#include "support/loop.h"

namespace peargrade::zone_server {
namespace {

std::string framed(const std::string& message) {
  return std::string{static_cast<char>(message.size() >> 8), static_cast<char>(message.size() & 255)} +
         message;
}

/// A blocking client socket.
class Client {
 public:
  Client(const net::Address& to, int type) : fd_(socket(AF_INET, type, 0)) {
    const sockaddr_in address = to.socket();
    EXPECT_EQ(connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
  }
  ~Client() { close(fd_); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;
  /// Sends as much as the kernel takes without waiting. Returns the number of bytes.
  std::size_t send(const std::string& bytes) const {
    const ssize_t sent = ::send(fd_, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    return sent < 0 ? 0 : static_cast<std::size_t>(sent);
  }
  std::string receive() const {
    char bytes[1000];
    const ssize_t size = recv(fd_, bytes, sizeof bytes, MSG_DONTWAIT);
    return size <= 0 ? "" : std::string(bytes, static_cast<std::size_t>(size));
  }

 private:
  int fd_;
};

class ListenerTest : public testing::Test {
 protected:
  void start(Listener::Limits limits = {}) {
    listener_ = std::make_unique<Listener>(
        loop_.base.get(), net::Address{"127.0.0.1", 0},
        [this](const std::string& message, const std::string&, const Reply& reply) {
          ++processed_[message.substr(0, 1)];
          reply("ok " + message.substr(0, 1));
        },
        *log_.log, limits);
  }
  bool until(const std::function<bool()>& condition) { return loop_.until(condition); }

  Loop loop_;
  ReadLog log_;
  std::unique_ptr<Listener> listener_;
  std::map<std::string, int> processed_;  // by the first byte of the message
};

// Guards against: requests of a closed connection are processed for as long as the kernel holds them.
TEST_F(ListenerTest, ProcessesFewRequestsOfAConnectionThatHasClosed) {
  start();
  std::string requests;
  for (int k = 0; k < 20000; ++k) requests += framed("x");
  std::size_t sent = 0;
  {
    const Client client(listener_->address(), SOCK_STREAM);
    sent = client.send(requests) / framed("x").size();
  }
  ASSERT_GT(sent, 1000u);
  ASSERT_TRUE(until([&] { return log_.has("bytes of requests discarded") || log_.has("ended code="); }));
  EXPECT_LE(processed_["x"], 2 * 16) << "of " << sent;
  EXPECT_GT(processed_["x"], 0);
}

TEST_F(ListenerTest, ProcessesTheLastRequestsOfAConnectionThatHasClosed) {
  start();
  {
    const Client client(listener_->address(), SOCK_STREAM);
    client.send(framed("x") + framed("x"));
  }
  EXPECT_TRUE(until([&] { return processed_["x"] == 2; }));
}

// Guards against: a request waits for all those that another connection or sender has sent before.
TEST_F(ListenerTest, AnswersARequestBesideAFlood) {
  Listener::Limits limits;
  limits.maxRequestsPerTurn = 8;
  start(limits);
  const Client flood(listener_->address(), SOCK_STREAM);
  const Client datagramFlood(listener_->address(), SOCK_DGRAM);
  const Client stream(listener_->address(), SOCK_STREAM);
  const Client datagram(listener_->address(), SOCK_DGRAM);
  std::string requests;
  for (int k = 0; k < 5000; ++k) requests += framed("f");
  flood.send(requests);
  for (int k = 0; k < 100; ++k) datagramFlood.send("f");
  ASSERT_TRUE(until([&] { return processed_["f"] > 0; }));
  stream.send(framed("s"));
  datagram.send("d");
  const int before = processed_["f"];
  std::string answers;
  ASSERT_TRUE(until([&] {
    answers += stream.receive() + datagram.receive();
    return answers.find("ok s") != std::string::npos && answers.find("ok d") != std::string::npos;
  }));
  EXPECT_LT(processed_["f"] - before, 100) << "a few turns of the loop at most";
}

// Guards against: a crowd of connections that send nothing or half a message displaces one that has just sent
// its request.
TEST_F(ListenerTest, AnswersARequestBesideACrowdOfIncompleteOnes) {
  Listener::Limits limits;
  limits.maxConnections = 8;
  start(limits);
  std::list<Client> crowd;
  for (int k = 0; k < 60; ++k) {
    crowd.emplace_back(listener_->address(), SOCK_STREAM);
    if (k % 2 == 0) crowd.back().send(std::string("\x10\x00half", 6));
  }
  const Client client(listener_->address(), SOCK_STREAM);
  client.send(framed("c"));
  for (int k = 0; k < 60; ++k) crowd.emplace_back(listener_->address(), SOCK_STREAM);
  std::string answer;
  EXPECT_TRUE(until([&] {
    answer += client.receive();
    return answer.find("ok c") != std::string::npos;
  }));
  EXPECT_LE(listener_->connections(), 8u);
}

TEST_F(ListenerTest, LimitsIncompleteMessagesOfAllConnections) {
  Listener::Limits limits;
  limits.maxInputBytes = 100000;
  start(limits);
  std::list<Client> crowd;
  for (int k = 0; k < 10; ++k) {
    crowd.emplace_back(listener_->address(), SOCK_STREAM);
    crowd.back().send(std::string("\xff\xff") + std::string(30000, 'x'));
  }
  EXPECT_TRUE(until([&] { return log_.has("incomplete messages exceed the memory limit"); }));
}

TEST_F(ListenerTest, DropsTheDatagramsOfASenderBeyondItsShare) {
  Listener::Limits limits;
  limits.maxRequestsPerTurn = 1;
  start(limits);
  const Client flood(listener_->address(), SOCK_DGRAM);
  for (int round = 0; round < 100 && listener_->droppedDatagrams() == 0; ++round) {
    for (int k = 0; k < 200; ++k) flood.send("f");
    event_base_loop(loop_.base.get(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
  }
  EXPECT_GT(listener_->droppedDatagrams(), 0u);
  EXPECT_TRUE(log_.has("datagrams dropped: senders exceed their share"));
  EXPECT_LE(listener_->waitingRequests(), 1024u);
}

}  // namespace
}  // namespace peargrade::zone_server
