// Hosts many DecisionEngines by instance number and answers one batch at a time. Nothing is shared between
// them.
#pragma once

#include <iosfwd>
#include <map>

#include "peargrade/decision_engine.h"
#include "wire/codec.h"

namespace peargrade::simulator {

class Host {
 public:
  // Throws ParseError when an event names an instance that does not run.
  wire::Reply answer(const wire::Batch& batch);

 private:
  struct Instance {
    DecisionEngine engine;
    int slices;
  };
  std::map<int, Instance> instances_;
};

// Reads batches until the end of input; returns the exit code. Replies go to `out`, complaints to `err`.
int serve(std::istream& in, std::ostream& out, std::ostream& err);

}  // namespace peargrade::simulator
