// The interface of the decision module: settings, events, actions and the Director that turns one into the
// other. It knows no wire format; a codec (src/wire, later others) translates to and from these types.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace peargrade {

using Micros = std::int64_t;
using ServerId = std::string;
using ProxyId = int;
using TableId = int;

constexpr TableId kAllTables = 65535;  // in Admit: every table of this supervisor

// ---- Settings: told when a supervisor starts, and as a whole where they change in its life ----

enum class Effect { Repeatable, ByKey, Once };
enum class DedupScope { All, Zone, Cell };
enum class LevelUnit { Share, PerSecond, Ignored };

struct RequestClass {
  Micros aim = 0;
  Micros deadline = 0;
  double worth = 1;
  Effect effect = Effect::Once;
  DedupScope dedupScope = DedupScope::All;
  Micros keyTtl = 0;
  bool write = false;
};

struct Settings {
  std::vector<RequestClass> classes;
  int supervisors = 1;
  int slices = 0;              // 0: tables are per proxy, not per slice
  int proxies = 0;             // of the whole fleet; with slices each may join every supervisor; 0: not told
  bool listOnRequest = false;  // the server list is sent only after WatchList or FetchList
  bool listedWeights = false;  // the list's weights mean something
  bool probesAllowed = false;
  bool peerNotesAllowed = false;
  bool oneOwner = false;  // a slice may have one line only
  LevelUnit levelUnit = LevelUnit::Share;
  int usualSecondTry = 0;        // what proxies do where nothing is ordered
  double tryAims = 1;            // with SecondTry::AfterAnyFailure a try waits this many aims
  double linesPerSecond = 1e9;   // pace of the order channel
  double linesPerMessage = 0;    // fixed cost of a message
  double linesWaitingMax = 1e9;  // rule: more must never wait in the channel
  int messagesPerProxyMax = 0;   // rule: at most so many messages to a proxy in messagesSpan; 0: no limit
  Micros messagesSpan = 0;
  Micros orderDelay = 0;  // mean and longest way of a message to a proxy
  Micros orderDelayMax = 0;
  bool ordersTold = false;  // an OrdersTold follows each reply with orders; else they are taken at once
  Micros reportEvery = 1000000;
  Micros lease = 0;        // oneOwner: a proxy that lost its stream goes on writing so long
  Micros writeSettle = 0;  // oneOwner: a write taken in is finished within this time
  Micros bareMax = 0;      // rule: a slice may have no usable line for so long
  Micros drainGrace = 0;
  bool goneIsAdvice = false;  // rule: only a server seen as draining must be left, not one the list drops
  Micros askWithin = 0;       // listOnRequest: the list must have been asked for within this time
  double startCapacity = 1;   // a server starts at this share of its capacity
  Micros warmAfter = 0;       // and is warm after this time
  double overloadFactor = 1;  // rule: a cold server falls over at so many times its present capacity
  Micros fallAfter = 0;       // sent for so long
};

// ---- Events ----

enum class ListMode { Delta, Full, Cached, Failed };
enum class ServerState { Ready, Draining, Gone };

struct ServerEntry {
  ServerId server;
  double weight = 1;
  Micros startedAt = 0;  // 0: long ago
  int cell = 0;
  int zone = 0;
  int kind = 0;
  ServerState state = ServerState::Ready;
};

struct ListNews {
  ListMode mode = ListMode::Full;
  std::int64_t version = 0;
  std::vector<ServerEntry> entries;
};
struct TimerFired {
  std::string token;
};
enum class ProbeOutcome { Answered, Error, Rejected, Timeout, Unreachable, Broken };
struct ProbeResult {
  ServerId server;
  ProbeOutcome outcome = ProbeOutcome::Answered;
  Micros took = 0;
};
struct PeerNote {
  int from = 0;
  std::string bytes;
};
struct ProxyJoined {
  ProxyId proxy = 0;
  int zone = 0;
  double usualRate = 0;
  bool fresh = false;  // its first stream since it started
};
struct ProxyLeft {
  ProxyId proxy = 0;
};
struct ServerReport {  // what the joined proxies of a zone met at a server
  int zone = 0;
  ServerId server;
  std::int64_t tries = 0;
  std::int64_t failed = 0;
  Micros latency = 0;  // mean of the successful ones; 0: none
  Micros window = 0;
};
struct ProxyDemand {  // without slices: what came to a proxy
  ProxyId proxy = 0;
  int cls = 0;
  std::int64_t requests = 0;
  std::int64_t failed = 0;
  Micros window = 0;
};
struct SliceDemand {  // with slices: what came for a slice
  TableId slice = 0;
  int cls = 0;
  std::int64_t requests = 0;
  std::int64_t failed = 0;
  Micros window = 0;
};
struct SliceCharge {
  TableId slice = 0;
  bool given = false;
};
struct StoredLine {
  TableId slice = 0;
  ServerId server;
  double weight = 0;
};
struct OrdersTold {  // where the settings say so: what became of the reply that ended with this mark
  int mark = 0;
  bool taken = false;  // its orders have gone into the channel; else some or all of them are missing there
  int messages = 1;    // that went to each proxy of them, or may have
};
struct OrderApplied {
  ProxyId proxy = 0;
  int mark = 0;
  Micros took = 0;
};

// Other settings, as a whole, from here on: decisions of this batch and later follow them. Classes in number
// and order, slices, proxies, oneOwner and levelUnit are those of the start; with another number of classes
// the event is left out.
struct SettingsChanged {
  Settings settings;
};

using Event = std::variant<ListNews, TimerFired, ProbeResult, PeerNote, ProxyJoined, ProxyLeft, ServerReport,
                           ProxyDemand, SliceDemand, SliceCharge, StoredLine, OrdersTold, OrderApplied,
                           SettingsChanged>;

// ---- Actions ----

struct SetTimer {
  Micros delay = 0;
  std::string token;
};
struct WatchList {
  bool on = true;
};
struct FetchList {};
struct Probe {
  ServerId server;
};
struct TellPeers {
  std::string bytes;
};
struct SetLine {
  TableId table = 0;
  ServerId server;
  double weight = 0;  // 0 removes the line
};
struct ClearTable {
  TableId table = 0;
};
struct Withdraw {
  ServerId server;
  bool out = true;
};
enum class SecondTry { Never = 0, AfterProof = 1, AfterAnyFailure = 2, TwiceAfterAnyFailure = 3 };
struct Admit {
  TableId table = kAllTables;
  unsigned classMask = 0;  // sum of 2^k; 0: all
  double level = 1;
  SecondTry secondTry = SecondTry::Never;
};
struct Mark {
  int mark = 0;
  bool reachAll = false;
};
struct Log {
  std::string text;
};

using Action = std::variant<SetTimer, WatchList, FetchList, Probe, TellPeers, SetLine, ClearTable, Withdraw,
                            Admit, Mark, Log>;

// One supervisor. Identical events (and seed) give identical actions; nothing is shared between Directors.
class Director {
 public:
  Director(std::uint64_t seed, const Settings& settings);
  ~Director();
  Director(Director&&) noexcept;
  Director& operator=(Director&&) noexcept;

  // All events happened at `now`; the actions take effect then, in order.
  std::vector<Action> handle(Micros now, const std::vector<Event>& events);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace peargrade
