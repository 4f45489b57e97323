#include "sources/commands.h"

#include <rapidjson/ostreamwrapper.h>
#include <rapidjson/prettywriter.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <random>

#include "discovery/discovery.h"
#include "sources/sources.h"

namespace peargrade::sources {
namespace {

using Writer = rapidjson::PrettyWriter<rapidjson::OStreamWrapper>;

Micros unixNow() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Of a source of records, in the order of the membership.
std::string labelOf(const op::Operator& op, std::size_t k) {
  return k < op.srv.size() ? "srv " + op.srv[k].label : "zone " + op.zones[k - op.srv.size()].label;
}

struct Step {
  dns::Question question;
  dns::Query::Taken taken;
};

void text(Writer& out, const char* key, const std::string& value) {
  out.Key(key);
  out.String(value.c_str(), static_cast<rapidjson::SizeType>(value.size()));
}
void whole(Writer& out, const char* key, std::int64_t value) {
  out.Key(key);
  out.Int64(value);
}

const char* kindOf(const dns::Service& s) {
  return s.kind == dns::Service::Kind::Complete  ? "complete"
         : s.kind == dns::Service::Kind::Partial ? "partial"
                                                 : "failed";
}

LookupOutcome outcomeOf(const dns::Service& service) {
  if (service.kind == dns::Service::Kind::Failed) return LookupOutcome::NoAnswer;
  if (service.kind == dns::Service::Kind::Partial) return LookupOutcome::Partial;
  if (service.verdict == dns::Verdict::NxDomain) return LookupOutcome::NoSuchName;
  return service.targets.empty() ? LookupOutcome::NoRecords : LookupOutcome::Found;
}

const char* nameOf(LookupOutcome outcome) {
  switch (outcome) {
    case LookupOutcome::Found:
      return "found";
    case LookupOutcome::NoAnswer:
      return "no-answer";
    case LookupOutcome::Partial:
      return "partial";
    case LookupOutcome::NoSuchName:
      return "no-such-name";
    case LookupOutcome::NoRecords:
      return "no-records";
  }
  return "no-answer";
}

void asJson(const std::string& name, const dns::Service& service, const std::vector<Step>& steps,
            const dns::Settings& settings, Micros now) {
  rapidjson::OStreamWrapper stream(std::cout);
  Writer out(stream);
  out.StartObject();
  text(out, "name", name);
  text(out, "outcome", nameOf(outcomeOf(service)));
  text(out, "answer", kindOf(service));
  text(out, "verdict", dns::nameOf(service.verdict));
  whole(out, "lifetime_ms", std::max<Micros>(0, service.until - now) / 1000);
  out.Key("targets");
  out.StartArray();
  for (const dns::Target& t : service.targets) {
    out.StartObject();
    text(out, "target", t.name);
    whole(out, "port", t.port);
    whole(out, "priority", t.priority);
    whole(out, "weight", t.weight);
    out.Key("addresses");
    out.StartArray();
    for (const std::string& a : t.addresses) out.String(a.c_str());
    out.EndArray();
    out.Key("all_known");
    out.Bool(t.sure);
    whole(out, "lifetime_ms", std::max<Micros>(0, t.until - now) / 1000);
    out.EndObject();
  }
  out.EndArray();
  out.Key("steps");
  out.StartArray();
  for (const Step& s : steps) {
    out.StartObject();
    text(out, "question", s.question.text());
    text(out, "server", settings.servers[s.taken.server].text());
    text(out, "over", s.taken.tcp ? "tcp" : "udp");
    whole(out, "took_us", s.taken.took);
    text(out, "what", s.taken.what);
    out.EndObject();
  }
  out.EndArray();
  out.EndObject();
  std::cout << '\n';
}

void asText(const std::string& name, const dns::Service& service, const std::vector<Step>& steps,
            const dns::Settings& settings, Micros now) {
  std::cout << name << ": " << nameOf(outcomeOf(service)) << ", " << kindOf(service) << " ("
            << dns::nameOf(service.verdict) << "), lifetime "
            << std::max<Micros>(0, service.until - now) / 1000 << " ms\n";
  for (const dns::Target& t : service.targets) {
    std::cout << "  priority " << t.priority << " weight " << t.weight << " " << t.name << ":" << t.port;
    for (const std::string& a : t.addresses) std::cout << " " << a;
    std::cout << (t.sure ? "" : " (addresses not all known)") << ", lifetime "
              << std::max<Micros>(0, t.until - now) / 1000 << " ms\n";
  }
  std::cout << "steps\n";
  for (const Step& s : steps)
    std::cout << "  " << s.question.text() << " " << (s.taken.tcp ? "tcp " : "udp ")
              << settings.servers[s.taken.server].text() << " " << s.taken.took << " us: " << s.taken.what
              << '\n';
}

dns::Resolver::Random drawn() {
  const auto device = std::make_shared<std::random_device>();
  return [device] { return static_cast<std::uint32_t>((*device)()); };
}

// Turns the loop until `holds` or the time is over.
bool until(event_base* base, Micros within, const std::function<bool()>& holds) {
  bool over = false;
  net::Timer limit(base, [&over] { over = true; });
  limit.schedule(within);
  while (!holds() && !over) event_base_loop(base, EVLOOP_ONCE);
  return holds();
}

using Rows = std::vector<membership::Explanation>;

void rowsAsJson(const Rows& rows, const op::Operator& op, Micros now) {
  rapidjson::OStreamWrapper stream(std::cout);
  Writer out(stream);
  out.StartArray();
  for (const auto& e : rows) {
    out.StartObject();
    text(out, "server", e.server);
    text(out, "endpoint", e.address);
    out.Key("listed");
    out.Bool(e.listed);
    text(out, "state",
         !e.listed                            ? "none"
         : e.state == EndpointState::Ready    ? "ready"
         : e.state == EndpointState::Draining ? "draining"
                                              : "gone");
    text(out, "rule", membership::codeOf(e.rule));
    whole(out, "until_ms", e.until > now ? (e.until - now) / 1000 : 0);
    text(out, "roster", e.roster);
    out.Key("records");
    out.StartObject();
    for (std::size_t k = 0; k < e.records.size(); ++k) text(out, labelOf(op, k).c_str(), e.records[k]);
    out.EndObject();
    out.EndObject();
  }
  out.EndArray();
  std::cout << '\n';
}

void rowsAsText(const Rows& rows, const op::Operator& op, Micros now) {
  for (const auto& e : rows) {
    std::cout << e.server
              << (e.listed ? e.state == EndpointState::Ready ? " ready" : " draining" : " not listed")
              << ", rule " << membership::codeOf(e.rule);
    if (e.until > now) std::cout << " for " << (e.until - now) / 1000 << " ms";
    std::cout << "\n  roster: " << (e.roster.empty() ? "nothing" : e.roster) << '\n';
    for (std::size_t k = 0; k < e.records.size(); ++k)
      std::cout << "  " << labelOf(op, k) << ": " << e.records[k] << '\n';
  }
}

// Whether discovery said that it has no list.
bool listFailed(const std::vector<Event>& events) {
  return std::any_of(events.begin(), events.end(), [](const Event& e) {
    const auto* news = std::get_if<EndpointListUpdate>(&e);
    return news != nullptr && news->kind == EndpointListKind::Failed;
  });
}

}  // namespace

int lookup(const LookupCommand& asked, log::Log& log) {
  dns::Settings settings;
  for (const std::string& server : asked.servers) {
    const auto address = net::Address::parse(server);
    if (!address) {
      std::cerr << "peargrade: '" << server << "' is no address of the form 127.0.0.1:53\n";
      return 2;
    }
    settings.servers.push_back(*address);
  }
  if (!dns::isName(dns::canonical(asked.name))) {
    std::cerr << "peargrade: '" << asked.name << "' is no domain name such as _orders._tcp.example.org\n";
    return 2;
  }
  settings.lookupFor = asked.within;
  const net::EventBase base = net::makeBase();
  dns::Resolver resolver(base.get(), settings, unixNow, drawn(), log);
  std::vector<Step> steps;
  resolver.onSteps([&](const dns::Question& q, const dns::Query::Taken& t) { steps.push_back({q, t}); });
  dns::Service service;
  bool done = false;
  resolver.lookup(asked.name, [&](const dns::Service& s) {
    service = s;
    done = true;
  });
  until(base.get(), 2 * asked.within, [&] { return done; });
  (asked.json ? asJson : asText)(dns::canonical(asked.name), service, steps, settings, unixNow());
  return static_cast<int>(outcomeOf(service));
}

int explain(const ExplainCommand& asked, const op::Operator& op, const discovery::Names& names,
            log::Log& log) {
  const net::EventBase base = net::makeBase();
  dispatch::Dispatcher exchange;
  const EndpointListUpdate known;
  const std::vector<std::string> endpoints;
  op::Operator once = op;
  once.roster = op.roster && !asked.discovery.empty();
  std::unique_ptr<discovery::Discovery> discovery;
  bool rosterDone = !once.roster;
  if (once.roster) {
    const auto address = net::Address::parse(asked.discovery);
    if (!address) {
      std::cerr << "peargrade: '" << asked.discovery << "' is no address of the form 127.0.0.1:8500\n";
      return 2;
    }
    discovery = std::make_unique<discovery::Discovery>(base.get(), *address, names, 0, exchange, log,
                                                       discovery::Discovery::Limits{});
  }
  Sources sources({base.get(), &once, &names, &known, &endpoints, &exchange, &log, unixNow}, drawn());
  if (discovery) {
    discovery->setListener([&](const EndpointListUpdate& news, const std::vector<std::string>& at) {
      sources.roster(news, at);
      rosterDone = true;
    });
    exchange.dispatch({PollEndpoints{}});
  }
  const bool all = until(base.get(), asked.within, [&] {
    if (listFailed(exchange.take())) rosterDone = true;
    return rosterDone && sources.askedAll();
  });
  const Micros now = unixNow();
  (asked.json ? rowsAsJson : rowsAsText)(sources.membership().explain(now), op, now);
  if (!all) std::cerr << "peargrade: not every source answered in time\n";
  return all ? 0 : 3;
}

}  // namespace peargrade::sources
