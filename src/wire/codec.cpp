#include "wire/codec.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <map>

#include "wire/fields.h"

namespace peargrade::wire {
namespace {

using rapidjson::Value;

std::string fromHex(const Fields& f, const char* name) {
  const std::string hex = f.text(name);
  auto digit = [&](char c) -> int {
    if (c >= '0' && c <= '9') return c - '0';
    if (c >= 'a' && c <= 'f') return c - 'a' + 10;
    if (c >= 'A' && c <= 'F') return c - 'A' + 10;
    fail(f.where(), std::string("'") + name + "' is not hex digits");
  };
  if (hex.size() % 2 != 0) fail(f.where(), std::string("'") + name + "' is not hex digits");
  std::string bytes;
  for (std::size_t i = 0; i < hex.size(); i += 2) {
    bytes.push_back(static_cast<char>(digit(hex[i]) * 16 + digit(hex[i + 1])));
  }
  return bytes;
}

std::string toHex(const std::string& bytes) {
  static const char* digits = "0123456789abcdef";
  std::string hex;
  for (unsigned char c : bytes) {
    hex.push_back(digits[c >> 4]);
    hex.push_back(digits[c & 15]);
  }
  return hex;
}

// ---- Settings ----

RequestClass parseClass(const Fields& f) {
  RequestClass c;
  c.latencyObjective = f.integer("aimUs", 1, kMicrosMax);
  c.deadline = f.integerOr("hardLimitUs", 0, kMicrosMax, 0);
  c.priorityWeight = f.numberOr("worth", 1);
  c.idempotency = oneOf<Idempotency>(f, "effect",
                                     {{"repeatable", Idempotency::Idempotent},
                                      {"by_key", Idempotency::WithIdempotencyKey},
                                      {"once", Idempotency::NonIdempotent}});
  const std::string scope = f.textOr("dedupScope", "all");
  c.deduplicationScope = scope == "cell"   ? DeduplicationScope::Cell
                         : scope == "zone" ? DeduplicationScope::Zone
                                           : DeduplicationScope::All;
  c.idempotencyKeyTtl = f.integerOr("keyTtlUs", 0, kMicrosMax, 0);
  return c;
}

void parseExtra(const Fields& f, Settings& s) {
  s.slices = static_cast<int>(f.integerOr("shards", 0, kTableMax - 1, 0));
  s.proxies = static_cast<int>(f.integerOr("proxyCount", 0, kProxyMax + 1, 0));
  s.sliceOwnership = f.boolean("oneOwner") ? SliceOwnership::SingleOwner : SliceOwnership::Shared;
  const std::string level = f.textOr("throttleBy", "fraction");
  s.admissionUnit = level == "fraction"     ? AdmissionUnit::Ratio
                    : level == "per_second" ? AdmissionUnit::RequestsPerSecond
                                            : AdmissionUnit::Unsupported;
  s.defaultRetryPolicy = static_cast<RetryPolicy>(f.integerOr("usualHow", 0, 3, 0));
  s.attemptTimeoutObjectives = f.numberOr("tryAims", s.attemptTimeoutObjectives);
  s.routesPerSecond = f.numberOr("egressPerS", s.routesPerSecond);
  s.messageOverheadRoutes = f.numberOr("perMessage", s.messageOverheadRoutes);
  s.pendingRoutesMax = f.numberOr("pendingMax", s.pendingRoutesMax);
  s.messagesPerProxyMax = static_cast<int>(f.integerOr("updateCap", 0, kIntMax, 0));
  s.messageWindow = f.integerOr("updateWindowUs", 0, kMicrosMax, 0);
  s.pushDelay = f.integerOr("pushDelayUs", 0, kMicrosMax, 0);
  s.pushDelayMax = f.integerOr("pushDelayMaxUs", 0, kMicrosMax, 0);
  s.reportInterval = f.integerOr("reportEveryUs", 1, kMicrosMax, s.reportInterval);
  s.lease = f.integerOr("leaseUs", 0, kMicrosMax, 0);
  s.inFlightWriteMax = f.integerOr("inFlightMaxUs", 0, kMicrosMax, 0);
  s.unroutableMax = f.integerOr("blackholeUs", 0, kMicrosMax, 0);
  if (const Value* writes = f.optional("mutating")) {
    if (!writes->IsArray()) fail(f.where(), "'mutating' is not an array");
    for (rapidjson::SizeType i = 0; i < writes->Size() && i < s.classes.size(); ++i) {
      s.classes[i].isWrite = (*writes)[i].IsBool() && (*writes)[i].GetBool();
    }
  }
}

}  // namespace

Settings parseSettings(const Value& value, const std::string& where) {
  const Fields f(value, where);
  Settings s;
  const Value& classes = f.array("classes");
  if (classes.Empty()) fail(where, "'classes' is empty");
  for (const Value& c : classes.GetArray()) s.classes.push_back(parseClass(Fields(c, where + ": classes")));
  s.supervisors = static_cast<int>(f.integerOr("groupSize", 1, kIntMax, 1));
  s.endpointsOnRequest = f.textOr("registryMode", "pushed") == "on_request";
  s.endpointsHaveWeights = f.textOr("weights", "silent") != "silent";
  if (const Value* limits = f.optional("limits")) {
    const Fields l(*limits, where + ": limits");
    s.healthChecksAllowed = l.boolean("probes");
    s.gossipAllowed = l.boolean("peerMessages");
  }
  if (const Value* rules = f.optional("rules")) {
    const Fields r(*rules, where + ": rules");
    s.drainGrace = r.integerOr("drainGraceUs", 0, kMicrosMax, 0);
    s.removalIsAdvisory = r.boolean("goneIsAdvice");
    s.pollDeadline = r.integerOr("askWithinUs", 0, kMicrosMax, 0);
    s.initialCapacity = r.numberOr("startCapacity", 1);
    s.slowStartWindow = r.integerOr("warmAfterUs", 0, kMicrosMax, 0);
    s.overloadFactor = r.numberOr("overloadFactor", 1);
    s.overloadDurationMax = r.integerOr("fallUs", 0, kMicrosMax, 0);
  }
  if (const Value* extra = f.optional("extra")) parseExtra(Fields(*extra, where + ": extra"), s);
  return s;
}

namespace {

// ---- Events ----

int zoneOf(const Fields& f) { return static_cast<int>(f.integer("rackZone", 0, kIntMax)); }
ProxyId proxyOf(const Fields& f) { return static_cast<ProxyId>(f.integer("sidecar", 0, kProxyMax)); }
TableId tableOf(const Fields& f) { return static_cast<TableId>(f.integer("tbl", 0, kTableMax)); }

Endpoint parseEntry(const Fields& f) {
  Endpoint e;
  e.server = serverId(f, "server");
  e.weight = f.numberOr("w", 1);
  e.startedAt = f.integerOr("startedAtUs", 0, kMicrosMax, 0);
  e.cell = static_cast<int>(f.integerOr("group", 0, kIntMax, 0));
  e.zone = static_cast<int>(f.integerOr("rackZone", 0, kIntMax, 0));
  e.kind = static_cast<int>(f.integerOr("sku", 0, kIntMax, 0));
  e.state = oneOf<EndpointState>(
      f, "health",
      {{"U", EndpointState::Ready}, {"L", EndpointState::Draining}, {"D", EndpointState::Removed}});
  return e;
}

Input parsePeersKnown(const Fields& f) {
  EndpointListUpdate news;
  news.kind = oneOf<EndpointListKind>(f, "mode",
                                      {{"diff", EndpointListKind::Delta},
                                       {"snapshot", EndpointListKind::Full},
                                       {"disk", EndpointListKind::Cached},
                                       {"error", EndpointListKind::Failed}});
  news.version = f.integerOr("rev", 0, kMicrosMax, 0);
  if (f.optional("entries") != nullptr) {
    for (const Value& e : f.array("entries").GetArray()) {
      news.endpoints.push_back(parseEntry(Fields(e, f.where() + ": entries")));
    }
  } else if (news.kind != EndpointListKind::Failed) {
    f.required("entries");
  }
  return Event{std::move(news)};
}

Input parseNewInstance(const Fields& f) {
  const Value& seed = f.required("randomSeed");
  if (!seed.IsUint64() && !seed.IsInt64()) fail(f.where(), "'randomSeed' is not a whole number");
  NewInstance n;
  n.seed = seed.IsUint64() ? seed.GetUint64() : static_cast<std::uint64_t>(seed.GetInt64());
  n.settings = parseSettings(f.required("info"), f.where() + ": info");
  return n;
}

Input parseEcho(const Fields& f) {
  static constexpr HealthCheckOutcome kOutcomes[] = {
      HealthCheckOutcome::Error,   HealthCheckOutcome::Passed,      HealthCheckOutcome::Rejected,
      HealthCheckOutcome::Timeout, HealthCheckOutcome::Unreachable, HealthCheckOutcome::ConnectionLost};
  return Event{HealthCheckResult{serverId(f, "server"), kOutcomes[f.integer("ending", 0, 5)],
                                 f.integerOr("durationUs", 0, kMicrosMax, 0)}};
}

Input parseUpstreamStats(const Fields& f) {
  ServerLoadReport r{zoneOf(f),
                     serverId(f, "server"),
                     f.integer("total", 0, kIntMax),
                     f.integerOr("bad", 0, kIntMax, 0),
                     f.integerOr("durationUs", 0, kMicrosMax, 0),
                     f.integer("windowUs", 0, kMicrosMax)};
  return Event{std::move(r)};
}

int classOf(const Fields& f) { return static_cast<int>(f.integer("cls", 0, kIntMax)); }

using Parser = Input (*)(const Fields&);
const std::map<std::string, Parser>& parsers() {
  static const std::map<std::string, Parser> table = {
      {"newInstance", parseNewInstance},
      {"retire", [](const Fields&) { return Input{Retire{}}; }},
      {"peersKnown", parsePeersKnown},
      {"timeoutFired", [](const Fields& f) { return Input{Event{TimerFired{f.text("handle")}}}; }},
      {"echo", parseEcho},
      {"message",
       [](const Fields& f) {
         return Input{Event{
             GossipReceived{static_cast<int>(f.integer("originPeer", 0, kIntMax)), fromHex(f, "octets")}}};
       }},
      {"enrolled",
       [](const Fields& f) {
         return Input{Event{ProxyConnected{proxyOf(f), zoneOf(f), f.numberOr("w", 0), f.boolean("on")}}};
       }},
      {"parted", [](const Fields& f) { return Input{Event{ProxyDisconnected{proxyOf(f)}}}; }},
      {"upstreamStats", parseUpstreamStats},
      {"usage",
       [](const Fields& f) {
         return Input{
             Event{ProxyLoadReport{proxyOf(f), classOf(f), f.integer("total", 0, kIntMax),
                                   f.integerOr("bad", 0, kIntMax, 0), f.integer("windowUs", 0, kMicrosMax)}}};
       }},
      {"activity",
       [](const Fields& f) {
         return Input{
             Event{SliceLoadReport{tableOf(f), classOf(f), f.integer("total", 0, kIntMax),
                                   f.integerOr("bad", 0, kIntMax, 0), f.integer("windowUs", 0, kMicrosMax)}}};
       }},
      {"charge",
       [](const Fields& f) {
         return Input{Event{SliceAssignment{tableOf(f), f.boolean("on")}}};
       }},
      {"onRecord",
       [](const Fields& f) {
         return Input{Event{StoredRoute{tableOf(f), serverId(f, "server"), f.number("w")}}};
       }},
      {"tookEffect",
       [](const Fields& f) {
         return Input{Event{UpdateAcknowledged{proxyOf(f), static_cast<int>(f.integer("rev", 0, 65535)),
                                               f.integerOr("durationUs", 0, kMicrosMax, 0)}}};
       }},
  };
  return table;
}

Input parseInput(const Value& value, const std::string& where) {
  if (!value.IsObject() || value.MemberCount() != 1)
    fail(where, "an event is not an object with a single key");
  const auto& member = *value.MemberBegin();
  const std::string name(member.name.GetString(), member.name.GetStringLength());
  auto it = parsers().find(name);
  if (it == parsers().end()) fail(where, "unknown event '" + name + "'");
  return it->second(Fields(member.value, where + ": " + name));
}

// ---- Actions ----

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

struct ActionWriter {
  Writer& w;

  void key(const char* name) { w.Key(name); }
  void text(const char* name, const std::string& value) {
    w.Key(name);
    w.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  }
  void integer(const char* name, std::int64_t value) {
    w.Key(name);
    w.Int64(value);
  }
  void number(const char* name, double value) {
    w.Key(name);
    w.Double(value);
  }
  void mark(const char* name, bool value) {
    w.Key(name);
    w.Bool(value);
  }

  void operator()(const SetTimer& a) {
    begin("schedule");
    integer("waitUs", a.delay);
    text("handle", a.token);
  }
  void operator()(const WatchEndpoints& a) {
    begin("track");
    mark("on", a.enabled);
  }
  void operator()(const PollEndpoints&) { begin("lookup"); }
  void operator()(const HealthCheck& a) {
    begin("ping");
    text("server", a.server);
  }
  void operator()(const SendGossip& a) {
    begin("say");
    text("to", "*");
    text("octets", toHex(a.payload));
  }
  void operator()(const SetRoute& a) {
    begin("setLine");
    integer("tbl", a.table);
    text("server", a.server);
    number("w", a.weight);
  }
  void operator()(const ClearTable& a) {
    begin("truncate");
    integer("tbl", a.table);
  }
  void operator()(const SetEjection& a) {
    begin("pull");
    mark("on", a.state == EjectionState::Ejected);
    text("server", a.server);
  }
  void operator()(const SetAdmission& a) {
    begin("throttle");
    integer("tbl", a.table);
    integer("secondTry", static_cast<int>(a.retryPolicy));
    integer("classes", a.classMask);
    number("limit", a.ratio);
  }
  void operator()(const AcknowledgementRequest& a) {
    begin("nonce");
    mark("on", a.everyProxy);
    integer("rev", a.updateId);
  }
  void operator()(const Log& a) {
    begin("print");
    text("text", a.text);
  }

 private:
  void begin(const char* name) {
    w.StartObject();
    w.Key(name);
    w.StartObject();
  }
};

}  // namespace

Batch parseBatch(const std::string& line) {
  rapidjson::Document doc;
  parseJson(doc, line, "batch");
  const Fields f(doc, "batch");
  Batch batch;
  batch.turn = f.integer("turn", 0, kMicrosMax);
  const std::string where = "batch " + std::to_string(batch.turn);
  const Fields named(doc, where);
  batch.now = named.integer("wallUs", 0, kMicrosMax);
  for (const Value& g : named.array("groups").GetArray()) {
    const Fields group(g, where + ": group");
    InputGroup in;
    in.supervisor = static_cast<int>(group.integer("supervisor", 0, kIntMax));
    const std::string place = where + ": supervisor " + std::to_string(in.supervisor);
    for (const Value& e : Fields(g, place).array("input").GetArray())
      in.input.push_back(parseInput(e, place));
    batch.groups.push_back(std::move(in));
  }
  return batch;
}

std::string writeReply(const Reply& reply) {
  rapidjson::StringBuffer buffer;
  Writer w(buffer);
  w.StartObject();
  w.Key("turn");
  w.Int64(reply.turn);
  w.Key("groups");
  w.StartArray();
  for (const ReplyGroup& group : reply.groups) {
    w.StartObject();
    w.Key("supervisor");
    w.Int(group.supervisor);
    w.Key("out");
    w.StartArray();
    for (const Action& action : group.out) {
      std::visit(ActionWriter{w}, action);
      w.EndObject();
      w.EndObject();
    }
    w.EndArray();
    w.EndObject();
  }
  w.EndArray();
  w.EndObject();
  return buffer.GetString();
}

}  // namespace peargrade::wire
