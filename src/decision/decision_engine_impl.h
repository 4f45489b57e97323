// The components of a decision engine, its event dispatch and the fixed order of a decision.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "decision/action_queue.h"
#include "decision/admission_controller.h"
#include "decision/admission_ratios.h"
#include "decision/backup_assigner.h"
#include "decision/capacity_estimator.h"
#include "decision/clock.h"
#include "decision/ejection_planner.h"
#include "decision/endpoint_list.h"
#include "decision/evacuation.h"
#include "decision/hotspot_rule.h"
#include "decision/load_estimator.h"
#include "decision/migrator.h"
#include "decision/outlier_detector.h"
#include "decision/placement.h"
#include "decision/pressure_estimator.h"
#include "decision/published_admission.h"
#include "decision/random.h"
#include "decision/recovery_filler.h"
#include "decision/request_costs.h"
#include "decision/server_state.h"
#include "decision/slice_state.h"
#include "decision/slow_start.h"
#include "decision/trial_budget.h"
#include "decision/update_budget.h"
#include "decision/update_channel.h"
#include "decision/update_scheduler.h"
#include "peargrade/decision_engine.h"

namespace peargrade {

/// Owns the state of the servers and slices, and the components that read and write it. Components hold
/// references to each other, so an Impl is neither copied nor moved.
class DecisionEngine::Impl {
 public:
  Impl(std::uint64_t seed, const Settings& settings);
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  std::vector<Action> handle(Micros now, const std::vector<Event>& events);

 private:
  // ---- Events ----
  void on(const SettingsChanged& event);
  void on(const EndpointListUpdate& event) { endpoints_.apply(event, servers_); }
  void on(const HealthCheckResult& event);
  void on(const ProxyConnected& event) { updates_.connectProxy(event, slices_); }
  void on(const ProxyDisconnected& event) { updates_.disconnectProxy(event.proxy, slices_); }
  void on(const ServerLoadReport& event) { pressure_.record(event, servers_); }
  void on(const SliceLoadReport& event) { load_.record(event, slices_); }
  void on(const SliceAssignment& event);
  void on(const StoredRoute& event);
  void on(const StoredRoutesComplete& event);
  void on(const UpdateDelivery& event) { updates_.recordDelivery(event, servers_, slices_); }
  void on(const UpdateAcknowledged& event) { updates_.recordAcknowledgement(event, slices_); }
  void on(const AcknowledgementsMissed&) { updates_.recordMissedAcknowledgements(); }
  // The engine does not use gossip or the load of single proxies. A fired timer carries no data: `handle`
  // checks for it and makes a decision.
  void on(const GossipReceived&) {}
  void on(const ProxyLoadReport&) {}
  void on(const TimerFired&) {}

  /// Ends the wait for stored routes that have not been completed in time.
  void completeOverdueRoutes();
  /// Makes one decision: estimates load, plans migrations and admission, and sends an update to the proxies.
  void decide();
  /// Estimates heat and pressure. The order of the steps matters: each reads the results of those before it.
  void estimate();

  Settings settings_;
  decision::Clock clock_;
  decision::Random random_;
  decision::ActionQueue actions_;
  decision::ServerMap servers_;
  decision::SliceMap slices_;
  /// Admission of slices that were withdrawn in the current batch of events, by class.
  std::map<TableId, std::vector<decision::PublishedAdmission>> withdrawnAdmission_;
  decision::UpdateChannel channel_;
  Micros startedAt_ = 0;  // time of the first batch of events; 0: none yet

  // Components, in the order of their construction: each refers only to those above it.
  decision::RequestCosts costs_;
  decision::EndpointList endpoints_;
  decision::PressureEstimator pressure_;
  decision::AdmissionController admission_;
  decision::SlowStart slowStart_;
  decision::TrialBudget trials_;
  decision::LoadEstimator load_;
  decision::OutlierDetector outliers_;
  decision::Placement placement_;
  decision::Migrator migrator_;
  decision::Evacuation evacuation_;
  decision::CapacityEstimator capacity_;
  decision::HotspotRule hotspots_;
  decision::RecoveryFiller recovery_;
  decision::BackupAssigner backups_;
  decision::UpdateBudget budget_;
  decision::AdmissionRatios ratios_;
  decision::EjectionPlanner ejections_;
  decision::UpdateScheduler updates_;
};

}  // namespace peargrade
