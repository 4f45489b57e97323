#include "scale/relaypart.h"

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <sstream>

#include "scale/world.h"

namespace peargrade::scale {
namespace {

constexpr Micros kAnsweredFor = 1000000;  // that a supervisor is there before the rules count
constexpr Micros kTick = 50000;           // answers to marks and the rules are looked at so often

double threadSeconds() {
  timespec t{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) / 1e9;
}

std::vector<std::string> parts(const std::string& text, char at) {
  std::vector<std::string> words;
  std::istringstream in(text);
  for (std::string word; std::getline(in, word, at);) words.push_back(word);
  return words;
}

}  // namespace

// ---- Proxies ----

void Proxies::apply(const std::string& orders) {
  const double from = threadSeconds();
  ++messages;
  messageBytes += orders.size();
  for (const std::string& order : parts(orders, ';')) one(order);
  cpuSeconds += threadSeconds() - from;
}

void Proxies::one(const std::string& order) {
  const std::vector<std::string> w = parts(order, ',');
  if (w[0] == "put" && w.size() == 4) {
    if (std::atof(w[3].c_str()) > 0)
      lines_[std::atoi(w[1].c_str())][w[2]] = w[3];
    else
      lines_[std::atoi(w[1].c_str())].erase(w[2]);
  } else if (w[0] == "wipe" && w.size() == 2) {
    lines_[std::atoi(w[1].c_str())].clear();
  } else if (w[0] == "eject" && w.size() == 2) {
    shut_.insert(w[1]);
  } else if (w[0] == "uneject" && w.size() == 2) {
    shut_.erase(w[1]);
  } else if (w[0] == "gate" && w.size() == 5) {
    levels_[{w[1], w[2]}] = w[3] + "," + w[4];
  }
}

void Proxies::hold(int slice, const std::string& server, const std::string& weight) {
  lines_[slice][server] = weight;
}

std::size_t Proxies::entries() const {
  std::size_t count = levels_.size() + shut_.size();
  for (const auto& [slice, lines] : lines_) count += lines.size();
  return count;
}

std::size_t Proxies::bytes() const {
  std::size_t sum = 0;
  for (const auto& [slice, lines] : lines_) {
    for (const auto& [server, weight] : lines) sum += sizeof slice + server.size() + weight.size();
  }
  for (const auto& [of, level] : levels_) sum += of.first.size() + of.second.size() + level.size();
  for (const std::string& server : shut_) sum += server.size();
  return sum;
}

// ---- Relay ----

RelayPart::RelayPart(event_base* base, const Scenario& scenario)
    : scenario_(scenario), tick_(base, [this] {
        onDue();
        look();
        tick_.schedule(kTick);
      }) {
  const Sizes& sizes = scenario.sizes;
  for (int number = 0; number < sizes.supervisors; ++number) {
    Store store;
    store.relay = std::make_unique<fakes::Relay>(base);
    store.relay->keep = false;
    for (int p = 0; p < sizes.proxies; ++p)
      store.relay->proxies[p] = {zoneName(zoneOf(scenario, p)),
                                 scenario.requests / sizes.proxies / sizes.supervisors, true};
    for (int k = 0; k < sizes.slices; ++k) {
      const int slice = firstSlice(scenario, number) + k;
      const std::string home = serverName(scenario, homeOf(scenario, number, k));
      store.relay->slices[slice] = {{home, "1"}};
      proxies_.hold(slice, home, "1");
    }
    stores_.push_back(std::move(store));
    const auto at = static_cast<std::size_t>(number);
    stores_.back().relay->onCall = [this, at](const std::string& orders) { onCall(at, orders); };
  }
  tick_.schedule(kTick);
}

void RelayPart::onCall(std::size_t number, const std::string& orders) {
  Store& store = stores_[number];
  const Micros now = net::steadyNow();
  proxies_.apply(orders);
  store.calls.push_back(now);
  while (store.calls.front() < now - kMessagesSpan) store.calls.pop_front();
  callsMost_ = std::max(callsMost_, static_cast<double>(store.calls.size()));
  int mark = -1;
  double lines = 0;
  for (const std::string& order : parts(orders, ';')) {
    if (order.compare(0, 6, "fence,") == 0) mark = std::atoi(order.c_str() + 6);
    if (order.compare(0, 6, "eject,") == 0) store.shut.insert(order.substr(6));
    if (order.compare(0, 8, "uneject,") == 0) store.shut.erase(order.substr(8));
    ++lines;
  }
  lines *= scenario_.sizes.proxies;
  store.waiting += lines;
  waitingMost_ = std::max(waitingMost_, store.waiting);
  due_.push_back({now + kApplyAfter, number, mark, lines});
}

void RelayPart::onDue() {
  const Micros now = net::steadyNow();
  for (; !due_.empty() && due_.front().at <= now; due_.pop_front()) {
    const Due& due = due_.front();
    Store& store = stores_[due.store];
    store.waiting -= due.lines;
    if (due.mark < 0) continue;
    for (int p = 0; p < scenario_.sizes.proxies; ++p)
      store.relay->done(p, due.mark, static_cast<double>(kApplyAfter) / 1000);
  }
}

// A slice is bare while none of its lines leads to a server that takes work; a line to one that drains may
// stand for the grace. By the protocol's page both count no earlier than 1 s after the supervisor first
// answered.
void RelayPart::look() {
  const Micros now = net::steadyNow();
  for (Store& store : stores_) {
    if (store.relay->open() == 0) {
      store.rulesFrom = 0;
      store.bareSince.clear();
    } else if (store.rulesFrom == 0) {
      store.rulesFrom = now + kAnsweredFor;
    }
    if (!leaving_.empty() && store.rulesFrom != 0 && now >= store.rulesFrom) lookAt(store, now);
  }
}

void RelayPart::lookAt(Store& store, Micros now) {
  for (const auto& [slice, lines] : store.relay->slices) {
    bool usable = false;
    for (const auto& [server, weight] : lines) {
      const auto leaving = leaving_.find(server);
      usable = usable || leaving == leaving_.end();
      if (leaving != leaving_.end() && store.shut.count(server) == 0)
        staleMost_ = std::max(staleMost_, now - std::max(leaving->second, store.rulesFrom));
    }
    if (usable) {
      store.bareSince.erase(slice);
      continue;
    }
    const Micros since = store.bareSince.emplace(slice, now).first->second;
    bareMost_ = std::max(bareMost_, now - since);
  }
}

Figures RelayPart::sample() {
  Figures f;
  const Spent spent = spentHere();
  f["cpu_s"] = {spent.cpuSeconds};
  f["resident_bytes"] = {static_cast<double>(spent.residentBytes)};
  f["state_bytes"] = {static_cast<double>(heapBytes())};
  double entries = 0, unsent = 0;
  for (const Store& store : stores_) {
    const fakes::Relay& relay = *store.relay;
    entries += static_cast<double>(relay.proxies.size());
    for (const auto& [slice, lines] : relay.slices) entries += 1 + static_cast<double>(lines.size());
    unsent = std::max(unsent, static_cast<double>(relay.unsentMost));
    for (const auto& [way, traffic] :
         {std::pair<const char*, const fakes::Traffic*>{"in", &relay.in}, {"out", &relay.out}}) {
      for (const auto& [kind, count] : traffic->kinds) {
        for (const auto& [what, amount] :
             {std::pair<const char*, std::uint64_t>{".bytes", count.bytes}, {".messages", count.messages}}) {
          std::vector<double>& sum = f[std::string(way) + "." + kind + what];
          sum.resize(1);
          sum[0] += static_cast<double>(amount);
        }
      }
    }
  }
  f["state_entries"] = {entries};
  f["unsent_most"] = {unsent};
  f["proxy.cpu_s"] = {proxies_.cpuSeconds};
  f["proxy.messages"] = {static_cast<double>(proxies_.messages)};
  f["proxy.message_bytes"] = {static_cast<double>(proxies_.messageBytes)};
  f["proxy.entries"] = {static_cast<double>(proxies_.entries())};
  f["proxy.bytes"] = {static_cast<double>(proxies_.bytes())};
  f["bare_most_s"] = {static_cast<double>(bareMost_) / 1e6};
  f["calls_most"] = {callsMost_};
  f["lines_waiting_most"] = {waitingMost_};
  f["stale_most_s"] = {static_cast<double>(staleMost_) / 1e6};
  return f;
}

Figures RelayPart::on(const Words& words) {
  const std::string& verb = words.at(0);
  if (verb == "addresses") {
    Figures f;
    for (const Store& store : stores_) f["port"].push_back(store.relay->address().port);
    return f;
  }
  if (verb == "watches") {
    double standing = 0;
    for (const Store& store : stores_) standing += store.relay->open() > 0;
    return {{"standing", {standing}}};
  }
  if (verb == "sample") return sample();
  if (verb == "server") {
    const std::string server = serverName(scenario_, std::stoi(words.at(1)));
    if (words.at(2) == "0")
      leaving_.emplace(server, net::steadyNow());
    else
      leaving_.erase(server);
    return {};
  }
  throw Failed("the relay is not asked '" + verb + "'");
}

}  // namespace peargrade::scale
