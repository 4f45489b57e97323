// What the operator's file says of how several sources become one list. Times in microseconds.
#pragma once

#include <cstddef>

#include "peargrade/decision_engine.h"

namespace peargrade::membership {

// The `merge` block of the operator's file; shares from 0 to 1.
struct Settings {
  Micros staleFor = 60000000;       // what one source without authority alone knew goes so long after its end
  double stepShare = 0.1;           // and then at most this share of the pool at a time (at least one)
  Micros stepEvery = 5000000;       // one step in so long
  double confirmShare = 0.3;        // a complete answer that takes more waits for a second one
  Micros confirmWithin = 30000000;  // or this long, and then goes in steps
  double tierLeast = 0.5;           // a lower tier joins when this share of the upper is not there
  double tierBack = 0.7;            // and leaves when this share is back
  double weightMargin = 0.1;        // a weight that changes by no more than this share is no news
  Micros flapSpan = 60000000;       // a server that came back more often than flapTurns in this span
  int flapTurns = 2;                //
  Micros flapHold = 60000000;       // waits so long before it comes back again
  Micros rosterFirst = 3000000;     // after the start the roster is waited for so long
  std::size_t keepLeast = 1;        // sources without authority never take the last so many
  std::size_t serversMost = 50000;  // held in all; more are left out
  bool rosterWeights = true;        // the roster's weight goes before another source's
  bool firstAnswerWarm = false;     // what the first complete answer lists has run for long
};

}  // namespace peargrade::membership
