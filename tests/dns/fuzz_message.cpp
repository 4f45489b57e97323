// libFuzzer target for the answer parser; built with clang and -DPEARGRADE_FUZZ=ON. The test
// Message.FuzzerCorpusIsHandled decodes its corpus.
#include <cstdlib>

#include "dns/message.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace peargrade::dns;
  const std::string bytes(reinterpret_cast<const char*>(data), size);
  const std::uint16_t id = size < 2 ? 0 : static_cast<std::uint16_t>(data[0] << 8 | data[1]);
  for (const Question& question :
       {Question{"_o._tcp.example.org", Type::SRV}, Question{"a.example.org", Type::A}}) {
    const Answer answer = decode(bytes, question, id, {});
    const bool mayHaveRecords = answer.verdict == Verdict::Answer || answer.verdict == Verdict::Truncated;
    if (!mayHaveRecords && !answer.records.empty()) std::abort();
    if (answer.verdict == Verdict::Answer && answer.records.empty()) std::abort();
  }
  return 0;
}
