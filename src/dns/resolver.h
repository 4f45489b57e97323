// Asks name servers over UDP and TCP and keeps what they say. Nothing blocks; every question ends in one
// answer.
#pragma once

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>

#include "dns/cache.h"
#include "dns/query.h"
#include "dns/srv.h"
#include "log/log.h"
#include "net/datagram.h"
#include "net/net.h"

namespace peargrade::dns {

// A stub resolver with a cache (RFC 1034, section 5.3.1). Times in microseconds.
class Resolver {
 public:
  using Told = std::function<void(const Result&)>;
  using ServiceTold = std::function<void(const Service&)>;
  using Clock = std::function<Micros()>;          // for lifetimes and waits; a test moves it
  using Random = std::function<std::uint32_t()>;  // for ids, ports and spread

  Resolver(event_base* base, const Settings& settings, Clock clock, Random random, log::Log& log);
  ~Resolver();
  Resolver(const Resolver&) = delete;
  Resolver& operator=(const Resolver&) = delete;

  // `fresh`: not from the cache while the question may be asked. One query a question is under way: who asks
  // meanwhile waits for the same answer. May tell before it returns.
  void resolve(const Question& question, Told told, bool fresh = false);
  // The records of a service and the addresses of its targets. The records are asked for; the addresses as
  // well where `all` says so or their refresh is due, else they come from the cache.
  void lookup(const std::string& name, ServiceTold told, bool all = false);

  // Each step that a query took, once it is over.
  void onSteps(std::function<void(const Question&, const Query::Taken&)> seen) { seen_ = std::move(seen); }

  struct Counts {
    std::uint64_t asked = 0, answered = 0, failed = 0, stale = 0, cached = 0, tcp = 0, strangers = 0,
                  turnedAway = 0;
  };
  const Counts& counts() const { return counts_; }
  const Cache& cache() const { return cache_; }
  const Servers& servers() const { return servers_; }
  std::size_t underWay() const { return active_.size(); }

 private:
  struct Active {
    Active(Resolver& owner, const Question& question);
    Resolver& owner;
    const Question asked;  // and kept under
    Question question;     // at the end of the chain so far
    std::unique_ptr<Query> query;
    std::vector<Told> waiting;
    std::uint16_t id = 0;
    int chain = 0;
    std::uint32_t ttl = 0x7FFFFFFF;  // least of the chain so far
    Micros begun = 0;
    Query::Step step;
    std::unique_ptr<net::Datagram> udp;
    std::unique_ptr<net::Stream> tcp;
    std::string input;
    net::IdleTimeout wait, whole;
  };

  void start(const Question& question, Told told);
  void carryOut(Active& active, const Query::Step& step);
  void sendUdp(Active& active);
  void sendTcp(Active& active);
  void onTcpData(Active& active, evbuffer* input);
  void onBytes(Active& active, const std::string& bytes);
  void onFailed(Active& active, const char* why);
  void onTimeout(Active& active);
  void onTooLong(Active& active);
  void closeTransport(Active& active, log::CloseReason reason, const std::string& detail);
  void onDone(Active& active);
  void finish(Active& active, const Result& result);
  void next();
  Result failedResult(const Question& question, Verdict verdict);

  event_base* base_;
  Settings settings_;
  Clock clock_;
  Random random_;
  log::Log& log_;
  Servers servers_;
  Cache cache_;
  std::map<Question, std::unique_ptr<Active>> active_;
  std::deque<Question> queue_;
  std::map<Question, std::vector<Told>> queued_;
  std::vector<std::unique_ptr<Active>> over_;  // freed once their callbacks have returned
  net::Timer cleaner_;
  std::function<void(const Question&, const Query::Taken&)> seen_;
  Counts counts_;
};

}  // namespace peargrade::dns
