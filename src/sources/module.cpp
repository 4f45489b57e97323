// Entry point of the sources module, see sources/source_registry.h.
#include <random>

#include "sources/build.h"
#include "sources/commands.h"
#include "sources/sources.h"
#include "zone_server/commands.h"

namespace peargrade::sources {
namespace {

std::unique_ptr<SourceRegistry> open(const Dependencies& dependencies) {
  const auto device = std::make_shared<std::random_device>();
  return std::make_unique<Sources>(dependencies,
                                   [device] { return static_cast<std::uint32_t>((*device)()); });
}

}  // namespace
}  // namespace peargrade::sources

extern "C" __attribute__((visibility("default"))) const peargrade::sources::Module*
peargrade_sources_module() {
  static const peargrade::sources::Module module{peargrade::sources::kBuild, peargrade::sources::open,
                                                 peargrade::sources::lookup, peargrade::sources::explain,
                                                 peargrade::zone_server::command};
  return &module;
}
