// Prints the settings of the operator's file.
#include <sstream>

#include "operator/operator.h"

namespace peargrade::op {

std::string tableOf(const Operator& settings) {
  std::ostringstream out;
  out << "sources    roster " << (settings.roster ? "on" : "off") << ", " << settings.srv.size() << " srv, "
      << settings.zones.size() << " zones\nreload     addresses"
      << (settings.settingsReload ? " and settings" : "") << '\n';
  for (const Srv& srv : settings.srv)
    out << "srv        " << srv.label << ": " << srv.name << ", " << srv.places.size() << " places\n";
  for (const Zone& zone : settings.zones)
    out << "zone       " << zone.label << ": " << zone.origin << ", " << zone.services.size()
        << " services, file " << (zone.file.empty() ? "none" : zone.folder + "/" + zone.file) << ", updates "
        << (zone.listen && zone.primaries.empty() ? zone.listen->text() : "off") << ", "
        << zone.primaries.size() << " primaries" << '\n';
  if (!settings.srv.empty()) {
    out << "dns       ";
    for (const net::Address& server : settings.dns.servers) out << ' ' << server.text();
    out << ", lifetimes " << settings.dns.ttlLeast / 1000 << " to " << settings.dns.ttlMost / 1000
        << " ms, stale " << settings.dns.staleFor / 1000 << " ms\nmerge      stale "
        << settings.merge.staleRetention / 1000 << " ms, steps of " << settings.merge.removalStepShare
        << " every " << settings.merge.removalStepInterval / 1000 << " ms, removals of more than "
        << settings.merge.confirmationShare << " wait " << settings.merge.confirmationTimeout / 1000
        << " ms for confirmation\n";
  }
  return out.str();
}

}  // namespace peargrade::op
