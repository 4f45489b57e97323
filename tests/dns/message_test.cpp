// Encoding of questions, decoding of answers, and the corpus of the fuzzer.
#include "dns/message.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>

namespace peargrade::dns {
namespace {

const Question kSrv{"_o._tcp.example.org", Type::SRV};

std::string u16(unsigned v) { return {static_cast<char>(v >> 8), static_cast<char>(v & 255)}; }
std::string wire(const std::string& name) {
  std::string out;
  std::size_t at = 0;
  while (at < name.size()) {
    const std::size_t dot = std::min(name.find('.', at), name.size());
    out += static_cast<char>(dot - at) + name.substr(at, dot - at);
    at = dot + 1;
  }
  return out + '\0';
}
std::string rr(const std::string& owner, unsigned type, std::uint32_t ttl, const std::string& data) {
  return wire(owner) + u16(type) + u16(1) + u16(ttl >> 16) + u16(ttl & 0xFFFF) +
         u16(static_cast<unsigned>(data.size())) + data;
}
std::string srv(unsigned priority, unsigned weight, unsigned port, const std::string& target) {
  return u16(priority) + u16(weight) + u16(port) + wire(target);
}
std::string message(unsigned flags, const std::vector<std::string>& answers,
                    const std::vector<std::string>& authority = {}) {
  std::string m = u16(7) + u16(flags) + u16(1) + u16(static_cast<unsigned>(answers.size())) +
                  u16(static_cast<unsigned>(authority.size())) + u16(0) + wire("_O._TCP.example.ORG") +
                  u16(33) + u16(1);
  for (const auto& a : answers) m += a;
  for (const auto& a : authority) m += a;
  return m;
}
constexpr unsigned kOk = 0x8400;

TEST(Message, QueryHasIdNameTypeAndEdns) {
  const std::string q = encode(kSrv, 0x1234, 1232);
  EXPECT_EQ(q.substr(0, 2), u16(0x1234));
  EXPECT_NE(q.find(wire("_o._tcp.example.org") + u16(33) + u16(1)), std::string::npos);
  EXPECT_NE(q.find(std::string("\0", 1) + u16(41) + u16(1232)), std::string::npos);
  EXPECT_LT(encode(kSrv, 1, 0).size(), q.size());
}

TEST(Message, RecordsAreSortedWithoutDuplicates) {
  const auto a = rr("_o._tcp.example.org", 33, 30, srv(1, 5, 80, "b.example.org"));
  const auto b = rr("_o._tcp.example.org", 33, 60, srv(1, 9, 80, "A.example.org"));
  const Answer one = decode(message(kOk, {a, b, a}), kSrv, 7, {});
  ASSERT_EQ(one.verdict, Verdict::Answer);
  ASSERT_EQ(one.records.size(), 2u);
  EXPECT_EQ(one.records[0].value, "a.example.org");
  EXPECT_EQ(one.records[0].weight, 9);
  EXPECT_EQ(one.ttl, 30u) << "the minimum of the RRset";
  EXPECT_EQ(decode(message(kOk, {b, a}), kSrv, 7, {}).records, one.records);
}

TEST(Message, TtlWithHighestBitSetIsZero) {
  const Answer a = decode(message(kOk, {rr(kSrv.name, 33, 0x80000001, srv(0, 0, 1, "a.b"))}), kSrv, 7, {});
  EXPECT_EQ(a.ttl, 0u);
}

TEST(Message, LowestPriorityIsKeptForDuplicateSrvTargets) {
  const auto a = rr(kSrv.name, 33, 30, srv(5, 5, 80, "b.example.org"));
  const auto b = rr(kSrv.name, 33, 30, srv(1, 3, 80, "b.example.org"));
  for (const auto& m : {message(kOk, {a, b}), message(kOk, {b, a})}) {
    const Answer answer = decode(m, kSrv, 7, {});
    ASSERT_EQ(answer.records.size(), 1u);
    EXPECT_EQ(answer.records[0].priority, 1);
  }
}

TEST(Message, OnlyRecordsOnTheCnameChainAreUsed) {
  const auto alias = rr(kSrv.name, 5, 20, wire("x.example.org"));
  const auto target = rr("x.example.org", 33, 60, srv(0, 0, 80, "b.example.org"));
  const auto other = rr("y.example.org", 33, 60, srv(0, 0, 80, "evil.example.org"));
  const Answer complete = decode(message(kOk, {target, other, alias}), kSrv, 7, {});
  ASSERT_EQ(complete.verdict, Verdict::Answer);
  ASSERT_EQ(complete.records.size(), 1u);
  EXPECT_EQ(complete.records[0].value, "b.example.org");
  EXPECT_EQ(complete.skippedRecords, 1);
  EXPECT_EQ(complete.ttl, 20u);
  const Answer openChain = decode(message(kOk, {alias}), kSrv, 7, {});
  EXPECT_EQ(openChain.verdict, Verdict::Chain);
  EXPECT_EQ(openChain.chain, std::vector<std::string>{"x.example.org"});
}

TEST(Message, NegativeTtlIsTakenFromTheSoa) {
  const std::string soaData =
      wire("ns.example.org") + wire("h.example.org") + std::string(16, '\0') + u16(0) + u16(9);
  const Answer noName = decode(message(kOk | 3, {}, {rr("example.org", 6, 3600, soaData)}), kSrv, 7, {});
  EXPECT_EQ(noName.verdict, Verdict::NxDomain);
  EXPECT_EQ(noName.ttl, 9u);
  const Answer noData = decode(message(kOk, {}, {rr("example.org", 6, 4, soaData)}), kSrv, 7, {});
  EXPECT_EQ(noData.verdict, Verdict::NoData);
  EXPECT_EQ(noData.ttl, 4u) << "the minimum of the SOA TTL and its MINIMUM field";
  const Answer foreign = decode(message(kOk | 3, {}, {rr("example.net", 6, 3600, soaData)}), kSrv, 7, {});
  EXPECT_FALSE(foreign.soa) << "an SOA of another zone does not limit the lifetime";
}

TEST(Message, ResponseToAnotherQuestionIsUnrelated) {
  const auto a = rr(kSrv.name, 33, 30, srv(1, 5, 80, "b.example.org"));
  const std::string good = message(kOk, {a});
  EXPECT_EQ(decode(good, kSrv, 8, {}).verdict, Verdict::Unrelated);
  EXPECT_EQ(decode(good, {kSrv.name, Type::A}, 7, {}).verdict, Verdict::Unrelated);
  EXPECT_EQ(decode(good, {"other.example.org", Type::SRV}, 7, {}).verdict, Verdict::Unrelated);
  EXPECT_EQ(decode(message(0, {a}), kSrv, 7, {}).verdict, Verdict::Unrelated);
  EXPECT_EQ(decode("", kSrv, 7, {}).verdict, Verdict::Unrelated);
}

TEST(Message, LimitsOfRecordsChainAndBytesAreEnforced) {
  std::vector<std::string> many;
  many.reserve(5);
  for (int k = 0; k < 5; ++k)
    many.push_back(rr(kSrv.name, 33, 30, srv(1, 5, 80, "b" + std::to_string(k) + ".example.org")));
  Bounds bounds;
  bounds.records = 4;
  EXPECT_EQ(decode(message(kOk, many), kSrv, 7, bounds).verdict, Verdict::TooManyRecords);
  std::vector<std::string> chain{rr(kSrv.name, 5, 9, wire("c0.org"))};
  for (int k = 0; k < 9; ++k)
    chain.push_back(rr("c" + std::to_string(k) + ".org", 5, 9, wire("c" + std::to_string(k + 1) + ".org")));
  EXPECT_EQ(decode(message(kOk, chain), kSrv, 7, {}).verdict, Verdict::Contradiction);
  bounds.bytes = 40;
  EXPECT_EQ(decode(message(kOk, many), kSrv, 7, bounds).verdict, Verdict::Malformed);
}

// Decoding any bytes gives a verdict, and records only with the verdicts that allow them.
void expectConsistentAnswers(const std::string& bytes) {
  for (const Question& q :
       {kSrv, Question{"a.example.org", Type::A}, Question{"a.example.org", Type::AAAA}}) {
    const std::uint16_t id = bytes.size() < 2
                                 ? 0
                                 : static_cast<std::uint16_t>(static_cast<unsigned char>(bytes[0]) << 8 |
                                                              static_cast<unsigned char>(bytes[1]));
    const Answer a = decode(bytes, q, id, {});
    const bool mayHaveRecords = a.verdict == Verdict::Answer || a.verdict == Verdict::Truncated;
    EXPECT_TRUE(mayHaveRecords || a.records.empty());
    EXPECT_TRUE(a.verdict != Verdict::Answer || !a.records.empty());
    for (const Record& r : a.records) EXPECT_EQ(r.type, q.type);
    EXPECT_LE(a.chain.size(), 9u);
  }
}

TEST(Message, RandomMutationsGiveConsistentAnswers) {
  const std::string good = message(kOk, {rr(kSrv.name, 5, 20, wire("x.example.org")),
                                         rr("x.example.org", 33, 60, srv(0, 1, 80, "b.org"))});
  std::mt19937 random(3);
  int answers = 0;
  for (int round = 0; round < 20000; ++round) {
    std::string bytes = good;
    for (unsigned k = random() % 4; k > 0; --k)
      bytes[2 + random() % (bytes.size() - 2)] = static_cast<char>(random());
    if (random() % 4 == 0) bytes.resize(random() % bytes.size());
    expectConsistentAnswers(bytes);
    answers += decode(bytes, kSrv, 7, {}).verdict == Verdict::Answer;
  }
  EXPECT_GT(answers, 1000);
}

TEST(Message, FuzzerCorpusIsHandled) {
  int files = 0;
  for (const auto& entry : std::filesystem::directory_iterator(PEARGRADE_DNS_CORPUS)) {
    std::ifstream in(entry.path(), std::ios::binary);
    expectConsistentAnswers({std::istreambuf_iterator<char>(in), {}});
    ++files;
  }
  EXPECT_GE(files, 8);
}

}  // namespace
}  // namespace peargrade::dns
