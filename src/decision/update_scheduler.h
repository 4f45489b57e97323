// Schedules the updates of the proxies: chooses what is sent now and in which order, and tracks its delivery.
#pragma once

#include <optional>
#include <vector>

#include "decision/action_queue.h"
#include "decision/admission_planner.h"
#include "decision/applied_updates.h"
#include "decision/delivery_tracker.h"
#include "decision/ejection_planner.h"
#include "decision/ejection_repeater.h"
#include "decision/load_estimator.h"
#include "decision/recent_updates.h"
#include "decision/route_planner.h"
#include "decision/server_state.h"
#include "decision/slice_handover.h"
#include "decision/slice_state.h"
#include "decision/update_budget.h"
#include "decision/update_channel.h"
#include "peargrade/events.h"
#include "peargrade/settings.h"

namespace peargrade::decision {

/// Sends the differences between the desired and the published state. Each update is filled by priority, the
/// hottest slices first, until the channel has no more capacity. The rest is not queued: the next decision
/// compares desired and published state again. An update whose delivery is unknown is not repeated unchanged:
/// its actions are marked as uncertain, so that later decisions publish the state desired by then.
class UpdateScheduler {
 public:
  /// Components that the scheduler reads.
  struct Sources {
    AdmissionPlanner::Sources admission;
    const EjectionPlanner& ejections;
  };

  UpdateScheduler(const Settings& settings, const Clock& clock, const Sources& sources, UpdateBudget& budget,
                  UpdateChannel& channel, ActionQueue& actions);

  // ---- Events ----
  void connectProxy(const ProxyConnected& event, SliceMap& slices);
  void disconnectProxy(ProxyId proxy, SliceMap& slices);
  /// Records that a slice was assigned. Its changes in updates that were sent shortly before have an unknown
  /// delivery: the stored routes that follow may be those from before them.
  void recordAssignment(TableId table, SliceState& slice, ServerMap& servers) const;
  /// Returns whether the stored route becomes a desired one; see SliceHandover::recordStoredOwner.
  [[nodiscard]] bool recordStoredRoute(SliceState& slice, const StoredRoute& route) const {
    return handover_.recordStoredOwner(slice, route.server, route.weight);
  }
  void recordAcknowledgement(const UpdateAcknowledged& event, SliceMap& slices);
  void recordDelivery(const UpdateDelivery& event, ServerMap& servers, SliceMap& slices);
  /// Records that the watch was interrupted: acknowledgements were missed, and a connected proxy may have
  /// disconnected and connected again without an event.
  void recordMissedAcknowledgements();
  void changeSettings(const Settings& oldSettings, const Settings& newSettings, SliceMap& slices) {
    handover_.changeSettings(oldSettings, newSettings, slices);
  }

  // ---- Steps of a decision ----
  /// Whether the outcome of an update requires a decision before the next timer.
  [[nodiscard]] bool isDecisionDue() const { return delivery_.isDecisionDue(); }
  /// First step of a decision, before ejections are planned.
  void beginDecision(ServerMap& servers, SliceMap& slices);
  /// The last update that every proxy has applied that is disconnected and may connect again; nullopt: there
  /// is no such proxy.
  [[nodiscard]] std::optional<UpdateNumber> appliedByDisconnected() const {
    return applied_.appliedByDisconnected();
  }
  /// Last step of a decision.
  void sendUpdate(ServerMap& servers, SliceMap& slices);
  /// Published admission ratios that apply to all slices, by class.
  [[nodiscard]] std::vector<double> publishedFleetRatios() const { return admission_.publishedRatios(); }

 private:
  [[nodiscard]] std::vector<PendingUpdate> pendingUpdates(const ServerMap& servers,
                                                          const SliceMap& slices) const;
  /// The priority whose limits allow an update now; nullopt: none. `updates`: sorted. `ejections`: number of
  /// ejections and readmissions to publish.
  [[nodiscard]] std::optional<UpdatePriority> permittedPriority(const std::vector<PendingUpdate>& updates,
                                                                std::size_t ejections) const;
  /// Whether an update that consists only of an acknowledgement request should be sent, because
  /// acknowledgements were missed.
  [[nodiscard]] bool canRequestAcknowledgements() const;
  [[nodiscard]] std::vector<Action> fillUpdate(const std::vector<PendingUpdate>& updates, ServerMap& servers,
                                               SliceMap& slices);
  /// Logs how many slices get no new owner yet because of disconnected proxies.
  void logHandoverDelay(const std::vector<Action>& update) const;
  /// Appends all of `newActions` to `update` and records them as published. If there is no capacity for them,
  /// does nothing and returns false.
  bool append(UpdatePriority priority, const std::vector<Action>& newActions, std::vector<Action>& update,
              ServerMap& servers, SliceMap& slices);
  /// Records an action as published.
  void publish(const Action& action, ServerMap& servers, SliceMap& slices);
  void publish(const SetRoute& route, SliceState& slice);
  void publish(const ClearTable& clear, SliceState& slice);
  void publish(const SetAdmission& admission, SliceMap& slices);
  /// Records that the delivery of a published action is unknown.
  void markUncertain(const Action& action, ServerMap& servers, SliceMap& slices);
  static void markUncertain(const Action& action, ServerMap& servers, SliceState& slice);
  /// Marks what connected proxies may have missed, so that it is published again.
  void repeatMissedUpdates(ServerMap& servers, SliceMap& slices);

  const Settings& settings_;
  const Clock& clock_;
  Sources sources_;
  UpdateBudget& budget_;
  UpdateChannel& channel_;
  ActionQueue& actions_;
  RoutePlanner routes_;
  SliceHandover handover_;
  DeliveryTracker delivery_;
  AppliedUpdates applied_;
  RecentUpdates recent_;
  EjectionRepeater ejections_;
  AdmissionPlanner admission_;
  /// Missed updates are not repeated before this time.
  Micros nextRepeatAt_ = 0;
};

}  // namespace peargrade::decision
