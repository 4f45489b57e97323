#include "scale/fleet_layout.h"

#include <cstdio>
#include <sstream>

namespace peargrade::scale {

// Ten characters long, as in the protocol's documentation: the service, then the number.
std::string serverName(const Scenario& scenario, int number) {
  char name[32];
  std::snprintf(name, sizeof name, "s-%03x%05x", number % scenario.sizes.services, number);
  return name;
}

std::string zoneName(int number) { return "zone" + std::to_string(number); }
int zoneOf(const Scenario& scenario, int number) { return number % scenario.sizes.zones; }
int serviceOf(const Scenario& scenario, int supervisor) { return supervisor % scenario.sizes.services; }
int serverOf(const Scenario& scenario, int service, int index) {
  return (service + index * scenario.sizes.services) % scenario.sizes.servers;
}
int initialServerOf(const Scenario& scenario, int supervisor, int index) {
  return serverOf(scenario, serviceOf(scenario, supervisor),
                  supervisor / scenario.sizes.services * scenario.sizes.slices + index);
}
int firstSlice(const Scenario& scenario, int supervisor) { return supervisor * scenario.sizes.slices; }
int totalSlices(const Scenario& scenario) { return scenario.sizes.supervisors * scenario.sizes.slices; }

std::string configText(const Scenario& scenario, int supervisor, const net::Address& listen,
                       const net::Address& discovery, const net::Address& relay) {
  std::ostringstream json;
  json << R"({"name":"n)" << supervisor << R"(","listen":")" << listen.text() << R"(","discovery":")"
       << discovery.text() << R"(","relay":{"address":")" << relay.text() << R"("},"seed":")" << std::hex
       << scenario.seed * 1000003 + static_cast<std::uint64_t>(supervisor) << std::dec
       << R"(","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},)"
       << R"("known":{"rev":0,"all":true,"targets":[]},"settings":{"family":"control","groupSize":)"
       << scenario.sizes.supervisors << R"(,"ordinal":)" << supervisor << R"(,"zones":[)";
  for (int zone = 0; zone < scenario.sizes.zones; ++zone)
    json << (zone == 0 ? "\"" : ",\"") << zoneName(zone) << '"';
  json << R"(],"kinds":["m1"],"registryMode":"on_request","weights":"rough","classes":[)"
       << R"({"name":"lookup","aimUs":800000,"hardLimitUs":2500000,"effect":"repeatable","worth":1.0},)"
       << R"({"name":"order","aimUs":1200000,"hardLimitUs":3000000,"effect":"once","worth":5.0}],)"
       << R"("limits":{"probes":false,"peerMessages":false},"extra":{"shards":)" << totalSlices(scenario)
       << R"(,"proxyCount":)" << scenario.sizes.proxies
       << R"(,"throttleBy":"fraction","egressPerS":30000.0,"pendingMax":)" << kMaxQueuedLines
       << R"(,"perMessage":8.0,"updateCap":)" << kMaxMessages << R"(,"updateWindowUs":)" << kMessageWindow
       << R"(,"pushDelayUs":)" << kProxyApplyDelay << R"(,"pushDelayMaxUs":)" << 2 * kProxyApplyDelay
       << R"(,"reportEveryUs":1000000,"blackholeUs":)" << kMaxUnroutable
       << R"(,"usualHow":0,"tryAims":0.8,"mutating":[false,true]},"rules":{"askWithinUs":)"
       << kListRequestDeadline << R"(,"drainGraceUs":)" << kDrainGrace
       << R"(,"startCapacity":0.2,"warmAfterUs":10000000,"overloadFactor":3.0,"fallUs":1500000}}})";
  return json.str();
}

}  // namespace peargrade::scale
