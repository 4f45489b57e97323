#include "wire/event_parser.h"

#include <iterator>
#include <map>
#include <utility>

#include "wire/hex.h"
#include "wire/settings_parser.h"

namespace peargrade::wire {
namespace {

constexpr std::int64_t kUpdateIdMax = 65535;

int parseZone(const Fields& fields) { return static_cast<int>(fields.integer("rackZone", 0, kIntMax)); }

int parseRequestClass(const Fields& fields) { return static_cast<int>(fields.integer("cls", 0, kIntMax)); }

ProxyId parseProxyId(const Fields& fields) {
  return static_cast<ProxyId>(fields.integer("sidecar", 0, kProxyMax));
}

TableId parseTableId(const Fields& fields) {
  return static_cast<TableId>(fields.integer("tbl", 0, kTableMax));
}

std::int64_t parseTotal(const Fields& fields) { return fields.integer("total", 0, kIntMax); }

std::int64_t parseFailures(const Fields& fields) { return fields.integerOr("bad", 0, kIntMax, 0); }

Micros parseDuration(const Fields& fields) { return fields.integerOr("durationUs", 0, kMicrosMax, 0); }

Micros parseWindow(const Fields& fields) { return fields.integer("windowUs", 0, kMicrosMax); }

Input parseNewInstance(const Fields& fields) {
  const Value& seed = fields.required("randomSeed");
  if (!seed.IsUint64() && !seed.IsInt64()) fields.failField("randomSeed", "is not an integer");
  NewInstance start;
  start.seed = seed.IsUint64() ? seed.GetUint64() : static_cast<std::uint64_t>(seed.GetInt64());
  start.settings = parseSettings(fields.required("info"), fields.where() + ": info");
  return start;
}

Input parseRetire(const Fields&) { return Retire{}; }

Endpoint parseEndpoint(const Fields& fields) {
  Endpoint endpoint;
  endpoint.server = serverId(fields, "server");
  endpoint.weight = fields.numberOr("w", 1);
  endpoint.startedAt = fields.integerOr("startedAtUs", 0, kMicrosMax, 0);
  endpoint.cell = static_cast<int>(fields.integerOr("group", 0, kIntMax, 0));
  endpoint.zone = static_cast<int>(fields.integerOr("rackZone", 0, kIntMax, 0));
  endpoint.kind = static_cast<int>(fields.integerOr("sku", 0, kIntMax, 0));
  endpoint.state = oneOf<EndpointState>(
      fields, "health",
      {{"U", EndpointState::Ready}, {"L", EndpointState::Draining}, {"D", EndpointState::Removed}});
  return endpoint;
}

Input parsePeersKnown(const Fields& fields) {
  EndpointListUpdate update;
  update.kind = oneOf<EndpointListKind>(fields, "mode",
                                        {{"diff", EndpointListKind::Delta},
                                         {"snapshot", EndpointListKind::Full},
                                         {"disk", EndpointListKind::Cached},
                                         {"error", EndpointListKind::Failed}});
  update.version = fields.integerOr("rev", 0, kMicrosMax, 0);
  const bool mayLackEntries = update.kind == EndpointListKind::Failed;
  if (mayLackEntries && fields.optional("entries") == nullptr) return Event{std::move(update)};
  for (const Value& entry : fields.array("entries").GetArray())
    update.endpoints.push_back(parseEndpoint(Fields(entry, fields.where() + ": entries")));
  return Event{std::move(update)};
}

Input parseTimeoutFired(const Fields& fields) { return Event{TimerFired{fields.text("handle")}}; }

// The index of an outcome in kOutcomes is its number on the wire.
Input parseEcho(const Fields& fields) {
  static constexpr HealthCheckOutcome kOutcomes[] = {
      HealthCheckOutcome::Error,   HealthCheckOutcome::Passed,      HealthCheckOutcome::Rejected,
      HealthCheckOutcome::Timeout, HealthCheckOutcome::Unreachable, HealthCheckOutcome::ConnectionLost};
  constexpr std::int64_t kOutcomeMax = std::size(kOutcomes) - 1;
  HealthCheckResult result;
  result.server = serverId(fields, "server");
  result.outcome = kOutcomes[fields.integer("ending", 0, kOutcomeMax)];
  result.duration = parseDuration(fields);
  return Event{std::move(result)};
}

Input parseMessage(const Fields& fields) {
  const int origin = static_cast<int>(fields.integer("originPeer", 0, kIntMax));
  auto payload = fromHex(fields.text("octets"));
  if (!payload) fields.failField("octets", "is not a string of hexadecimal digit pairs");
  return Event{GossipReceived{origin, std::move(*payload)}};
}

Input parseEnrolled(const Fields& fields) {
  return Event{
      ProxyConnected{parseProxyId(fields), parseZone(fields), fields.numberOr("w", 0), fields.boolean("on")}};
}

Input parseParted(const Fields& fields) { return Event{ProxyDisconnected{parseProxyId(fields)}}; }

Input parseUpstreamStats(const Fields& fields) {
  return Event{ServerLoadReport{parseZone(fields), serverId(fields, "server"), parseTotal(fields),
                                parseFailures(fields), parseDuration(fields), parseWindow(fields)}};
}

Input parseUsage(const Fields& fields) {
  return Event{ProxyLoadReport{parseProxyId(fields), parseRequestClass(fields), parseTotal(fields),
                               parseFailures(fields), parseWindow(fields)}};
}

Input parseActivity(const Fields& fields) {
  return Event{SliceLoadReport{parseTableId(fields), parseRequestClass(fields), parseTotal(fields),
                               parseFailures(fields), parseWindow(fields)}};
}

Input parseCharge(const Fields& fields) {
  return Event{SliceAssignment{parseTableId(fields), fields.boolean("on")}};
}

Input parseOnRecord(const Fields& fields) {
  return Event{StoredRoute{parseTableId(fields), serverId(fields, "server"), fields.number("w")}};
}

Input parseTookEffect(const Fields& fields) {
  UpdateAcknowledged acknowledgement;
  acknowledgement.proxy = parseProxyId(fields);
  acknowledgement.updateId = static_cast<int>(fields.integer("rev", 0, kUpdateIdMax));
  acknowledgement.delay = parseDuration(fields);
  return Event{acknowledgement};
}

using Parser = Input (*)(const Fields&);

const std::map<std::string, Parser>& parsers() {
  static const std::map<std::string, Parser> byName = {
      {"newInstance", parseNewInstance},
      {"retire", parseRetire},
      {"peersKnown", parsePeersKnown},
      {"timeoutFired", parseTimeoutFired},
      {"echo", parseEcho},
      {"message", parseMessage},
      {"enrolled", parseEnrolled},
      {"parted", parseParted},
      {"upstreamStats", parseUpstreamStats},
      {"usage", parseUsage},
      {"activity", parseActivity},
      {"charge", parseCharge},
      {"onRecord", parseOnRecord},
      {"tookEffect", parseTookEffect},
  };
  return byName;
}

}  // namespace

Input parseInput(const Value& value, const std::string& where) {
  if (!value.IsObject() || value.MemberCount() != 1)
    fail(where, "an event must be an object with a single key");
  const auto& member = *value.MemberBegin();
  const std::string name(member.name.GetString(), member.name.GetStringLength());
  const auto parser = parsers().find(name);
  if (parser == parsers().end()) fail(where, "unknown event '" + name + "'");
  return parser->second(Fields(member.value, where + ": " + name));
}

}  // namespace peargrade::wire
