/// The decision engines that the simulator has started, by instance number.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "peargrade/decision_engine.h"
#include "wire/codec.h"

namespace peargrade::simulator {

/// Starts, runs and destroys one DecisionEngine for each instance number. Instances share no state.
class EngineInstances {
 public:
  /// Applies the inputs of the batch in order. The reply omits instances without actions. Throws ParseError
  /// for an event of an instance that is not running, or of a slice that the instance's settings do not
  /// contain.
  wire::Reply process(const wire::Batch& batch);

 private:
  struct Instance {
    DecisionEngine engine;
    int slices = 0;  // number of slices in its settings
  };

  std::vector<Action> processGroup(Micros now, const wire::InputGroup& group, const std::string& where);
  void start(int supervisor, const wire::NewInstance& start);
  void handle(int supervisor, Micros now, std::vector<Event>& events, std::vector<Action>& actions);

  std::map<int, Instance> instances_;
};

}  // namespace peargrade::simulator
