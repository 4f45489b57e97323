// Declares every block and field of the operator's file.
#include "operator/operator.h"

namespace peargrade::op {
namespace {

// Durations are declared in microseconds.
constexpr double kMs = 1e3;
constexpr double kSecond = 1e6;
constexpr double kMinute = 60e6;
constexpr double kHour = 3600e6;
constexpr double kDay = 86400e6;

Field duration(const char* name, double min, double max, const char* defaultValue, const char* description) {
  return {name, Kind::Duration, min, max, defaultValue, Form::Node, false, false, {}, description};
}
Field count(const char* name, double min, double max, const char* defaultValue, const char* description) {
  return {name, Kind::Count, min, max, defaultValue, Form::Node, false, false, {}, description};
}
Field share(const char* name, double min, double max, const char* defaultValue, const char* description) {
  return {name, Kind::Share, min, max, defaultValue, Form::Node, false, false, {}, description};
}
Field flag(const char* name, const char* defaultValue, const char* description) {
  return {name, Kind::Flag, 0, 0, defaultValue, Form::Node, false, false, {}, description};
}

Field text(const char* name, const char* description, Form form, bool required,
           const char* defaultValue = "") {
  return {name, Kind::Text, 0, 0, defaultValue, form, required, false, {}, description};
}
Field address(const char* name, const char* description, bool repeatable) {
  return {name, Kind::Address, 0, 0, "", Form::Node, false, repeatable, {}, description};
}

Block dnsBlock() {
  return {
      "dns",
      false,
      {address("server", "address of a name server, as numbers", true),
       duration("try", 10 * kMs, 10 * kSecond, "400ms",
                "timeout of the first UDP attempt; doubles with each attempt"),
       duration("try-longest", 10 * kMs, 30 * kSecond, "2s", "longest timeout of a UDP attempt"),
       count("tries", 1, 16, "4", "limit of attempts for one query, over all name servers"),
       duration("tcp", 50 * kMs, 30 * kSecond, "2s", "timeout of a complete exchange over TCP"),
       duration("lookup", 100 * kMs, kMinute, "6s",
                "timeout of a complete lookup, with its CNAME chain and addresses"),
       duration("ttl-floor", 0.1 * kSecond, kHour, "1s",
                "shortest cache lifetime; a lower TTL, also 0, is raised to this"),
       duration("ttl-ceiling", kSecond, 7 * kDay, "1h", "longest cache lifetime"),
       duration("negative-ceiling", kSecond, 3 * kHour, "1m", "longest cache lifetime of a negative answer"),
       duration("stale", 0, 7 * kDay, "1h", "an expired answer may be used for this long after its end"),
       duration("failure-hold", 0.1 * kSecond, 5 * kMinute, "1s",
                "shortest time before a failed query is repeated"),
       share("refresh", 0.1, 0.95, "0.8", "share of the lifetime after which an answer is refreshed"),
       share("spread", 0, 0.5, "0.1",
             "random share of the lifetime, up to this, by which a refresh is earlier"),
       count("cache-entries", 16, 1e6, "20000", "limit of cached queries with their answers"),
       {"cache-bytes",
        Kind::Size,
        65536,
        1073741824,
        "8MiB",
        Form::Node,
        false,
        false,
        {},
        "limit of the size of all cache entries together"},
       count("records", 1, 65536, "4096", "limit of records in one answer; a larger answer is rejected"),
       count("chain", 0, 32, "8", "longest CNAME chain"),
       count("udp-payload", 512, 4096, "1232", "UDP buffer size announced in EDNS(0)"),
       count("in-flight", 1, 1024, "64", "limit of concurrent queries")},
      {},
      "resolver for DNS sources"};
}

Block mergeBlock() {
  return {
      "merge",
      false,
      {duration("stale", 0, 7 * kDay, "60s",
                "a server listed by DNS only is kept for this long after its records expire"),
       share("step-share", 0.001, 1, "0.1", "share of the pool that one removal step may remove"),
       duration("step-every", 0.1 * kSecond, kHour, "5s", "interval of removal steps"),
       share("confirm-share", 0, 1, "0.3",
             "an answer that removes more than this share needs a second one to confirm it"),
       duration("confirm-within", kSecond, kHour, "30s",
                "without a second answer, the removal starts in steps after this time"),
       share("tier-least", 0, 1, "0.5", "a lower tier joins below this usable share of the tiers above"),
       share("tier-back", 0, 1, "0.7", "a lower tier leaves at this usable share of the tiers above"),
       share("weight-margin", 0, 1, "0.1", "a change of weight by up to this share is not published"),
       duration("flap-span", kSecond, kHour, "60s", "time window in which returns of a server are counted"),
       count("flap-turns", 1, 100, "2",
             "returns of a server in the window after which further ones are held back"),
       duration("flap-hold", kSecond, kHour, "60s",
                "time for which a return is held back; a drain is never held back"),
       duration("roster-first", 0, kMinute, "3s", "longest wait for the roster after the start"),
       count("keep-least", 1, 1000, "1", "number of ready servers that DNS alone never removes"),
       count("servers", 1, 1e6, "50000", "limit of servers in total; further ones are rejected"),
       {"weights",
        Kind::Word,
        0,
        0,
        "roster",
        Form::Node,
        false,
        false,
        {"roster", "srv"},
        "source of the weight of a server that the roster and SRV records list"},
       flag("first-answer-warm", "false", "servers of the first complete answer need no slow start")},
      {},
      "merges the lists of several sources"};
}

Block placeBlock() {
  return {
      "place",
      true,
      {text("net", "network of the addresses, such as \"10.1.0.0/16\"", Form::Property, false, "0.0.0.0/0"),
       text("zone", "a zone named in the configuration's settings", Form::Property, true),
       text("kind", "a kind named in the configuration's settings; the first one if omitted", Form::Property,
            false),
       {"pod-group", Kind::Count, 0, 1e9, "0", Form::Property, false, false, {}, ""}},
      {},
      "zone, kind and pod group of the servers in a network"};
}

Block srvBlock() {
  return {"srv",
          true,
          {text("label", "name of the source in logs", Form::Argument, true),
           text("name", "owner name of the records, such as \"_orders._tcp.example.org\"", Form::Node, true)},
          {placeBlock()},
          "source of servers from SRV records"};
}

Block grantBlock() {
  return {"grant",
          true,
          {text("key", "name of a key in the key file", Form::Property, true),
           text("name", "\"a.example.org\", or \"*.example.org\" for the name and all names below",
                Form::Property, true),
           text("types", "record types such as \"SRV A TXT\"; all if omitted", Form::Property, false)},
          {},
          "names and types that a key may change"};
}

Block zoneBlock() {
  return {"zone",
          true,
          {text("label", "name of the zone in logs and file names", Form::Argument, true),
           text("origin", "origin, such as \"example.org\"", Form::Node, true),
           {"service",
            Kind::Text,
            0,
            0,
            "",
            Form::Node,
            true,
            true,
            {},
            "owner name of SRV records, such as \"_orders._tcp.example.org\""},
           flag("authority", "true", "its drains and removals take precedence over other sources"),
           text("folder", "folder that must contain the zone file and its includes", Form::Node, false),
           text("file", "name of the zone file in that folder", Form::Node, false),
           duration("watch-every", 50 * kMs, kHour, "1s", "interval of checks of the file for changes"),
           address("primary", "primary that the zone is transferred from", true),
           text("state", "persistent folder for accepted updates", Form::Node, false),
           address("listen", "address for updates and NOTIFY messages, UDP and TCP", false),
           text("keys", "key file, readable by its owner only", Form::Node, false),
           count("remembered", 16, 1e6, "100000",
                 "limit of updates whose response is kept for repeated requests"),
           count("pending", 1, 65536, "4096", "limit of updates that wait to be written to disk"),
           count("connections", 1, 1024, "64", "limit of concurrent TCP connections")},
          {placeBlock(), grantBlock()},
          "zone that this installation serves or follows"};
}

}  // namespace

const Block& schema() {
  static const Block file{
      "",
      false,
      {{"version", Kind::Count, 1, 1, "", Form::Node, true, false, {}, "version of the file format"}},
      {{"sources",
        false,
        {flag("roster", "true", "use discovery over HTTP as a source")},
        {dnsBlock(), srvBlock(), zoneBlock(), mergeBlock()},
        "sources of the list of servers"},
       {"configuration",
        false,
        {flag("settings-reload", "false", "SIGHUP applies `settings` if all of them are valid")},
        {},
        "reload of the platform's configuration in a running supervisor"}},
      "the operator's file"};
  return file;
}

}  // namespace peargrade::op
