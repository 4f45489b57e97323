#include <dlfcn.h>
#include <unistd.h>

#include <climits>
#include <stdexcept>

#include "sources/build.h"
#include "sources/source_registry.h"

namespace peargrade::sources {

const Module& load() {
  char path[PATH_MAX];
  const ssize_t size = readlink("/proc/self/exe", path, sizeof path);
  const std::string program(path, size > 0 ? static_cast<std::size_t>(size) : 0);
  const std::string file = program.substr(0, program.rfind('/') + 1) + kFile;
  void* handle = dlopen(file.c_str(), RTLD_NOW | RTLD_LOCAL);
  if (handle == nullptr) throw std::runtime_error(std::string("cannot load what sources need: ") + dlerror());
  const auto entry = reinterpret_cast<const Module* (*)()>(dlsym(handle, kEntry));
  const Module* module = entry == nullptr ? nullptr : entry();
  if (module == nullptr || std::string(module->build) != kBuild)
    throw std::runtime_error(file + " belongs to another build of this program");
  return *module;
}

}  // namespace peargrade::sources
