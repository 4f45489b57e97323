// Every block and field that the operator's file may hold.
#include "operator/operator.h"

namespace peargrade::op {
namespace {

constexpr double kMs = 1e3, kSecond = 1e6, kMinute = 60e6, kHour = 3600e6, kDay = 86400e6;

Field duration(const char* name, double least, double most, const char* standard, const char* says) {
  return {name, Kind::Duration, least, most, standard, Form::Node, false, false, {}, says};
}
Field count(const char* name, double least, double most, const char* standard, const char* says) {
  return {name, Kind::Count, least, most, standard, Form::Node, false, false, {}, says};
}
Field share(const char* name, double least, double most, const char* standard, const char* says) {
  return {name, Kind::Share, least, most, standard, Form::Node, false, false, {}, says};
}
Field flag(const char* name, const char* standard, const char* says) {
  return {name, Kind::Flag, 0, 0, standard, Form::Node, false, false, {}, says};
}

Field text(const char* name, const char* says, Form form, bool needed, const char* standard = "") {
  return {name, Kind::Text, 0, 0, standard, form, needed, false, {}, says};
}
Field address(const char* name, const char* says, bool many) {
  return {name, Kind::Address, 0, 0, "", Form::Node, false, many, {}, says};
}

Block dnsBlock() {
  return {
      "dns",
      false,
      {address("server", "a name server; numbers only", true),
       duration("try", 10 * kMs, 10 * kSecond, "400ms", "first wait for an answer over UDP, doubled a try"),
       duration("try-longest", 10 * kMs, 30 * kSecond, "2s", "no wait over UDP is longer"),
       count("tries", 1, 16, "4", "of one question, over all servers"),
       duration("tcp", 50 * kMs, 30 * kSecond, "2s", "a whole exchange over TCP"),
       duration("lookup", 100 * kMs, kMinute, "6s", "a whole lookup with its chain and addresses"),
       duration("ttl-floor", 0.1 * kSecond, kHour, "1s", "no lifetime is shorter; TTL 0 counts as this"),
       duration("ttl-ceiling", kSecond, 7 * kDay, "1h", "no lifetime is longer"),
       duration("negative-ceiling", kSecond, 3 * kHour, "1m", "of \"there is none\""),
       duration("stale", 0, 7 * kDay, "1h", "an answer may serve so long past its end"),
       duration("failure-hold", 0.1 * kSecond, 5 * kMinute, "1s",
                "a failed question is not asked again sooner"),
       share("refresh", 0.1, 0.95, "0.8", "share of the lifetime after which it is asked again"),
       share("spread", 0, 0.5, "0.1", "asked earlier by up to this share of the lifetime"),
       count("cache-entries", 16, 1e6, "20000", "questions with what is known of them"),
       {"cache-bytes", Kind::Size, 65536, 1073741824, "8MiB", Form::Node, false, false, {}, "all entries"},
       count("records", 1, 65536, "4096", "of one answer; more is no answer"),
       count("chain", 0, 32, "8", "CNAMEs one after another"),
       count("udp-payload", 512, 4096, "1232", "buffer size told in EDNS(0)"),
       count("in-flight", 1, 1024, "64", "questions asked at one time")},
      {},
      "the resolver"};
}

Block mergeBlock() {
  return {"merge",
          false,
          {duration("stale", 0, 7 * kDay, "60s", "a server that DNS alone knew is kept so long past its end"),
           share("step-share", 0.001, 1, "0.1", "of the pool that may go in one step"),
           duration("step-every", 0.1 * kSecond, kHour, "5s", "one step in so long"),
           share("confirm-share", 0, 1, "0.3", "an answer that takes more of the pool waits for a second"),
           duration("confirm-within", kSecond, kHour, "30s", "or this long, and then goes in steps"),
           share("tier-least", 0, 1, "0.5", "a lower tier joins when less of the upper is there"),
           share("tier-back", 0, 1, "0.7", "and leaves when this much is back"),
           share("weight-margin", 0, 1, "0.1", "a weight that changes by no more is no news"),
           duration("flap-span", kSecond, kHour, "60s", "the span in which returns of a server are counted"),
           count("flap-turns", 1, 100, "2", "more returns than these in the span are held"),
           duration("flap-hold", kSecond, kHour, "60s", "for so long; a drain is never held"),
           duration("roster-first", 0, kMinute, "3s", "after the start the roster is waited for so long"),
           count("keep-least", 1, 1000, "1", "servers that DNS alone never takes away"),
           count("servers", 1, 1e6, "50000", "held in all; more are left out"),
           {"weights",
            Kind::Word,
            0,
            0,
            "roster",
            Form::Node,
            false,
            false,
            {"roster", "srv"},
            "whose weight goes first"},
           flag("first-answer-warm", "false", "what the first complete answer lists has run for long")},
          {},
          "how several sources become one list"};
}

Block placeBlock() {
  return {"place",
          true,
          {text("net", "\"10.1.0.0/16\"", Form::Property, false, "0.0.0.0/0"),
           text("zone", "a zone of the settings", Form::Property, true),
           text("kind", "a kind of the settings", Form::Property, false),
           {"pod-group", Kind::Count, 0, 1e9, "0", Form::Property, false, false, {}, ""}},
          {},
          "where servers of a net stand"};
}

Block srvBlock() {
  return {"srv",
          true,
          {text("label", "names it in logs", Form::Argument, true),
           text("name", "\"_orders._tcp.example.org\"", Form::Node, true)},
          {placeBlock()},
          "SRV records as a source"};
}

Block grantBlock() {
  return {"grant",
          true,
          {text("key", "name of a key of the file of keys", Form::Property, true),
           text("name", "\"a.example.org\", or \"*.example.org\"", Form::Property, true),
           text("types", "\"SRV A TXT\"; left out: all", Form::Property, false)},
          {},
          "which key may change which names and types"};
}

Block zoneBlock() {
  return {
      "zone",
      true,
      {text("label", "names it in logs and files", Form::Argument, true),
       text("origin", "\"example.org\"", Form::Node, true),
       {"service", Kind::Text, 0, 0, "", Form::Node, true, true, {}, "\"_orders._tcp.example.org\""},
       flag("authority", "true", "its drains and what it takes out go before other sources"),
       text("folder", "that zone files and includes are kept within", Form::Node, false),
       text("file", "the zone file, in that folder", Form::Node, false),
       duration("watch-every", 50 * kMs, kHour, "1s", "the file is looked at so often"),
       address("primary", "the zone is followed from there", true),
       text("state", "a folder that lasts, for accepted updates", Form::Node, false),
       address("listen", "where updates and notices are taken, UDP and TCP", false),
       text("keys", "file of keys, closed to others", Form::Node, false),
       count("remembered", 16, 1e6, "100000", "updates that may be sent again and get their first answer"),
       count("pending", 1, 65536, "4096", "updates on their way to the disk"),
       count("connections", 1, 1024, "64", "over TCP")},
      {placeBlock(), grantBlock()},
      "a zone that this installation keeps itself"};
}

}  // namespace

const Block& schema() {
  static const Block file{
      "",
      false,
      {{"version", Kind::Count, 1, 1, "", Form::Node, true, false, {}, "of this form; 1"}},
      {{"sources",
        false,
        {flag("roster", "true", "discovery over HTTP is one of the sources")},
        {dnsBlock(), srvBlock(), zoneBlock(), mergeBlock()},
        "where the list of servers comes from"},
       {"configuration",
        false,
        {flag("settings-reload", "false", "SIGHUP takes `settings` over, checked as a whole")},
        {},
        "the platform's configuration in a running supervisor"}},
      "the operator's file"};
  return file;
}

}  // namespace peargrade::op
