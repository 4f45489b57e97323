// The operator's file for people, as it was understood.
#include <sstream>

#include "operator/operator.h"

namespace peargrade::op {

std::string tableOf(const Operator& o) {
  std::ostringstream out;
  out << "sources    roster " << (o.roster ? "on" : "off") << ", " << o.srv.size() << " srv, "
      << o.zones.size() << " zones\nreload     addresses" << (o.settingsReload ? " and settings" : "")
      << '\n';
  for (const Srv& s : o.srv)
    out << "srv        " << s.label << ": " << s.name << ", " << s.places.size() << " places\n";
  for (const Zone& z : o.zones)
    out << "zone       " << z.label << ": " << z.origin << ", " << z.services.size() << " services, file "
        << (z.file.empty() ? "none" : z.folder + "/" + z.file) << ", updates "
        << (z.listen && z.primaries.empty() ? z.listen->text() : "off") << ", " << z.primaries.size()
        << " primaries" << '\n';
  if (!o.srv.empty()) {
    out << "dns       ";
    for (const net::Address& a : o.dns.servers) out << ' ' << a.text();
    out << ", lifetimes " << o.dns.ttlLeast / 1000 << " to " << o.dns.ttlMost / 1000 << " ms, stale "
        << o.dns.staleFor / 1000 << " ms\nmerge      stale " << o.merge.staleRetention / 1000
        << " ms, steps of " << o.merge.removalStepShare << " every " << o.merge.removalStepInterval / 1000
        << " ms, more than " << o.merge.confirmationShare << " at once waits "
        << o.merge.confirmationTimeout / 1000 << " ms\n";
  }
  return out.str();
}

}  // namespace peargrade::op
