// One crowd of clients after another at the addresses of a supervisor, beside updates, heartbeats and drains.
// PEARGRADE_SOAK_SECONDS sets the duration, PEARGRADE_SOAK_SEED the order of the crowds.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <iostream>
#include <random>
#include <vector>

#include "deploy_fixture.h"
#include "dns_zone/message.h"
#include "dns_zone/tsig.h"

namespace peargrade {
namespace {

constexpr int kDefaultSeconds = 40;
constexpr unsigned kDefaultSeed = 1;
/// The protocol gives a client 1 s for its first message; an answer within the same time keeps it.
constexpr Micros kHeartbeatMax = kSecond;
/// `limits.memory_mb` of the example configuration.
constexpr std::size_t kMemoryMax = std::size_t{192} << 20;
// The address sanitizer keeps freed memory, so that a process under it says nothing about the program's
// memory.
#if defined(__SANITIZE_ADDRESS__)
constexpr bool kChecksMemory = false;
#else
constexpr bool kChecksMemory = true;
#endif
constexpr std::size_t kCrowdSize = 200;
constexpr int kPerStep = 20;  // messages of each connection in a turn of the loop

int numberFromEnvironment(const char* name, int fallback) {
  const char* const text = std::getenv(name);
  return text == nullptr ? fallback : std::atoi(text);
}

std::string framed(const std::string& message) {
  return std::string{static_cast<char>(message.size() >> 8), static_cast<char>(message.size() & 255)} +
         message;
}

enum class Crowd {
  HalfRequests,      // connections to the zone that send half a message, slowly
  IdleConnections,   // connections to the zone that send nothing
  UnsignedRequests,  // one connection at full speed
  SignedRequests,    // one connection at full speed, under ever new names, with a valid key
  ClosedRequests,    // connections that close with much unread
  Datagrams,         // unsound datagrams at full speed
  SignedDatagrams,   // datagrams with a valid key at full speed
  HalfReports,       // connections to the address for reports with half a message
  UnsoundReports,    // one collector at full speed
};
constexpr std::array<const char*, 9> kCrowdNames{"half requests",    "idle connections", "unsigned requests",
                                                 "signed requests",  "closed requests",  "datagrams",
                                                 "signed datagrams", "half reports",     "unsound reports"};

/// The clients of one crowd. Sends without waiting, in each turn of the test's loop.
class Clients {
 public:
  Clients(Crowd crowd, const net::Address& zone, const net::Address& reports, std::mt19937& random)
      : crowd_(crowd), zone_(zone), reports_(reports), random_(random) {}
  ~Clients() {
    for (const int fd : sockets_) close(fd);
  }
  Clients(const Clients&) = delete;
  Clients& operator=(const Clients&) = delete;

  void step() {
    switch (crowd_) {
      case Crowd::HalfRequests:
        return crowdStep(zone_, std::string("\xf0\x00half", 6), "x");
      case Crowd::IdleConnections:
        return crowdStep(zone_, "", "");
      case Crowd::UnsignedRequests:
        return floodStep(zone_, SOCK_STREAM, "", framed(update().substr(0, 60)));
      case Crowd::SignedRequests:
        return floodStep(zone_, SOCK_STREAM, "", framed(signedUpdate()));
      case Crowd::ClosedRequests:
        floodStep(zone_, SOCK_STREAM, "", framed(signedUpdate()));
        return closeAll();
      case Crowd::Datagrams:
        return floodStep(zone_, SOCK_DGRAM, "", update().substr(0, 50));
      case Crowd::SignedDatagrams:
        return floodStep(zone_, SOCK_DGRAM, "", signedUpdate());
      case Crowd::HalfReports:
        return crowdStep(reports_, std::string("\x00\x00\x0f\x00{", 5), " ");
      case Crowd::UnsoundReports:
        return floodStep(reports_, SOCK_STREAM, frame(R"({"type":"telemetry","az":"east"})"),
                         frame(R"({"type":"unknown"})"));
    }
  }

 private:
  static std::string frame(const std::string& body) {
    return std::string{0, 0, static_cast<char>(body.size() >> 8), static_cast<char>(body.size() & 255)} +
           body;
  }
  std::string update() {
    dns_zone::Message message;
    message.id = static_cast<std::uint16_t>(random_());
    message.opcode = dns_zone::Opcode::Update;
    message.hasQuestion = true;
    message.name = "example.org";
    message.type = static_cast<std::uint16_t>(dns_zone::Type::SOA);
    message.cls = 1;
    dns_zone::RawRecord record;
    record.name = "n" + std::to_string(random_()) + ".example.org";
    record.type = static_cast<std::uint16_t>(dns_zone::Type::A);
    record.cls = 1;
    record.ttl = 60;
    record.data = std::string{10, 2, 0, 1};
    message.authority.push_back(record);
    return dns_zone::encodeMessage(message);
  }
  std::string signedUpdate() {
    const auto now = std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
    dns_zone::Key key;
    key.name = "crowd";
    key.algorithm = dns_zone::Algorithm::HmacSha256;
    key.secret = std::make_shared<dns_zone::Secret>("0123456789abcdef");
    std::string mac;
    return dns_zone::sign(update(), key, now, mac);
  }
  int open(const net::Address& to, int type) {
    const int fd = socket(AF_INET, type, 0);
    const sockaddr_in address = to.socket();
    fcntl(fd, F_SETFL, O_NONBLOCK);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 ||
        errno == EINPROGRESS) {
      sockets_.push_back(fd);
      return fd;
    }
    close(fd);
    return -1;
  }
  static bool send(int fd, const std::string& bytes) {
    const ssize_t sent = ::send(fd, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    return sent >= 0 || errno == EAGAIN || errno == ENOTCONN;
  }
  /// Keeps kCrowdSize connections open; opens a few in each step.
  void crowdStep(const net::Address& to, const std::string& first, const std::string& next) {
    for (int k = 0; k < kPerStep && sockets_.size() < kCrowdSize; ++k) {
      const int fd = open(to, SOCK_STREAM);
      if (fd >= 0 && !first.empty()) send(fd, first);
    }
    for (std::size_t k = 0; k < sockets_.size(); ++k) {
      char unread;
      const bool isClosed = recv(sockets_[k], &unread, 1, MSG_DONTWAIT) == 0;
      if (!isClosed && (next.empty() || send(sockets_[k], next))) continue;
      close(sockets_[k]);
      sockets_.erase(sockets_.begin() + static_cast<std::ptrdiff_t>(k--));
    }
  }
  /// Sends from one socket, and reads what arrives.
  void floodStep(const net::Address& to, int type, const std::string& first, const std::string& message) {
    if (sockets_.empty() && open(to, type) >= 0) pending_ = first;
    if (sockets_.empty()) return;
    std::array<char, 4096> unread;
    while (recv(sockets_[0], unread.data(), unread.size(), MSG_DONTWAIT) > 0) {
    }
    for (int k = 0; k < kPerStep; ++k) {
      if (type == SOCK_STREAM) {
        pending_ += message;
        const ssize_t sent =
            ::send(sockets_[0], pending_.data(), pending_.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (sent > 0) pending_.erase(0, static_cast<std::size_t>(sent));
        if (sent < 0 && errno != EAGAIN && errno != ENOTCONN) return closeAll();
        if (sent < 0) return;
      } else {
        send(sockets_[0], message);
      }
    }
  }
  void closeAll() {
    for (const int fd : sockets_) close(fd);
    sockets_.clear();
  }

  const Crowd crowd_;
  const net::Address zone_;
  const net::Address reports_;
  std::mt19937& random_;
  std::vector<int> sockets_;
  std::string pending_;  // bytes that the kernel has not taken yet
};

class CrowdSoak : public Deploy {
 protected:
  /// Whether a heartbeat is answered in time. Returns the time that it took.
  Micros heartbeatTime() {
    const Micros start = net::steadyNow();
    awaitAnswer();
    return net::steadyNow() - start;
  }
  /// Drains a server by an update and returns the time until no table names it.
  Micros drainTime(int server) {
    EXPECT_EQ(update("add " + host(server) + " 60 TXT state=draining\n"), 0);
    const Micros start = net::steadyNow();
    EXPECT_TRUE(until([&] { return !used(server); }));
    return net::steadyNow() - start;
  }
};

// Guards against: one client, or a crowd, keeps others from being answered or fills the memory.
TEST_F(CrowdSoak, EveryUpdateHeartbeatAndDrainIsAnsweredBesideOneCrowdAfterAnother) {
  const int seconds = numberFromEnvironment("PEARGRADE_SOAK_SECONDS", kDefaultSeconds);
  const auto seed = static_cast<unsigned>(numberFromEnvironment("PEARGRADE_SOAK_SEED", kDefaultSeed));
  std::cout << "seed " << seed << ", " << seconds << " s\n";
  std::mt19937 random(seed);
  start();
  std::string servers;
  for (int k = 0; k < 6; ++k) servers += add(k);
  ASSERT_EQ(update(servers), 0) << program->output();
  awaitAnswer();
  const Micros end = net::steadyNow() + seconds * kSecond;
  Micros longestHeartbeat = 0;
  Micros longestDrain = 0;
  for (int round = 0; net::steadyNow() < end && !HasFailure(); ++round) {
    const auto crowd = static_cast<Crowd>(random() % kCrowdNames.size());
    SCOPED_TRACE(std::string("round ") + std::to_string(round) + ", " +
                 kCrowdNames.at(static_cast<std::size_t>(crowd)));
    Clients clients(crowd, updates, listen, random);
    eachStep = [&] { clients.step(); };
    const Micros settled = net::steadyNow() + kSecond / 2;
    until([&] { return net::steadyNow() > settled; });
    const int server = round % 3;
    longestHeartbeat = std::max(longestHeartbeat, heartbeatTime());
    longestDrain = std::max(longestDrain, drainTime(server));
    EXPECT_EQ(update("delete " + host(server) + " TXT\n"), 0);
    longestHeartbeat = std::max(longestHeartbeat, heartbeatTime());
    EXPECT_LT(longestHeartbeat, kHeartbeatMax);
    EXPECT_LT(longestDrain, kDrainGrace + kSocketAllowance);
    if (kChecksMemory) {
      EXPECT_LT(program->peakMemory(), kMemoryMax);
    }
    eachStep = nullptr;
  }
  std::cout << "longest heartbeat " << longestHeartbeat / 1000 << " ms, drain " << longestDrain / 1000
            << " ms, peak memory " << (program->peakMemory() >> 20) << " MiB\n";
  program->signal(SIGTERM);
  EXPECT_EQ(program->wait(), 0);
}

}  // namespace
}  // namespace peargrade
