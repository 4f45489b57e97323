// Updates of the proxies: what is sent now, in which order, and what became of it.
#pragma once

#include <vector>

#include "decision/action_queue.h"
#include "decision/admission_controller.h"
#include "decision/admission_ratios.h"
#include "decision/delivery_tracker.h"
#include "decision/ejection_planner.h"
#include "decision/load_estimator.h"
#include "decision/route_planner.h"
#include "decision/server_state.h"
#include "decision/slice_handover.h"
#include "decision/slice_state.h"
#include "decision/slow_start.h"
#include "decision/update_budget.h"
#include "decision/update_channel.h"
#include "peargrade/events.h"
#include "peargrade/settings.h"

namespace peargrade::decision {

/// Sends what is desired and not published. Each update is filled by priority, the hottest slices first, as
/// far as there is capacity; what is left waits, and a later decision replaces it. An update whose delivery
/// is unknown is not repeated as a whole: its actions are decided again with all else.
class UpdateScheduler {
 public:
  /// What else the scheduler reads.
  struct Sources {
    const SlowStart& slowStart;
    const LoadEstimator& load;
    const AdmissionController& admission;
    const AdmissionRatios& ratios;
    const EjectionPlanner& ejections;
  };

  UpdateScheduler(const Settings& settings, const Clock& clock, const Sources& sources, UpdateBudget& budget,
                  UpdateChannel& channel, ActionQueue& actions);

  // ---- Events ----
  void connectProxy(ProxyId proxy, SliceMap& slices);
  void disconnectProxy(ProxyId proxy, SliceMap& slices);
  void recordAcknowledgement(const UpdateAcknowledged& event, SliceMap& slices);
  void recordDelivery(const UpdateDelivery& event, ServerMap& servers, SliceMap& slices);
  /// The settings change from `before` to `after`.
  void changeSettings(const Settings& before, const Settings& after);

  // ---- A decision ----
  [[nodiscard]] bool isDecisionDue() const { return delivery_.isDecisionDue(); }
  void beginDecision(ServerMap& servers);
  /// Last step of a decision.
  void sendUpdate(ServerMap& servers, SliceMap& slices);
  /// Admission ratios of all slices as published, by class.
  [[nodiscard]] const std::vector<double>& publishedFleetRatios() const { return published_.ratios; }

 private:
  /// The fleet's admission as published.
  struct PublishedAdmission {
    bool isCurrent = false;  // every connected proxy was sent it
    bool isOverloaded = false;
    std::vector<double> ratios;
  };

  [[nodiscard]] std::vector<PendingUpdate> pendingUpdates(const ServerMap& servers,
                                                          const SliceMap& slices) const;
  void planRatios(TableId table, const SliceState& slice, const ServerMap& servers,
                  std::vector<PendingUpdate>& updates) const;
  void planFleetAdmission(std::vector<PendingUpdate>& updates) const;
  [[nodiscard]] bool maySend(const std::vector<PendingUpdate>& updates, std::size_t ejections) const;
  /// Whether an update may go that only asks for acknowledgements, to make up for missed ones.
  [[nodiscard]] bool mayAskForAcknowledgements() const;
  [[nodiscard]] std::vector<Action> fillUpdate(const std::vector<PendingUpdate>& updates, ServerMap& servers,
                                               SliceMap& slices);
  /// Adds actions as far as there is capacity, and records them as published. Returns whether there was.
  bool append(UpdatePriority priority, const std::vector<Action>& more, std::vector<Action>& update,
              ServerMap& servers, SliceMap& slices);
  void publish(const Action& action, ServerMap& servers, SliceMap& slices);
  void publish(const SetRoute& route, SliceState& slice);
  void publish(const SetAdmission& admission, SliceMap& slices);
  void markUncertain(const Action& action, ServerMap& servers, SliceMap& slices);
  [[nodiscard]] RetryPolicy retryPolicy(std::size_t requestClass) const;

  const Settings& settings_;
  const Clock& clock_;
  Sources sources_;
  UpdateBudget& budget_;
  UpdateChannel& channel_;
  ActionQueue& actions_;
  RoutePlanner routes_;
  SliceHandover handover_;
  DeliveryTracker delivery_;
  PublishedAdmission published_;
  bool hasNewProxies_ = false;  // since the last decision
};

}  // namespace peargrade::decision
