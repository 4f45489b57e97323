// The components of the decision engine with a small fleet, for tests of single steps of a decision.
#pragma once

#include <gtest/gtest.h>

#include "component_settings.h"
#include "decision/admission_controller.h"
#include "decision/capacity_estimator.h"
#include "decision/endpoint_list.h"
#include "decision/hotspot_rule.h"
#include "decision/load_estimator.h"
#include "decision/migrator.h"
#include "decision/placement.h"
#include "decision/pressure_estimator.h"
#include "decision/slow_start.h"
#include "decision/trial_budget.h"

namespace peargrade::decision {

/// Components connected as in DecisionEngine. All slices of the fleet are assigned to this supervisor.
class ComponentFixture : public testing::Test {
 protected:
  ComponentFixture() { clock_.advanceTo(1000 * kSecond); }

  /// Adds a published slice and a load report of `requests` requests of class 0 within one second.
  void addSlice(TableId table, const ServerId& primary, std::int64_t requests) {
    slices_.emplace(table, publishedSlice(primary));
    load_.record({table, 0, requests, 0, kSecond}, slices_);
    settings_.slices = static_cast<int>(slices_.size());
  }
  /// Runs the estimation steps of a decision in their order.
  void estimate() {
    load_.estimateOwnHeat(servers_, slices_);
    pressure_.estimate(servers_, slices_, {1, 1});
    trials_.count(servers_, slices_);
    load_.estimateFleetHeat(servers_, slices_);
  }

  Settings settings_ = componentSettings();
  Clock clock_;
  Random random_{1};
  ActionQueue actions_;
  ServerMap servers_;
  SliceMap slices_;
  RequestCosts costs_{settings_};
  EndpointList endpoints_{settings_, clock_, random_};
  PressureEstimator pressure_{settings_, clock_, costs_};
  AdmissionController admission_{clock_, pressure_};
  SlowStart slowStart_{settings_, clock_, admission_};
  TrialBudget trials_{settings_, clock_};
  LoadEstimator load_{settings_, clock_, costs_, slowStart_, trials_};
  Placement placement_{clock_, endpoints_, load_, trials_, random_};
  Migrator migrator_{clock_, load_, trials_, actions_};
  HotspotRule hotspots_{settings_, clock_, slowStart_, load_, pressure_, placement_, migrator_, random_};
  CapacityEstimator capacity_{clock_, slowStart_, load_, pressure_};
};

}  // namespace peargrade::decision
