// The parser of the settings in a `newInstance` event.
#include "wire/settings_parser.h"

#include <gtest/gtest.h>

#include "wire/codec.h"
#include "wire/sample_batch.h"

namespace peargrade::wire {
namespace {

const char* kInfo =
    R"({"classes":[{"aimUs":800000,"effect":"repeatable","hardLimitUs":2500000,"worth":1.5},)"
    R"({"aimUs":1500000,"effect":"by_key","dedupScope":"cell","keyTtlUs":2000000,"hardLimitUs":5000000}],)"
    R"("groupSize":2,"registryMode":"on_request","weights":"rough","limits":{"probes":true},)"
    R"("extra":{"shards":7,"updateCap":20,"updateWindowUs":10000000,"mutating":[false,true],"egressPerS":30800.0,)"
    R"("pendingMax":100,"perMessage":8.0,"throttleBy":"per_second","unheardOf":[1,{"x":null}]},)"
    R"("rules":{"drainGraceUs":2800000,"startCapacity":0.15,"warmAfterUs":16000000},"newKey":{"a":1}})";

TEST(ParseSettings, TranslatesFieldsAndIgnoresUnknownOnes) {
  const Batch parsed = parseBatch(
      makeBatch(R"({"newInstance":{"randomSeed":18446744073709551615,"info":)" + std::string(kInfo) + "}}"));
  const auto& start = std::get<NewInstance>(parsed.groups[0].inputs[0]);
  EXPECT_EQ(start.seed, 18446744073709551615ull);
  ASSERT_EQ(start.settings.classes.size(), 2u);
  EXPECT_EQ(start.settings.classes[0].latencyObjective, 800000);
  EXPECT_EQ(start.settings.classes[0].priorityWeight, 1.5);
  EXPECT_EQ(start.settings.classes[1].idempotency, Idempotency::WithIdempotencyKey);
  EXPECT_EQ(start.settings.classes[1].deduplicationScope, DeduplicationScope::Cell);
  EXPECT_FALSE(start.settings.classes[0].isWrite);
  EXPECT_TRUE(start.settings.classes[1].isWrite);
  EXPECT_EQ(start.settings.supervisors, 2);
  EXPECT_TRUE(start.settings.endpointsOnRequest);
  EXPECT_TRUE(start.settings.endpointsHaveWeights);
  EXPECT_TRUE(start.settings.healthChecksAllowed);
  EXPECT_FALSE(start.settings.gossipAllowed);
  EXPECT_EQ(start.settings.slices, 7);
  EXPECT_EQ(start.settings.messagesPerProxyMax, 20);
  EXPECT_EQ(start.settings.routesPerSecond, 30800);
  EXPECT_EQ(start.settings.admissionUnit, AdmissionUnit::RequestsPerSecond);
  EXPECT_EQ(start.settings.initialCapacity, 0.15);
  EXPECT_EQ(start.settings.slowStartWindow, 16000000);
  EXPECT_FALSE(start.settings.removalIsAdvisory) << "an absent field is false";
}

TEST(ParseSettings, RemovalIsAdvisoryIfTheSettingsSaySo) {
  std::string info(kInfo);
  const std::string rules = "\"rules\":{";
  ASSERT_NE(info.find(rules), std::string::npos);
  info.insert(info.find(rules) + rules.size(), "\"goneIsAdvice\":true,");
  const Batch parsed = parseBatch(makeBatch(R"({"newInstance":{"randomSeed":1,"info":)" + info + "}}"));
  EXPECT_TRUE(std::get<NewInstance>(parsed.groups[0].inputs[0]).settings.removalIsAdvisory);
}

}  // namespace
}  // namespace peargrade::wire
