// The settings of a deployment, as the platform states them at the start and where they change. Each field
// names the setting that it comes from as `wire: name`; src/wire/codec.cpp is the only place that reads those
// names.
#pragma once

#include <vector>

#include "peargrade/types.h"

namespace peargrade {

/// Whether a request may be executed more than once.
enum class Idempotency {
  Idempotent,          // may be repeated freely
  WithIdempotencyKey,  // may be repeated within the key's lifetime and scope
  NonIdempotent,       // must be executed at most once
};

/// Where an idempotency key is known: attempts outside of it may execute the request again.
enum class DeduplicationScope { All, Zone, Cell };

/// The unit of an admission ratio on the wire. The engine limits admission only where it is a ratio.
enum class AdmissionUnit { Ratio, RequestsPerSecond, Unsupported };

/// Which failed attempts a proxy retries. The values are those of the wire.
enum class RetryPolicy {
  Never = 0,
  IfNotExecuted = 1,    // only where it is certain that the attempt was not executed
  AnyFailure = 2,       // after any failure, once
  AnyFailureTwice = 3,  // after any failure, twice
};

/// How many routes of a slice's table may be usable at a time.
enum class SliceOwnership {
  Shared,       // any number: a backup route beside the primary one is allowed
  SingleOwner,  // one: the old owner's route must be gone everywhere before the new one is set
};

/// One class of requests.
struct RequestClass {
  /// Time within which an answer has its full value; it also stands for the work of a request. Microseconds,
  /// over 0. wire: aimUs
  Micros latencyObjective = 0;
  /// Time after which an answer is worth nothing; not used by the engine. Microseconds; 0: none. wire:
  /// hardLimitUs
  Micros deadline = 0;
  /// Value of a request that is answered in time, against other classes; decides which class is shed first.
  /// wire: worth
  double priorityWeight = 1;
  /// Decides which failures are retried. wire: effect
  Idempotency idempotency = Idempotency::NonIdempotent;
  /// Not used by the engine. wire: dedupScope
  DeduplicationScope deduplicationScope = DeduplicationScope::All;
  /// How long an idempotency key is known; not used by the engine. Microseconds. wire: keyTtlUs
  Micros idempotencyKeyTtl = 0;
  /// Whether a request changes data; not used by the engine. wire: mutating
  bool isWrite = false;
};

struct Settings {
  /// The request classes, by number. Never empty, and as many at every change. wire: classes
  std::vector<RequestClass> classes;
  /// Supervisors of the fleet; not used by the engine. wire: groupSize
  int supervisors = 1;
  /// Slices of the whole fleet; 0: tables are per proxy, not per slice. wire: shards
  int slices = 0;
  /// Proxies of the whole fleet; with slices each may connect to every supervisor. 0: unknown. wire:
  /// proxyCount
  int proxies = 0;
  /// Whether the endpoint list is sent only after WatchEndpoints or PollEndpoints. wire: registryMode
  bool endpointsOnRequest = false;
  /// Whether the weights of the endpoint list mean something; otherwise all endpoints weigh 1. wire: weights
  bool endpointsHaveWeights = false;
  /// Whether HealthCheck may be used. wire: limits.probes
  bool healthChecksAllowed = false;
  /// Whether SendGossip may be used; the engine sends none. wire: limits.peerMessages
  bool gossipAllowed = false;
  /// Decides how a slice migrates. wire: oneOwner
  SliceOwnership sliceOwnership = SliceOwnership::Shared;
  /// wire: throttleBy
  AdmissionUnit admissionUnit = AdmissionUnit::Ratio;
  /// What proxies do where no policy was set; not used by the engine. wire: usualHow
  RetryPolicy defaultRetryPolicy = RetryPolicy::Never;
  /// Timeout of an attempt under RetryPolicy::AnyFailure, in latency objectives of its class. wire: tryAims
  double attemptTimeoutObjectives = 1;

  // ---- The update channel to the proxies ----

  /// Throughput, in routes a second over all proxies. wire: egressPerS
  double routesPerSecond = 1e9;
  /// Overhead of a message, in routes. wire: perMessage
  double messageOverheadRoutes = 0;
  /// Rule: more routes than this must never wait in the channel. wire: pendingMax
  double pendingRoutesMax = 1e9;
  /// Rule: at most so many messages to a proxy within messageWindow; 0: no limit. wire: updateCap
  int messagesPerProxyMax = 0;
  /// Microseconds. wire: updateWindowUs
  Micros messageWindow = 0;
  /// Mean and longest delay of a message to a proxy, in microseconds. wire: pushDelayUs, pushDelayMaxUs
  Micros pushDelay = 0;
  Micros pushDelayMax = 0;
  /// Whether an UpdateDelivery follows each update; otherwise each counts as accepted at once. Set by
  /// src/supervisor, not on the wire.
  bool deliveryReported = false;

  // ---- Times and rules ----

  /// Interval of load reports, in microseconds, over 0. wire: reportEveryUs
  Micros reportInterval = 1000000;
  /// SingleOwner: how long a disconnected proxy goes on writing, in microseconds. wire: leaseUs
  Micros lease = 0;
  /// SingleOwner: a write that was accepted ends within this time, in microseconds. wire: inFlightMaxUs
  Micros inFlightWriteMax = 0;
  /// Rule: how long a slice may have no usable route, in microseconds; not used by the engine. wire:
  /// blackholeUs
  Micros unroutableMax = 0;
  /// Rule: how long after it began to drain a server may still be sent requests, in microseconds. wire:
  /// rules.drainGraceUs
  Micros drainGrace = 0;
  /// Rule: only a server that was seen draining has to be left, not one that the list drops. wire:
  /// rules.goneIsAdvice
  bool removalIsAdvisory = false;
  /// endpointsOnRequest: the list must have been requested within this time, in microseconds. wire:
  /// rules.askWithinUs
  Micros pollDeadline = 0;
  /// Share of its capacity that a server starts with, 0 to 1. wire: rules.startCapacity
  double initialCapacity = 1;
  /// Time from its start in which a server's capacity grows to its full size, in microseconds. wire:
  /// rules.warmAfterUs
  Micros slowStartWindow = 0;
  /// Rule: a warming server fails at so many times its present capacity. wire: rules.overloadFactor
  double overloadFactor = 1;
  /// How long such an overload has to last, in microseconds; not used by the engine. wire: rules.fallUs
  Micros overloadDurationMax = 0;

  bool hasSingleOwnerSlices() const { return sliceOwnership == SliceOwnership::SingleOwner; }
};

}  // namespace peargrade
