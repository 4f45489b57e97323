#include <dlfcn.h>
#include <unistd.h>

#include <climits>
#include <stdexcept>

#include "sources/build.h"
#include "sources/source_registry.h"

namespace peargrade::sources {

const Module& load() {
  char executablePath[PATH_MAX];
  const ssize_t pathLength = readlink("/proc/self/exe", executablePath, sizeof executablePath);
  const std::string program(executablePath, pathLength > 0 ? static_cast<std::size_t>(pathLength) : 0);
  const std::string modulePath = program.substr(0, program.rfind('/') + 1) + kModuleFileName;
  void* handle = dlopen(modulePath.c_str(), RTLD_NOW | RTLD_LOCAL);
  if (handle == nullptr)
    throw std::runtime_error(std::string("cannot load the sources module: ") + dlerror());
  const auto entry = reinterpret_cast<const Module* (*)()>(dlsym(handle, kModuleEntryPoint));
  const Module* module = entry == nullptr ? nullptr : entry();
  if (module == nullptr || std::string(module->build) != kBuild)
    throw std::runtime_error(modulePath + ": the sources module is not from the same build as this program");
  return *module;
}

}  // namespace peargrade::sources
