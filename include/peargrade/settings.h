// The settings of a deployment. The platform sends them at the start and again when they change. `wire: name`
// gives the name under which src/wire/settings_parser.cpp reads a field.
#pragma once

#include <vector>

#include "peargrade/types.h"

namespace peargrade {

/// Whether a request may be executed more than once.
enum class Idempotency {
  Idempotent,          // any number of executions has the effect of one
  WithIdempotencyKey,  // servers deduplicate repetitions within the lifetime and the scope of the key
  NonIdempotent,       // must be executed at most once
};

/// The servers that share idempotency keys. An attempt at a server outside of this scope may execute the
/// request again.
enum class DeduplicationScope { All, Zone, Cell };

/// The unit in which the platform accepts admission limits. The engine limits admission only if it is Ratio.
enum class AdmissionUnit { Ratio, RequestsPerSecond, Unsupported };

/// Which failed attempts a proxy retries. The numbers are sent on the wire.
enum class RetryPolicy {
  Never = 0,
  IfNotExecuted = 1,    // only if the attempt was certainly not executed
  AnyFailure = 2,       // any failure, at most one retry
  AnyFailureTwice = 3,  // any failure, at most two retries
};

/// How many routes of a slice's table may be usable at the same time.
enum class SliceOwnership {
  Shared,       // any number: backup routes in addition to the primary route are allowed
  SingleOwner,  // one: all proxies must have removed the old owner's route before the new owner's is set
};

/// Settings of one request class.
struct RequestClass {
  /// Time within which a response has its full value. Also used as the cost of a request. Microseconds,
  /// greater than 0. wire: aimUs
  Micros latencyObjective = 0;
  /// Time after which a response is useless. Not used by the engine. Microseconds; 0: no deadline. wire:
  /// hardLimitUs
  Micros deadline = 0;
  /// Value of a request that is answered in time, relative to other classes. Determines the order in which
  /// classes are shed. wire: worth
  double priorityWeight = 1;
  /// Determines which failed attempts are retried. wire: effect
  Idempotency idempotency = Idempotency::NonIdempotent;
  /// Not used by the engine. wire: dedupScope
  DeduplicationScope deduplicationScope = DeduplicationScope::All;
  /// How long servers remember an idempotency key. Not used by the engine. Microseconds. wire: keyTtlUs
  Micros idempotencyKeyTtl = 0;
  /// Whether a request modifies data. Not used by the engine. wire: mutating
  bool isWrite = false;
};

struct Settings {
  /// The request classes, indexed by class number. Never empty; their number is fixed at the start. wire:
  /// classes
  std::vector<RequestClass> classes;
  /// Number of supervisors of the fleet. Not used by the engine. wire: groupSize
  int supervisors = 1;
  /// Number of slices of the fleet; 0: there is one table per proxy instead of one per slice. wire: shards
  int slices = 0;
  /// Number of proxies of the fleet; 0: unknown. With slices, each proxy may connect to every supervisor.
  /// wire: proxyCount
  int proxies = 0;
  /// Whether the endpoint list is sent only after WatchEndpoints or PollEndpoints. wire: registryMode
  bool endpointsOnRequest = false;
  /// Whether the weights of the endpoint list are used; otherwise every endpoint has weight 1. wire: weights
  bool endpointsHaveWeights = false;
  /// Whether the engine may return HealthCheck actions. wire: limits.probes
  bool healthChecksAllowed = false;
  /// Whether SendGossip actions are permitted; the engine returns none.
  /// wire: limits.peerMessages
  bool gossipAllowed = false;
  /// wire: oneOwner
  SliceOwnership sliceOwnership = SliceOwnership::Shared;
  /// wire: throttleBy
  AdmissionUnit admissionUnit = AdmissionUnit::Ratio;
  /// Retry policy of proxies for classes without a published one. Not used by the engine. wire: usualHow
  RetryPolicy defaultRetryPolicy = RetryPolicy::Never;
  /// Timeout of an attempt under RetryPolicy::AnyFailure, as a multiple of the latency objective of its
  /// class. wire: tryAims
  double attemptTimeoutObjectives = 1;

  // ---- The update channel to the proxies ----

  /// Throughput in routes a second, summed over all proxies. wire: egressPerS
  double routesPerSecond = 1e9;
  /// Overhead of one message, as an equivalent number of routes. wire: perMessage
  double messageOverheadRoutes = 0;
  /// Rule: the channel must never hold more pending routes than this. wire: pendingMax
  double pendingRoutesMax = 1e9;
  /// Rule: maximum number of messages to one proxy within messageWindow; 0: no limit. wire: updateCap
  int messagesPerProxyMax = 0;
  /// Microseconds. wire: updateWindowUs
  Micros messageWindow = 0;
  /// Mean delay of a message to a proxy, in microseconds. wire: pushDelayUs
  Micros pushDelay = 0;
  /// Maximum delay of a message to a proxy, in microseconds. wire: pushDelayMaxUs
  Micros pushDelayMax = 0;
  /// Whether an UpdateDelivery event follows each update; otherwise an update counts as accepted immediately.
  /// Set by src/supervisor, not on the wire.
  bool deliveryReported = false;

  // ---- Times and rules ----

  /// Interval of load reports, in microseconds, greater than 0. wire: reportEveryUs
  Micros reportInterval = 1000000;
  /// SingleOwner: how long a disconnected proxy may continue to send writes, in microseconds. wire: leaseUs
  Micros lease = 0;
  /// SingleOwner: maximum duration of a write that a server has accepted, in microseconds. wire:
  /// inFlightMaxUs
  Micros inFlightWriteMax = 0;
  /// Rule: maximum time that a slice may be without a usable route, in microseconds. Not used by the engine.
  /// wire: blackholeUs
  Micros unroutableMax = 0;
  /// Rule: proxies must stop sending requests to a draining server within this time, in microseconds. wire:
  /// rules.drainGraceUs
  Micros drainGrace = 0;
  /// Rule: slices must leave a server that was listed as draining, but need not leave one that was only
  /// removed from the list. wire: rules.goneIsAdvice
  bool removalIsAdvisory = false;
  /// endpointsOnRequest: the list must be requested within this time, in microseconds. wire:
  /// rules.askWithinUs
  Micros pollDeadline = 0;
  /// Share of its full capacity that a server has when it starts, 0 to 1. wire: rules.startCapacity
  double initialCapacity = 1;
  /// Time after its start in which the capacity of a server grows to the full size, in microseconds. wire:
  /// rules.warmAfterUs
  Micros slowStartWindow = 0;
  /// Rule: a warming server fails if its load reaches this multiple of its current capacity. wire:
  /// rules.overloadFactor
  double overloadFactor = 1;
  /// How long that overload must last until the server fails, in microseconds. Not used by the engine. wire:
  /// rules.fallUs
  Micros overloadDurationMax = 0;

  bool hasSingleOwnerSlices() const { return sliceOwnership == SliceOwnership::SingleOwner; }
};

}  // namespace peargrade
