#include "simulator/adapter.h"

#include <istream>
#include <ostream>
#include <string>

#include "simulator/engine_instances.h"
#include "wire/codec.h"

namespace peargrade::simulator {

int runAdapter(std::istream& in, std::ostream& out, std::ostream& err) {
  EngineInstances instances;
  std::string line;
  while (std::getline(in, line)) {
    try {
      const wire::Batch batch = wire::parseBatch(line);
      const wire::Reply reply = instances.process(batch);
      out << wire::writeReply(reply) << '\n' << std::flush;
    } catch (const ParseError& error) {
      err << "peargrade_simulator_adapter: " << error.what() << std::endl;
      return 1;
    }
  }
  return 0;
}

}  // namespace peargrade::simulator
