// From the `sources` block of the operator's file to its settings, with what the schema alone cannot check.
#pragma once

#include <string>
#include <vector>

#include "operator/operator.h"

namespace peargrade::op {

// Reads the blocks one by one. What does not fit goes to `complaints`, with its place in the file.
class SourcesReader {
 public:
  // `names`: zones and kinds of the configuration; null: they are not checked.
  SourcesReader(const discovery::Names* names, std::vector<Complaint>& complaints)
      : names_(names), complaints_(complaints) {}

  Operator read(const Section& sources);

 private:
  void complain(kdl::Place at, const std::string& where, const std::string& found,
                const std::string& expected);
  void checkConsistency(const Section& sources, const Operator& o);
  std::vector<Place> places(const Section& section, const std::string& where);
  void checkKnown(const Section& place, const std::string& where, const char* field, const std::string& name,
                  const std::vector<std::string>& known);
  template <class Labelled>
  void checkLabel(const Section& section, const char* where, const std::string& label,
                  const std::vector<Labelled>& before);
  Srv srv(const Section& section, const std::vector<Srv>& before);
  Zone zone(const Section& section, const std::vector<Zone>& before);
  std::string zoneName(const char* field, const Read& read);
  void services(const Section& section, Zone& zone);
  Grant grant(const Section& section);
  void checkZone(const Section& section, const Zone& zone);

  const discovery::Names* names_;
  std::vector<Complaint>& complaints_;
};

}  // namespace peargrade::op
