// Parser of the JSON that the discovery service sends.
#include "discovery/catalog.h"

#include <gtest/gtest.h>

#include "discovery_fixture.h"
#include "support/parse_checks.h"

namespace peargrade::discovery {
namespace {

TEST(Catalog, ReadsEveryFieldInTheUnitsOfTheDecisionModule) {
  const EndpointListUpdate update = parseCatalog(kFullList, testNames(), "list");
  EXPECT_EQ(update.kind, EndpointListKind::Full);
  EXPECT_EQ(update.version, 41);
  ASSERT_EQ(update.endpoints.size(), 1u);
  const Endpoint& endpoint = update.endpoints[0];
  EXPECT_EQ(endpoint.server, "s-5be2a07c");
  EXPECT_EQ(endpoint.zone, 1);
  EXPECT_EQ(endpoint.kind, 1);
  EXPECT_EQ(endpoint.cell, 3);
  EXPECT_EQ(endpoint.state, EndpointState::Draining);
  EXPECT_EQ(endpoint.weight, 1.5);
  EXPECT_EQ(endpoint.startedAt, 1764600000123000);
}

struct InvalidCatalog {
  const char* text;
  const char* message;
};

class CatalogErrors : public testing::TestWithParam<InvalidCatalog> {};

TEST_P(CatalogErrors, NameTheFault) {
  const InvalidCatalog& invalid = GetParam();
  expectParseError([&] { parseCatalog(invalid.text, testNames(), "list"); }, invalid.message, invalid.text);
}

INSTANTIATE_TEST_SUITE_P(
    Catalog, CatalogErrors,
    testing::Values(
        InvalidCatalog{"", "not JSON"}, InvalidCatalog{"[]", "not an object"},
        InvalidCatalog{R"({"all":true,"targets":[]})", "'rev' is missing"},
        InvalidCatalog{R"({"rev":1})", "'targets' is missing"},
        InvalidCatalog{R"({"rev":1,"targets":{}})", "'targets' is not an array"},
        InvalidCatalog{R"({"rev":1,"targets":[7]})", "not an object"},
        InvalidCatalog{R"({"rev":1,"targets":[{"uid":"s","az":"zz","state":"SERVING"}]})", "'az' is no zone"},
        InvalidCatalog{R"({"rev":1,"targets":[{"uid":"s","az":"a","state":"WELL"}]})",
                       "'state' has an unknown value"},
        InvalidCatalog{
            R"({"rev":1,"targets":[{"uid":"s","az":"a","state":"SERVING","boot_ms":9300000000000000000}]})",
            "'boot_ms'"}));

TEST(Catalog, RandomBytesAreAcceptedOrRejectedWithAParseError) {
  const MutationOutcome outcome = parseMutations(
      kFullList, 11, 20000, [](const std::string& text) { parseCatalog(text, testNames(), "list"); });
  EXPECT_GT(outcome.accepted, 1000);
  EXPECT_GT(outcome.rejected, 1000);
}

}  // namespace
}  // namespace peargrade::discovery
