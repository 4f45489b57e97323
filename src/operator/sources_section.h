/// Converts the `sources` block of the operator's file to its settings, and makes the checks that involve
/// several fields, which a schema cannot express.
#pragma once

#include <string>
#include <vector>

#include "operator/operator.h"

namespace peargrade::op {

/// Reads the blocks one by one and appends each error, with its position in the file, to a list.
class SourcesReader {
 public:
  /// `names`: zones and kinds of the configuration; null: they are not checked. Both arguments must outlive
  /// this.
  SourcesReader(const discovery::Names* names, std::vector<Complaint>& errors)
      : names_(names), errors_(errors) {}

  /// `sources`: the block after validation against the schema.
  Operator read(const Section& sources);

 private:
  void addError(kdl::Place at, const std::string& where, const std::string& found,
                const std::string& expected);
  void checkConsistency(const Section& sources, const Operator& settings);
  std::vector<Place> readPlaces(const Section& section, const std::string& where);
  void checkKnown(const Section& place, const std::string& where, const char* field, const std::string& name,
                  const std::vector<std::string>& known);
  template <class Labelled>
  void checkLabel(const Section& section, const char* where, const std::string& label,
                  const std::vector<Labelled>& before);
  Srv readSrv(const Section& section, const std::vector<Srv>& before);
  Zone readZone(const Section& section, const std::vector<Zone>& before);
  std::string readZoneName(const char* field, const FieldValue& value);
  void readServices(const Section& section, Zone& zone);
  Grant readGrant(const Section& section);
  void checkZone(const Section& section, const Zone& zone);

  const discovery::Names* names_;
  std::vector<Complaint>& errors_;
};

}  // namespace peargrade::op
