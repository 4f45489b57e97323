#include "peargrade/decision_engine.h"

#include <utility>
#include <variant>

#include "decision/decision_engine_impl.h"
#include "decision/route_usage.h"

namespace peargrade {
namespace {

/// Interval of the decision timer. Some events cause a decision earlier; see `needsDecision`.
constexpr Micros kDecisionInterval = 250 * decision::kMillisecond;
constexpr char kDecisionTimer[] = "sweep";
/// How long the record of a departed server is kept. TrialBudget counts the server as departed for
/// kDepartureMemory, so the record must be kept longer than that.
constexpr Micros kDepartedServerRetention = 2 * decision::kDepartureMemory;

/// Longest time that a slice without a stored route waits for one. A watch without a heartbeat for 2.5 s is
/// closed, and the replay of the next one completes the routes.
constexpr Micros kStoredRoutesWaitMax = 3 * decision::kSecond;

/// Whether an event causes a decision at once instead of at the next timer.
bool needsDecision(const Event& event) {
  return std::holds_alternative<TimerFired>(event) || std::holds_alternative<EndpointListUpdate>(event) ||
         std::holds_alternative<SliceAssignment>(event) ||
         std::holds_alternative<StoredRoutesComplete>(event);
}

}  // namespace

DecisionEngine::Impl::Impl(std::uint64_t seed, const Settings& settings)
    : settings_(settings),
      random_(seed),
      costs_(settings_),
      endpoints_(settings_, clock_, random_),
      pressure_(settings_, clock_, costs_),
      admission_(clock_, pressure_),
      slowStart_(settings_, clock_, admission_),
      trials_(settings_, clock_),
      load_(settings_, clock_, costs_, slowStart_, trials_),
      outliers_(settings_, clock_, actions_),
      placement_(clock_, endpoints_, load_, trials_, random_),
      migrator_(clock_, load_, trials_, actions_),
      evacuation_(endpoints_, slowStart_, load_, placement_, migrator_),
      capacity_(clock_, slowStart_, load_, pressure_),
      hotspots_(settings_, clock_, slowStart_, load_, pressure_, placement_, migrator_, random_),
      recovery_(clock_, slowStart_, load_, placement_, migrator_, random_),
      backups_(settings_, endpoints_, slowStart_, random_),
      budget_(settings_, clock_, channel_),
      ratios_(settings_, costs_, slowStart_, load_, budget_),
      ejections_(settings_, clock_, endpoints_, load_, budget_),
      updates_(settings_, clock_, {{slowStart_, load_, admission_, ratios_}, ejections_}, budget_, channel_,
               actions_) {}

std::vector<Action> DecisionEngine::Impl::handle(Micros now, const std::vector<Event>& events) {
  bool isTimerDue = startedAt_ == 0;
  bool isDecisionDue = isTimerDue;
  if (startedAt_ == 0) startedAt_ = now;
  clock_.advanceTo(now);
  withdrawnAdmission_.clear();
  for (const Event& event : events) {
    std::visit([&](const auto& alternative) { on(alternative); }, event);
    isTimerDue = isTimerDue || std::holds_alternative<TimerFired>(event);
    isDecisionDue = isDecisionDue || needsDecision(event);
  }
  if (isTimerDue) actions_.add(SetTimer{kDecisionInterval, kDecisionTimer});
  if (isDecisionDue || updates_.isDecisionDue()) decide();
  return actions_.take();
}

void DecisionEngine::Impl::decide() {
  completeOverdueRoutes();
  endpoints_.refresh(startedAt_, actions_);
  updates_.beginDecision(servers_, slices_);
  forgetDepartedServers(servers_, slices_, clock_.now() - kDepartedServerRetention,
                        updates_.appliedByDisconnected());
  estimate();
  outliers_.detect(servers_, pressure_.fleetCounts());
  evacuation_.evacuate(servers_, slices_);
  capacity_.update(servers_);
  hotspots_.detect(servers_);
  hotspots_.relieve(servers_, slices_);
  recovery_.fill(servers_, slices_);
  backups_.assign(servers_, slices_);
  admission_.adjust(servers_, load_, slowStart_);
  ratios_.update(servers_, slices_);
  updates_.sendUpdate(servers_, slices_);
}

void DecisionEngine::Impl::estimate() {
  load_.estimateOwnHeat(servers_, slices_);
  pressure_.estimate(servers_, slices_, updates_.publishedFleetRatios());
  trials_.count(servers_, slices_);
  load_.estimateFleetHeat(servers_, slices_);
}

// Each decision compares what it wants with all that was published, so nothing is published here. Slices hold
// state for each request class, so a change of the number of classes is ignored.
void DecisionEngine::Impl::on(const SettingsChanged& event) {
  if (event.settings.classes.size() != costs_.classes()) return;
  updates_.changeSettings(settings_, event.settings, slices_);
  settings_ = event.settings;
  costs_.update(settings_);
}

void DecisionEngine::Impl::on(const HealthCheckResult& event) {
  const auto it = servers_.find(event.server);
  if (it == servers_.end() || it->second.isConfirmed) return;
  if (event.outcome != HealthCheckOutcome::Passed) return;
  it->second.isConfirmed = true;
  it->second.changedAt = clock_.now();
}

// A slice that is withdrawn and assigned again in one batch may not have changed hands: a new watch of the
// relay reports it so if the stored routes are not those expected. Its admission is then not reset.
void DecisionEngine::Impl::on(const SliceAssignment& event) {
  const auto former = slices_.find(event.slice);
  if (former != slices_.end()) {
    withdrawnAdmission_[event.slice] = std::move(former->second.admission);
    slices_.erase(former);
  }
  if (!event.assigned) return;
  decision::SliceState slice(clock_.now(), settings_.classes.size());
  slice.storedRoutes = event.routes;
  const auto withdrawn = withdrawnAdmission_.find(event.slice);
  if (withdrawn != withdrawnAdmission_.end()) {
    slice.admission = std::move(withdrawn->second);
    for (decision::PublishedAdmission& admission : slice.admission) admission.markPossiblyReset();
    withdrawnAdmission_.erase(withdrawn);
  }
  updates_.recordAssignment(event.slice, slice, servers_);
  slices_.emplace(event.slice, std::move(slice));
}

// The server with the largest weight becomes the primary server. Of servers with equal weights, a ready one
// is preferred.
void DecisionEngine::Impl::on(const StoredRoute& event) {
  const auto it = slices_.find(event.slice);
  if (it == slices_.end() || event.weight <= 0) return;
  decision::SliceState& slice = it->second;
  servers_[event.server].isConfirmed = true;
  if (slice.awaitsStoredRoutes() && slice.published.empty() && clock_.now() > slice.assignedAt) {
    actions_.log("slice " + std::to_string(event.slice) + ": the first stored route was reported " +
                 std::to_string((clock_.now() - slice.assignedAt) / decision::kMillisecond) +
                 " ms after the assignment");
  }
  if (!updates_.recordStoredRoute(slice, event)) {
    actions_.log("stored owner " + event.server + " of slice " + std::to_string(event.slice) +
                 " may not be its only one: all are removed first");
    return;
  }
  slice.desired[event.server] = event.weight;
  slice.recordStored(event.server, event.weight);
  const double primaryWeight = slice.primary.empty() ? 0 : slice.desired[slice.primary];
  const bool isHeavier = event.weight > primaryWeight;
  if (!isHeavier && (event.weight != primaryWeight || servers_[slice.primary].isReady())) return;
  slice.primary = event.server;
  slice.initialPrimary = event.server;
}

void DecisionEngine::Impl::on(const StoredRoutesComplete& event) {
  const auto it = slices_.find(event.slice);
  if (it != slices_.end()) it->second.storedRoutes = StoredRoutes::Complete;
}

void DecisionEngine::Impl::completeOverdueRoutes() {
  std::size_t overdue = 0;
  for (auto& [table, slice] : slices_) {
    if (!slice.awaitsStoredRoutes() || clock_.now() < slice.assignedAt + kStoredRoutesWaitMax) continue;
    slice.storedRoutes = StoredRoutes::Complete;
    ++overdue;
  }
  if (overdue == 0) return;
  actions_.log("stored routes of " + std::to_string(overdue) +
               " slices were not completed in time: those reported so far count as all");
}

DecisionEngine::DecisionEngine(std::uint64_t seed, const Settings& settings)
    : impl_(std::make_unique<Impl>(seed, settings)) {}
DecisionEngine::~DecisionEngine() = default;
DecisionEngine::DecisionEngine(DecisionEngine&&) noexcept = default;
DecisionEngine& DecisionEngine::operator=(DecisionEngine&&) noexcept = default;

std::vector<Action> DecisionEngine::handle(Micros now, const std::vector<Event>& events) {
  return impl_->handle(now, events);
}

}  // namespace peargrade
