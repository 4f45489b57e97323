// Measures zones served by the supervisor: dynamic updates per second with sync, recovery time by zone size,
// and the time from an accepted update to the routes at the relay. Prints tables for docs/results.md.
#include <sys/stat.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <random>

#include "fakes/collector.h"
#include "fakes/relay.h"
#include "files/store.h"
#include "sources/sources.h"
#include "support/loop.h"
#include "support/program.h"
#include "zone_server/update_script.h"

namespace peargrade {
namespace {

constexpr Micros kSecond = 1000000;
const char* const kSecret = "MDEyMzQ1Njc4OWFiY2RlZg==";

// A private folder, removed by the destructor.
struct Folder {
  std::string path;
  explicit Folder(const std::string& name)
      : path(std::filesystem::current_path().string() + "/bench_" + name) {
    std::filesystem::remove_all(path);
    std::filesystem::create_directory(path);
    chmod(path.c_str(), 0700);
  }
  ~Folder() { std::filesystem::remove_all(path); }
};

dns_zone::Key makeKey() {
  dns_zone::Key key;
  key.name = "ops";
  key.secret = std::make_shared<dns_zone::Secret>("0123456789abcdef");
  return key;
}

std::string signedRequest(const std::string& script, std::uint16_t id, std::int64_t now) {
  std::vector<std::string> errors;
  dns_zone::Message message = zone_server::readUpdateScript(script, "s", "example.org", errors);
  message.id = id;
  std::string mac;
  return dns_zone::sign(dns_zone::encodeMessage(message), makeKey(), now, mac);
}

std::string addScript(int k) {
  const std::string host = "bello-" + std::to_string(k);
  return "add " + host + " 60 A 10.1." + std::to_string(k / 250 % 250) + "." + std::to_string(k % 250) +
         "\nadd _o._tcp 60 SRV 0 10 3000 " + host + "\n";
}

op::Operator makeOperator(const std::string& root, const net::Address& at) {
  std::ofstream(root + "/keys") << "key \"ops\" secret=\"" << kSecret << "\"\n";
  chmod((root + "/keys").c_str(), 0600);
  op::Operator op;
  op.roster = false;
  op::Place place;
  place.zone = "a";
  op::Zone zone;
  zone.label = "orders";
  zone.origin = "example.org";
  zone.services = {"_o._tcp.example.org"};
  zone.places = {place};
  zone.state = root;
  zone.keys = root + "/keys";
  zone.listen = at;
  zone.grants = {{"ops", "*.example.org", {}}};
  op.zones = {zone};
  return op;
}

// Sends the next update when one has been answered, with a fixed number of updates in flight.
void updates() {
  std::cout << "| under way | updates a second | updates a batch (one sync each) | median answer us |\n"
               "| --- | --- | --- | --- |\n";
  for (const std::size_t inFlight : {1u, 8u, 64u, 256u}) {
    const Folder folder("updates");
    Loop loop;
    ReadLog log;
    const discovery::Names names = testNames();
    dispatch::Dispatcher exchange;
    const op::Operator op = makeOperator(folder.path, {"127.0.0.1", 0});
    const EndpointListUpdate known;
    const std::vector<std::string> endpoints;
    std::mt19937 random(1);
    const Micros base = 1764600000 * kSecond;
    sources::Sources sources({loop.base.get(), &op, &names, &known, &endpoints, &exchange, log.log.get(),
                              [base] { return base + net::steadyNow(); }},
                             [&random] { return static_cast<std::uint32_t>(random()); });
    const auto& zone = sources.zones().front();
    loop.until([&] { return zone.address().has_value(); });
    std::size_t sent = 0;
    std::size_t answered = 0;
    std::size_t accepted = 0;
    std::map<std::uint16_t, Micros> sentAt;
    std::vector<Micros> times;
    net::Datagram::Handlers handlers;
    std::unique_ptr<net::Datagram> udp;
    const auto send = [&] {
      ++sent;
      const auto id = static_cast<std::uint16_t>(sent);
      // The updates renew a few names, as deployments do, so the zone stays small.
      const std::string script = "add bello-" + std::to_string(sent % 100) + " " +
                                 std::to_string(60 + sent / 100 % 1000) + " A 10.1.0." +
                                 std::to_string(sent % 100) + "\n";
      sentAt[id] = net::steadyNow();
      udp->send(signedRequest(script, id, (base + net::steadyNow()) / kSecond));
    };
    handlers.data = [&](const std::string& bytes) {
      const auto m = dns_zone::decodeMessage(bytes);
      if (!m) return;
      ++answered;
      accepted += m->rcode == dns_zone::Rcode::NoError;
      times.push_back(net::steadyNow() - sentAt[m->id]);
      send();
    };
    udp = std::make_unique<net::Datagram>(
        loop.base.get(), *zone.address(), [&random] { return static_cast<std::uint32_t>(random()); },
        std::move(handlers));
    const Micros from = net::steadyNow();
    for (std::size_t k = 0; k < inFlight; ++k) send();
    loop.until([&] { return net::steadyNow() > from + 5 * kSecond; });
    const double seconds = static_cast<double>(net::steadyNow() - from) / 1e6;
    std::sort(times.begin(), times.end());
    std::cout << "| " << inFlight << " | " << static_cast<long>(static_cast<double>(accepted) / seconds)
              << " | "
              << static_cast<double>(zone.counts().accepted) /
                     static_cast<double>(std::max<std::uint64_t>(1, zone.counts().batches))
              << " | " << (times.empty() ? 0 : times[times.size() / 2]) << " |\n"
              << std::flush;
  }
}

long residentKb() {
  std::ifstream in("/proc/self/status");
  for (std::string line; std::getline(in, line);) {
    if (line.compare(0, 6, "VmRSS:") == 0) return std::atol(line.c_str() + 6);
  }
  return 0;
}

// Writes a snapshot and 1,000 journal entries, then reads them as a start does, up to the update processor
// with its durable and its pending zone.
void recovery(int records) {
  const Folder folder("recovery");
  files::Outcome outcome;
  {
    const auto files = files::openFolder(folder.path, true, outcome);
    files::Store store(*files, "orders", dns_zone::kSnapshotVersion);
    store.open();
    dns_zone::Zone z("example.org");
    dns_zone::Record soa{"example.org", dns_zone::Type::SOA, 60, ""};
    const char* const words[] = {"ns.example.org", "h.example.org", "1", "3600", "600", "86400", "30"};
    for (std::size_t k = 0; k < 7; ++k) soa.data += *dns_zone::encodeField(dns_zone::Type::SOA, k, words[k]);
    z.add(soa);
    for (int k = 0; k < records / 2; ++k) {
      const std::string host = "bello-" + std::to_string(k) + ".example.org";
      z.add(
          {host, dns_zone::Type::A, 60,
           *dns_zone::encodeField(dns_zone::Type::A, 0,
                                  "10.1." + std::to_string(k / 250 % 250) + "." + std::to_string(k % 250))});
      z.add({"_o._tcp.example.org", dns_zone::Type::SRV, 60,
             std::string("\0\0\0\12\13\270", 6) + dns_zone::wireName(host)});
    }
    store.compact(dns_zone::encodeSnapshot(z, {}));
    std::vector<std::string> steps;
    for (int k = 0; k < 1000; ++k) {
      dns_zone::JournalEntry step;
      step.change.added = {
          {"new-" + std::to_string(k) + ".example.org", dns_zone::Type::A, 60, std::string("\1\2\3\4", 4)}};
      step.request = {"ops", std::string(32, 'm'), static_cast<std::uint16_t>(k), dns_zone::Rcode::NoError, 0,
                      0};
      steps.push_back(dns_zone::encodeJournalEntry(step));
    }
    store.append(steps);
  }
  const long before = residentKb();
  const Micros from = net::steadyNow();
  const auto files = files::openFolder(folder.path, true, outcome);
  files::Store store(*files, "orders", dns_zone::kSnapshotVersion);
  auto contents = store.open();
  auto image = dns_zone::decodeSnapshot(contents.snapshot);
  for (const std::string& change : contents.changes)
    dns_zone::redo(image->zone, dns_zone::decodeJournalEntry(change)->change);
  const std::size_t bytes = contents.snapshot.size();
  contents = {};
  const dns_zone::UpdateProcessor processor(std::move(image->zone), {}, {});
  const Micros elapsed = net::steadyNow() - from;
  std::cout << "| " << processor.durable().records() << " | " << bytes / 1024 << " | "
            << static_cast<double>(elapsed) / 1000 << " | " << (residentKb() - before) / 1024 << " |\n"
            << std::flush;
}

// Runs the complete program: an update drains a server. Measures when the last slice of the server has
// another primary at the relay.
void following() {
  constexpr int kTrials = 10;
  std::vector<Micros> toAnswer;
  std::vector<Micros> toRoutes;
  for (int trial = 0; trial < kTrials; ++trial) {
    const Folder folder("following");
    Loop loop;
    fakes::Relay relay(loop.base.get());
    const net::Address listen{ownHost(), 3000};
    const net::Address updates{ownHost(), 5300};
    const auto id = [](int k) { return "10.1.0." + std::to_string(k) + ":3000"; };
    relay.proxies[0] = {"east", 5, true};
    for (int slice = 0; slice < 8; ++slice) relay.slices[slice] = {{id(slice % 6), "1"}};
    std::ifstream in(PEARGRADE_EXAMPLE_CONFIG);
    std::string text{std::istreambuf_iterator<char>(in), {}};
    text = replaced(text, "127.0.0.1:3000", listen.text());
    text = replaced(text, "127.0.0.1:6400", relay.address().text());
    const Written config("_zbench.json", text);
    const Written keys("_zbench.keys", std::string("key \"ops\" secret=\"") + kSecret + "\"\n");
    chmod(keys.path.c_str(), 0600);
    const Written op(
        "_zbench.kdl",
        "version 1\nsources {\n roster false\n zone \"orders\" {\n origin \"example.org\"\n service "
        "\"_o._tcp.example.org\"\n place zone=\"east\"\n state \"" +
            folder.path + "\"\n listen \"" + updates.text() + "\"\n keys \"" + keys.path +
            "\"\n grant key=\"ops\" name=\"*.example.org\"\n }\n"
            " merge {\n first-answer-warm true\n }\n}\n");
    Program program({PEARGRADE_PROGRAM, "serve", "-c", config.path, "--operator", op.path});
    loop.until([&] { return program.output().find("takes updates at") != std::string::npos; });
    int answers = 0;
    net::Datagram::Handlers handlers;
    handlers.data = [&](const std::string&) { ++answers; };
    std::uint32_t port = static_cast<std::uint32_t>(trial) * 911 + 5000;
    net::Datagram udp(
        loop.base.get(), updates, [&port] { return port += 17; }, std::move(handlers));
    const auto now = [] { return static_cast<std::int64_t>(time(nullptr)); };
    std::string all;
    for (int k = 0; k < 6; ++k) all += addScript(k);
    udp.send(signedRequest(all, 1, now()));
    loop.until([&] { return answers == 1; });
    loop.until([&] { return false; }, 2 * kSecond);
    const Micros from = net::steadyNow();
    udp.send(signedRequest("add bello-1 60 TXT state=draining\n", 2, now()));
    loop.until([&] { return answers == 2; });
    toAnswer.push_back(net::steadyNow() - from);
    const bool moved = loop.until(
        [&] {
          for (const auto& [slice, lines] : relay.slices) {
            // Another server carries the slice, in addition to the drained one or in place of it.
            bool other = lines.count(id(1)) == 0;
            for (const auto& [server, weight] : lines)
              other = other || (server != id(1) && std::atof(weight.c_str()) >= 1);
            if (!other) return false;
          }
          return true;
        },
        10 * kSecond);
    if (moved) toRoutes.push_back(net::steadyNow() - from);
  }
  for (auto* all : {&toAnswer, &toRoutes}) std::sort(all->begin(), all->end());
  std::cout << "| what | median ms | longest ms | of |\n| --- | --- | --- | --- |\n";
  const auto row = [&](const char* what, const std::vector<Micros>& all) {
    if (all.empty()) return;
    std::cout << "| " << what << " | " << static_cast<double>(all[all.size() / 2]) / 1000 << " | "
              << static_cast<double>(all.back()) / 1000 << " | " << all.size() << " |\n";
  };
  row("update sent to its answer", toAnswer);
  row("update sent to every slice with another home", toRoutes);
}

}  // namespace
}  // namespace peargrade

int main(int argc, char** argv) {
  CLI::App app("Measures zones with fake peers");
  app.require_subcommand(1);
  int records = 10000;
  app.add_subcommand("updates", "updates per second, with sync")->callback(peargrade::updates);
  CLI::App* recovery = app.add_subcommand("recovery", "time and memory by zone size");
  recovery->add_option("--records", records)->capture_default_str();
  recovery->callback([&] { peargrade::recovery(records); });
  app.add_subcommand("following", "time from an update to the routes at the relay")
      ->callback(peargrade::following);
  CLI11_PARSE(app, argc, argv);
  return 0;
}
