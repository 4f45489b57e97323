#include "decision/migrator.h"

#include <algorithm>
#include <tuple>

namespace peargrade::decision {
namespace {

/// Weight of the primary route of a slice that has no route yet.
constexpr double kPrimaryWeight = 1;

/// Relative to the heat of the server's hottest slice, in migration order.
enum class HeatRank { UpperHalf, LowerHalf, Hottest, Cold };

HeatRank heatRank(double heat, double hottest) {
  if (heat <= 0) return HeatRank::Cold;
  if (heat >= hottest) return HeatRank::Hottest;
  return heat >= hottest / 2 ? HeatRank::UpperHalf : HeatRank::LowerHalf;
}

/// The slices of a server in the order in which they are offered for migration: by HeatRank, and within each
/// rank those nearest to half of the hottest slice's heat first.
std::vector<TableId> slicesInMigrationOrder(const SliceMap& slices, const ServerId& server) {
  std::vector<std::tuple<HeatRank, double, TableId>> order;
  double hottest = 0;
  for (const auto& [table, slice] : slices) {
    if (slice.primary != server) continue;
    order.emplace_back(HeatRank::UpperHalf, slice.heat, table);
    hottest = std::max(hottest, slice.heat);
  }
  for (auto& [rank, key, table] : order) {
    rank = heatRank(key, hottest);
    key = rank == HeatRank::UpperHalf ? key : -key;
  }
  std::sort(order.begin(), order.end());
  std::vector<TableId> tables;
  tables.reserve(order.size());
  for (const auto& entry : order) tables.push_back(std::get<TableId>(entry));
  return tables;
}

}  // namespace

void Migrator::migrate(ServerMap& servers, TableId table, SliceState& slice, const ServerId& to,
                       const std::string& reason) {
  actions_.log("slice " + std::to_string(table) + " to " + to + " from " + slice.primary + ": " + reason);
  const auto route = slice.desired.find(slice.primary);
  const double weight = route != slice.desired.end() ? route->second : kPrimaryWeight;
  slice.desired.erase(slice.primary);
  slice.desired[to] = weight;
  ServerState& target = servers[to];
  load_.recordMigration(servers[slice.primary], target, slice.heat);
  trials_.recordMigration(target);
  slice.primary = to;
  slice.migratedAt = clock_.now();
}

bool Migrator::migrateOneSliceFrom(ServerMap& servers, SliceMap& slices, const ServerId& from,
                                   const std::string& reason, const ChooseTarget& chooseTarget) {
  for (const TableId table : slicesInMigrationOrder(slices, from)) {
    SliceState& slice = slices.at(table);
    const ServerId to = chooseTarget(slice);
    if (to.empty()) continue;
    migrate(servers, table, slice, to, reason);
    return true;
  }
  return false;
}

}  // namespace peargrade::decision
