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

// Label of an SRV or zone source. Membership numbers the SRV sources first, then the zones.
std::string sourceLabel(const op::Operator& op, std::size_t sourceIndex) {
  return sourceIndex < op.srv.size() ? "srv " + op.srv[sourceIndex].label
                                     : "zone " + op.zones[sourceIndex - op.srv.size()].label;
}

// One query that the resolver sent for the lookup.
struct Step {
  dns::Question question;
  dns::Query::Taken attempt;
};

void writeString(Writer& out, const char* key, const std::string& value) {
  out.Key(key);
  out.String(value.c_str(), static_cast<rapidjson::SizeType>(value.size()));
}
void writeInteger(Writer& out, const char* key, std::int64_t value) {
  out.Key(key);
  out.Int64(value);
}

const char* kindName(const dns::Service& service) {
  return service.kind == dns::Service::Kind::Complete  ? "complete"
         : service.kind == dns::Service::Kind::Partial ? "partial"
                                                       : "failed";
}

LookupOutcome toOutcome(const dns::Service& service) {
  if (service.kind == dns::Service::Kind::Failed) return LookupOutcome::NoAnswer;
  if (service.kind == dns::Service::Kind::Partial) return LookupOutcome::Partial;
  if (service.verdict == dns::Verdict::NxDomain) return LookupOutcome::NoSuchName;
  return service.targets.empty() ? LookupOutcome::NoRecords : LookupOutcome::Found;
}

const char* outcomeName(LookupOutcome outcome) {
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

void printLookupJson(const std::string& name, const dns::Service& service, const std::vector<Step>& steps,
                     const dns::Settings& settings, Micros now) {
  rapidjson::OStreamWrapper stream(std::cout);
  Writer out(stream);
  out.StartObject();
  writeString(out, "name", name);
  writeString(out, "outcome", outcomeName(toOutcome(service)));
  writeString(out, "answer", kindName(service));
  writeString(out, "verdict", dns::nameOf(service.verdict));
  writeInteger(out, "lifetime_ms", std::max<Micros>(0, service.until - now) / 1000);
  out.Key("targets");
  out.StartArray();
  for (const dns::Target& target : service.targets) {
    out.StartObject();
    writeString(out, "target", target.name);
    writeInteger(out, "port", target.port);
    writeInteger(out, "priority", target.priority);
    writeInteger(out, "weight", target.weight);
    out.Key("addresses");
    out.StartArray();
    for (const std::string& address : target.addresses) out.String(address.c_str());
    out.EndArray();
    out.Key("all_known");
    out.Bool(target.sure);
    writeInteger(out, "lifetime_ms", std::max<Micros>(0, target.until - now) / 1000);
    out.EndObject();
  }
  out.EndArray();
  out.Key("steps");
  out.StartArray();
  for (const Step& step : steps) {
    out.StartObject();
    writeString(out, "question", step.question.text());
    writeString(out, "server", settings.servers[step.attempt.server].text());
    writeString(out, "over", step.attempt.tcp ? "tcp" : "udp");
    writeInteger(out, "took_us", step.attempt.took);
    writeString(out, "what", step.attempt.what);
    out.EndObject();
  }
  out.EndArray();
  out.EndObject();
  std::cout << '\n';
}

void printLookupText(const std::string& name, const dns::Service& service, const std::vector<Step>& steps,
                     const dns::Settings& settings, Micros now) {
  std::cout << name << ": " << outcomeName(toOutcome(service)) << ", " << kindName(service) << " ("
            << dns::nameOf(service.verdict) << "), lifetime "
            << std::max<Micros>(0, service.until - now) / 1000 << " ms\n";
  for (const dns::Target& target : service.targets) {
    std::cout << "  priority " << target.priority << " weight " << target.weight << " " << target.name << ":"
              << target.port;
    for (const std::string& address : target.addresses) std::cout << " " << address;
    std::cout << (target.sure ? "" : " (some addresses unknown)") << ", lifetime "
              << std::max<Micros>(0, target.until - now) / 1000 << " ms\n";
  }
  std::cout << "steps\n";
  for (const Step& step : steps)
    std::cout << "  " << step.question.text() << " " << (step.attempt.tcp ? "tcp " : "udp ")
              << settings.servers[step.attempt.server].text() << " " << step.attempt.took
              << " us: " << step.attempt.what << '\n';
}

dns::Resolver::Random randomSource() {
  const auto device = std::make_shared<std::random_device>();
  return [device] { return static_cast<std::uint32_t>((*device)()); };
}

// Runs the event loop until `condition` holds or `timeout` has passed. Returns whether `condition` holds.
bool runUntil(event_base* base, Micros timeout, const std::function<bool()>& condition) {
  bool expired = false;
  net::Timer limit(base, [&expired] { expired = true; });
  limit.schedule(timeout);
  while (!condition() && !expired) event_base_loop(base, EVLOOP_ONCE);
  return condition();
}

using Explanations = std::vector<membership::Explanation>;

void printExplanationsJson(const Explanations& explanations, const op::Operator& op, Micros now) {
  rapidjson::OStreamWrapper stream(std::cout);
  Writer out(stream);
  out.StartArray();
  for (const auto& explanation : explanations) {
    out.StartObject();
    writeString(out, "server", explanation.server);
    writeString(out, "endpoint", explanation.address);
    out.Key("listed");
    out.Bool(explanation.listed);
    writeString(out, "state",
                !explanation.listed                            ? "none"
                : explanation.state == EndpointState::Ready    ? "ready"
                : explanation.state == EndpointState::Draining ? "draining"
                                                               : "gone");
    writeString(out, "rule", membership::codeOf(explanation.rule));
    writeInteger(out, "until_ms", explanation.until > now ? (explanation.until - now) / 1000 : 0);
    writeString(out, "roster", explanation.roster);
    out.Key("records");
    out.StartObject();
    for (std::size_t k = 0; k < explanation.records.size(); ++k)
      writeString(out, sourceLabel(op, k).c_str(), explanation.records[k]);
    out.EndObject();
    out.EndObject();
  }
  out.EndArray();
  std::cout << '\n';
}

void printExplanationsText(const Explanations& explanations, const op::Operator& op, Micros now) {
  for (const auto& explanation : explanations) {
    std::cout << explanation.server
              << (explanation.listed ? explanation.state == EndpointState::Ready ? " ready" : " draining"
                                     : " not listed")
              << ", rule " << membership::codeOf(explanation.rule);
    if (explanation.until > now) std::cout << " for " << (explanation.until - now) / 1000 << " ms";
    std::cout << "\n  roster: " << (explanation.roster.empty() ? "nothing" : explanation.roster) << '\n';
    for (std::size_t k = 0; k < explanation.records.size(); ++k)
      std::cout << "  " << sourceLabel(op, k) << ": " << explanation.records[k] << '\n';
  }
}

// Whether discovery reported that it cannot provide a list.
bool listFailed(const std::vector<Event>& events) {
  return std::any_of(events.begin(), events.end(), [](const Event& e) {
    const auto* update = std::get_if<EndpointListUpdate>(&e);
    return update != nullptr && update->kind == EndpointListKind::Failed;
  });
}

}  // namespace

int lookup(const LookupCommand& command, log::Log& log) {
  dns::Settings settings;
  for (const std::string& server : command.servers) {
    const auto address = net::Address::parse(server);
    if (!address) {
      std::cerr << "peargrade: --server: expected an address such as 127.0.0.1:53, found '" << server
                << "'\n";
      return 2;
    }
    settings.servers.push_back(*address);
  }
  if (!dns::isName(dns::canonical(command.name))) {
    std::cerr << "peargrade: name: expected a domain name such as _orders._tcp.example.org, found '"
              << command.name << "'\n";
    return 2;
  }
  settings.lookupFor = command.timeout;
  const net::EventBase base = net::makeBase();
  dns::Resolver resolver(base.get(), settings, unixNow, randomSource(), log);
  std::vector<Step> steps;
  resolver.onSteps([&](const dns::Question& question, const dns::Query::Taken& attempt) {
    steps.push_back({question, attempt});
  });
  dns::Service service;
  bool done = false;
  resolver.lookup(command.name, [&](const dns::Service& result) {
    service = result;
    done = true;
  });
  runUntil(base.get(), 2 * command.timeout, [&] { return done; });
  (command.json ? printLookupJson : printLookupText)(dns::canonical(command.name), service, steps, settings,
                                                     unixNow());
  return static_cast<int>(toOutcome(service));
}

int explain(const ExplainCommand& command, const op::Operator& op, const discovery::Names& names,
            log::Log& log) {
  const net::EventBase base = net::makeBase();
  dispatch::Dispatcher dispatcher;
  const EndpointListUpdate cachedList;
  const std::vector<std::string> cachedAddresses;
  // The roster is read only if the address of discovery is given.
  op::Operator effectiveOp = op;
  effectiveOp.roster = op.roster && !command.discovery.empty();
  std::unique_ptr<discovery::Discovery> discovery;
  bool rosterAnswered = !effectiveOp.roster;
  if (effectiveOp.roster) {
    const auto address = net::Address::parse(command.discovery);
    if (!address) {
      std::cerr << "peargrade: discovery: expected an address such as 127.0.0.1:8500, found '"
                << command.discovery << "'\n";
      return 2;
    }
    discovery = std::make_unique<discovery::Discovery>(base.get(), *address, names, 0, dispatcher, log,
                                                       discovery::Discovery::Limits{});
  }
  Sources sources(
      {base.get(), &effectiveOp, &names, &cachedList, &cachedAddresses, &dispatcher, &log, unixNow},
      randomSource());
  if (discovery) {
    discovery->setListener([&](const EndpointListUpdate& update, const std::vector<std::string>& addresses) {
      sources.roster(update, addresses);
      rosterAnswered = true;
    });
    dispatcher.dispatch({PollEndpoints{}});
  }
  const bool allAnswered = runUntil(base.get(), command.timeout, [&] {
    if (listFailed(dispatcher.take())) rosterAnswered = true;
    return rosterAnswered && sources.allSourcesQueried();
  });
  const Micros now = unixNow();
  (command.json ? printExplanationsJson : printExplanationsText)(sources.membership().explain(now), op, now);
  if (!allAnswered) std::cerr << "peargrade: at least one source did not answer before the timeout\n";
  return allAnswered ? 0 : 3;
}

}  // namespace peargrade::sources
