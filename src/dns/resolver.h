// Stub resolver: sends queries to name servers over UDP and TCP and caches the results. Does not block; each
// question gets exactly one result.
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

/// A stub resolver with a cache (RFC 1034, section 5.3.1). Times in microseconds.
class Resolver {
 public:
  using ResultCallback = std::function<void(const Result&)>;
  using ServiceCallback = std::function<void(const Service&)>;
  using Clock = std::function<Micros()>;          // for lifetimes and backoffs; a test controls it
  using Random = std::function<std::uint32_t()>;  // for ids, ports and jitter

  Resolver(event_base* base, const Settings& settings, Clock clock, Random random, log::Log& log);
  ~Resolver();
  Resolver(const Resolver&) = delete;
  Resolver& operator=(const Resolver&) = delete;

  /// Resolves a question. `bypassCache` uses the cache only while the question is in backoff. Concurrent
  /// calls with the same question share one query. May call `callback` before it returns.
  void resolve(const Question& question, ResultCallback callback, bool bypassCache = false);
  /// Resolves the SRV records of a service and the addresses of its targets. The SRV records bypass the
  /// cache; the addresses do so if `refreshAll` is set or their refresh is due.
  void lookup(const std::string& name, ServiceCallback callback, bool refreshAll = false);

  /// Sets a callback for each executed step of a query. It is called when the query is done.
  void onSteps(std::function<void(const Question&, const Query::Taken&)> callback) {
    onStep_ = std::move(callback);
  }

  struct Counts {
    std::uint64_t asked = 0;      // questions sent to name servers
    std::uint64_t answered = 0;   // complete answers, including negative ones
    std::uint64_t failed = 0;     // questions without a usable answer
    std::uint64_t stale = 0;      // expired results served after a failure
    std::uint64_t cached = 0;     // results served from the cache
    std::uint64_t tcp = 0;        // exchanges over TCP
    std::uint64_t strangers = 0;  // ignored messages that were not an answer to the query
    std::uint64_t rejected = 0;   // questions rejected because the queue was full
  };
  const Counts& counts() const { return counts_; }
  const Cache& cache() const { return cache_; }
  const Servers& servers() const { return servers_; }
  std::size_t underWay() const { return active_.size(); }

 private:
  struct Active {
    Active(Resolver& owner, const Question& question);
    Resolver& owner;
    const Question originalQuestion;  // key in active_ and in the cache
    Question question;                // at the end of the CNAME chain so far
    std::unique_ptr<Query> query;
    std::vector<ResultCallback> callbacks;
    std::uint16_t id = 0;
    int chainLength = 0;
    std::uint32_t ttl = 0x7FFFFFFF;  // seconds; minimum of the chain so far
    Micros startedAt = 0;
    Query::Step step;
    std::unique_ptr<net::Datagram> udp;
    std::unique_ptr<net::Stream> tcp;
    std::string input;  // bytes received over TCP
    net::IdleTimeout stepTimeout;
    net::IdleTimeout lookupTimeout;
  };

  void start(const Question& question, ResultCallback callback);
  void executeStep(Active& active, const Query::Step& step);
  void sendUdp(Active& active);
  void sendTcp(Active& active);
  void onTcpData(Active& active, evbuffer* input);
  void onMessage(Active& active, const std::string& bytes);
  void onFailed(Active& active, const char* why);
  void onTimeout(Active& active);
  void onLookupTimeout(Active& active);
  void closeTransport(Active& active, log::CloseReason reason, const std::string& detail);
  void onQueryDone(Active& active);
  void finish(Active& active, const Result& result);
  void startQueued();
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
  std::map<Question, std::vector<ResultCallback>> queuedCallbacks_;
  // Destroyed by cleanupTimer_, after their callbacks have returned.
  std::vector<std::unique_ptr<Active>> finished_;
  net::Timer cleanupTimer_;
  std::function<void(const Question&, const Query::Taken&)> onStep_;
  Counts counts_;
};

}  // namespace peargrade::dns
