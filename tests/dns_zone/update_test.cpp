// Dynamic updates, TSIG and UpdateProcessor: one case for each rule of the RFCs. ldns cross-checks the
// signatures.
#include "dns_zone/update.h"

#include <gtest/gtest.h>
#include <ldns/ldns.h>

#include <random>

#include "dns_zone/tsig.h"
#include "dns_zone/update_processor.h"

namespace peargrade::dns_zone {
namespace {

constexpr std::int64_t kNow = 1764600000;

std::string data(Type type, std::vector<std::string> words) {
  std::string bytes;
  for (std::size_t k = 0; k < words.size(); ++k) bytes += *encodeField(type, k, words[k]);
  return bytes;
}
std::string a(const std::string& address) { return data(Type::A, {address}); }
std::string srv(const std::string& target) { return data(Type::SRV, {"0", "10", "3000", target}); }

Zone zone() {
  Zone z("example.org");
  z.add({"example.org", Type::SOA, 60,
         data(Type::SOA, {"ns.example.org", "h.example.org", "7", "3600", "600", "86400", "30"})});
  z.add({"example.org", Type::NS, 60, data(Type::NS, {"ns.example.org"})});
  z.add({"_o._tcp.example.org", Type::SRV, 10, srv("bello-1.example.org")});
  z.add({"_o._tcp.example.org", Type::SRV, 10, srv("bello-2.example.org")});
  z.add({"bello-1.example.org", Type::A, 10, a("10.1.0.1")});
  z.add({"bello-2.example.org", Type::A, 10, a("10.1.0.2")});
  z.add({"www.example.org", Type::CNAME, 10, data(Type::CNAME, {"bello-1.example.org"})});
  return z;
}

struct UpdateBuilder {
  Message m;
  UpdateBuilder() {
    m.id = 77;
    m.opcode = Opcode::Update;
    m.hasQuestion = true;
    m.name = "example.org";
    m.type = 6;
  }
  UpdateBuilder& require(const std::string& name, std::uint16_t type, std::uint16_t cls,
                         const std::string& d = "") {
    m.answer.push_back({name, type, cls, 0, d});
    return *this;
  }
  UpdateBuilder& change(const std::string& name, std::uint16_t type, std::uint16_t cls, std::uint32_t ttl = 0,
                        const std::string& d = "") {
    m.authority.push_back({name, type, cls, ttl, d});
    return *this;
  }
  UpdateBuilder& add(const std::string& name, Type type, const std::string& d, std::uint32_t ttl = 10) {
    return change(name, static_cast<std::uint16_t>(type), kIn, ttl, d);
  }
};

constexpr std::uint16_t kA = 1, kSrv = 33;
const std::string kBello1 = "bello-1.example.org", kNew = "bello-9.example.org",
                  kService = "_o._tcp.example.org";

Rcode rcodeOf(const UpdateBuilder& s) {
  Zone z = zone();
  const UpdateResult result = apply(z, s.m);
  if (result.rcode != Rcode::NoError) {
    EXPECT_EQ(z, zone()) << "a rejected update changes nothing";
    EXPECT_FALSE(result.why.empty());
  }
  return result.rcode;
}

TEST(Update, ChecksEachKindOfPrerequisite) {
  EXPECT_EQ(rcodeOf(UpdateBuilder().require(kBello1, kTypeAny, kClassAny)), Rcode::NoError);
  EXPECT_EQ(rcodeOf(UpdateBuilder().require(kNew, kTypeAny, kClassAny)), Rcode::NxDomain);
  EXPECT_EQ(rcodeOf(UpdateBuilder().require(kBello1, kA, kClassAny)), Rcode::NoError);
  EXPECT_EQ(rcodeOf(UpdateBuilder().require(kBello1, kSrv, kClassAny)), Rcode::NxRrset);
  EXPECT_EQ(rcodeOf(UpdateBuilder().require(kNew, kTypeAny, kClassNone)), Rcode::NoError);
  EXPECT_EQ(rcodeOf(UpdateBuilder().require(kBello1, kTypeAny, kClassNone)), Rcode::YxDomain);
  EXPECT_EQ(rcodeOf(UpdateBuilder().require(kBello1, kA, kClassNone)), Rcode::YxRrset);
  EXPECT_EQ(rcodeOf(UpdateBuilder().require(kBello1, kA, kIn, a("10.1.0.1"))), Rcode::NoError);
  EXPECT_EQ(rcodeOf(UpdateBuilder().require(kBello1, kA, kIn, a("10.1.0.2"))), Rcode::NxRrset);
  EXPECT_EQ(rcodeOf(UpdateBuilder().require(kService, kSrv, kIn, srv(kBello1))), Rcode::NxRrset)
      << "the RRset must match completely";
  EXPECT_EQ(rcodeOf(UpdateBuilder()
                        .require(kService, kSrv, kIn, srv(kBello1))
                        .require(kService, kSrv, kIn, srv("bello-2.example.org"))),
            Rcode::NoError);
  EXPECT_EQ(rcodeOf(UpdateBuilder().require("other.org", kA, kClassAny)), Rcode::NotZone);
  EXPECT_EQ(rcodeOf(UpdateBuilder().require(kBello1, kA, kClassAny, "x")), Rcode::FormErr);
  EXPECT_EQ(rcodeOf(UpdateBuilder().require(kBello1, kA, 3)), Rcode::FormErr);
}

TEST(Update, RejectsInvalidChangesBeforeApplyingAny) {
  const auto first = [] { return UpdateBuilder().add(kNew, Type::A, a("10.1.0.9")); };
  EXPECT_EQ(rcodeOf(first().add("other.org", Type::A, a("10.1.0.9"))), Rcode::NotZone);
  EXPECT_EQ(rcodeOf(first().add(kNew, Type::A, "abc")), Rcode::FormErr);
  EXPECT_EQ(rcodeOf(first().change(kNew, 15, kIn, 10, "abc")), Rcode::Refused) << "MX is not supported";
  EXPECT_EQ(rcodeOf(first().change(kNew, kTypeAxfr, kIn, 10)), Rcode::FormErr);
  EXPECT_EQ(rcodeOf(first().change(kNew, kA, kClassAny, 5)), Rcode::FormErr);
  EXPECT_EQ(rcodeOf(first().change(kNew, kA, kClassNone, 5, a("10.1.0.9"))), Rcode::FormErr);
  EXPECT_EQ(rcodeOf(first().change(kNew, kA, 4, 0)), Rcode::FormErr);
  UpdateBuilder other;
  other.m.name = "example.net";
  EXPECT_EQ(rcodeOf(other), Rcode::NotAuth);
}

TEST(Update, AddsAndDeletesRecordsRrsetsAndNames) {
  Zone z = zone();
  UpdateResult result =
      apply(z, UpdateBuilder().add(kNew, Type::A, a("10.1.0.9")).add(kService, Type::SRV, srv(kNew)).m);
  EXPECT_EQ(result.rcode, Rcode::NoError);
  EXPECT_EQ(z.find(kService, Type::SRV)->data.size(), 3u);
  EXPECT_EQ(z.serial(), 8u) << "a change increments the serial";
  result = apply(z, UpdateBuilder().change(kService, kSrv, kClassNone, 0, srv(kNew)).m);
  EXPECT_EQ(z.find(kService, Type::SRV)->data.size(), 2u);
  apply(z, UpdateBuilder().change(kNew, kTypeAny, kClassAny).m);
  EXPECT_FALSE(z.hasName(kNew));
  apply(z, UpdateBuilder().change(kService, kSrv, kClassAny).m);
  EXPECT_EQ(z.find(kService, Type::SRV), nullptr);
  const Zone before = z;
  EXPECT_TRUE(apply(z, UpdateBuilder().change(kNew, kA, kClassAny).m).change.empty());
  EXPECT_EQ(z, before) << "an update without effect keeps the serial";
}

TEST(Update, KeepsTheSoaAndTheLastNsOfTheApex) {
  Zone z = zone();
  apply(z, UpdateBuilder()
               .change("example.org", kTypeAny, kClassAny)
               .change("example.org", 6, kClassAny)
               .change("example.org", 2, kClassAny)
               .change("example.org", 2, kClassNone, 0, data(Type::NS, {"ns.example.org"}))
               .m);
  EXPECT_EQ(z, zone());
}

TEST(Update, CnameExcludesOtherRecordsOfItsName) {
  Zone z = zone();
  apply(z, UpdateBuilder()
               .add("www.example.org", Type::A, a("10.1.0.9"))
               .add(kBello1, Type::CNAME, data(Type::CNAME, {"x.org"}))
               .m);
  EXPECT_EQ(z, zone()) << "the existing records are kept";
  apply(z, UpdateBuilder().add("www.example.org", Type::CNAME, data(Type::CNAME, {"bello-2.example.org"})).m);
  EXPECT_EQ(z.find("www.example.org", Type::CNAME)->data.size(), 1u);
  EXPECT_NE(z, zone());
}

TEST(Update, AppliesAnSoaOnlyIfItsSerialIsLater) {
  Zone z = zone();
  apply(z, UpdateBuilder()
               .add("example.org", Type::SOA,
                    withSerial(*zone().find("example.org", Type::SOA)->data.begin(), 6))
               .m);
  EXPECT_EQ(z.serial(), 7u);
  apply(z, UpdateBuilder()
               .add("example.org", Type::SOA,
                    withSerial(*zone().find("example.org", Type::SOA)->data.begin(), 100))
               .m);
  EXPECT_EQ(z.serial(), 100u);
}

TEST(Update, EveryChangeCanBeRevertedAndReapplied) {
  std::mt19937 random(6);
  Zone z = zone();
  for (int round = 0; round < 2000; ++round) {
    UpdateBuilder s;
    for (unsigned k = 1 + random() % 4; k > 0; --k) {
      const std::string host = "bello-" + std::to_string(random() % 5) + ".example.org";
      switch (random() % 5) {
        case 0:
          s.add(host, Type::A, a("10.1.0." + std::to_string(random() % 4)), 1 + random() % 2);
          break;
        case 1:
          s.add(kService, Type::SRV, srv(host), 1 + random() % 2);
          break;
        case 2:
          s.change(host, kTypeAny, kClassAny);
          break;
        case 3:
          s.change(kService, kSrv, kClassNone, 0, srv(host));
          break;
        case 4:
          s.add(host, Type::CNAME, data(Type::CNAME, {"t" + std::to_string(random() % 3) + ".org"}));
          break;
      }
    }
    const Zone before = z;
    const UpdateResult result = apply(z, s.m);
    ASSERT_EQ(result.rcode, Rcode::NoError);
    Zone back = z;
    undo(back, result.change);
    ASSERT_EQ(back, before) << round;
    ASSERT_EQ(back.records(), before.records());
    redo(back, result.change);
    ASSERT_EQ(back, z) << round;
    const auto entry =
        decodeJournalEntry(encodeJournalEntry({result.change, {"k", "mac", 5, Rcode::NoError, kNow}}));
    ASSERT_TRUE(entry.has_value());
    Zone stored = before;
    redo(stored, entry->change);
    ASSERT_EQ(stored, z);
  }
}

TEST(Snapshot, ReadsBackEqualAndDetectsTruncation) {
  const std::string bytes = encodeSnapshot(zone(), {{"k", "m", 3, Rcode::NoError, kNow}});
  const auto snapshot = decodeSnapshot(bytes);
  ASSERT_TRUE(snapshot.has_value());
  EXPECT_EQ(snapshot->zone, zone());
  EXPECT_EQ(snapshot->requests.at(0).until, kNow);
  for (std::size_t size = 0; size < bytes.size(); ++size)
    EXPECT_FALSE(decodeSnapshot(bytes.substr(0, size)).has_value());
}

// ---- Signatures ----

Key keyNamed(const std::string& name, Algorithm algorithm = Algorithm::HmacSha256,
             const std::string& secret = "0123456789abcdef") {
  Key key;
  key.name = name;
  key.algorithm = algorithm;
  key.secret = std::make_shared<Secret>(secret);
  return key;
}
Keys keysOf(Key key) {
  Keys keys;
  keys.put(std::move(key));
  return keys;
}
Checked checkOf(const std::string& bytes, const Keys& keys, std::int64_t now = kNow,
                const std::string& mac = "") {
  const auto m = decodeMessage(bytes);
  if (!m || !m->tsigAt) {
    Checked c;
    c.rcode = Rcode::FormErr;
    return c;
  }
  return check(bytes, *m, keys, now, mac);
}

TEST(Tsig, AcceptsBothAlgorithmsAndBindsTheResponseToItsRequest) {
  for (const Algorithm algorithm : {Algorithm::HmacSha256, Algorithm::HmacSha512}) {
    const Key key = keyNamed("ops.example.org", algorithm);
    const Keys keys = keysOf(key);
    std::string mac, replyMac;
    const std::string request = sign(encodeMessage(UpdateBuilder().m), key, kNow, mac);
    const Checked c = checkOf(request, keys);
    EXPECT_EQ(c.rcode, Rcode::NoError) << c.why;
    EXPECT_EQ(c.mac, mac);
    Message reply;
    reply.response = true;
    const std::string answer = sign(encodeMessage(reply), key, kNow, replyMac, mac);
    EXPECT_EQ(checkOf(answer, keys, kNow, mac).rcode, Rcode::NoError);
    EXPECT_EQ(checkOf(answer, keys, kNow, mac + "x").error, TsigError::BadSig) << "of another request";
  }
}

// Interoperability: ldns verifies our signatures, and we verify those of ldns.
TEST(Tsig, AgreesWithLdns) {
  const std::string secret = "0123456789abcdef", base64 = "MDEyMzQ1Njc4OWFiY2RlZg==";
  for (const auto& [algorithm, name] :
       {std::pair(Algorithm::HmacSha256, "hmac-sha256."), std::pair(Algorithm::HmacSha512, "hmac-sha512.")}) {
    const Key key = keyNamed("ops.example.org", algorithm, secret);
    std::string mac;
    const std::int64_t now = time(nullptr);
    const std::string ours =
        sign(encodeMessage(UpdateBuilder().add(kNew, Type::A, a("10.1.0.9")).m), key, now, mac);
    ldns_pkt* packet = nullptr;
    ASSERT_EQ(ldns_wire2pkt(&packet, reinterpret_cast<const std::uint8_t*>(ours.data()), ours.size()),
              LDNS_STATUS_OK);
    EXPECT_TRUE(ldns_pkt_tsig_verify(packet, reinterpret_cast<const std::uint8_t*>(ours.data()), ours.size(),
                                     "ops.example.org.", base64.c_str(), nullptr));
    ldns_pkt_free(packet);
    ldns_pkt* theirs =
        ldns_pkt_query_new(ldns_dname_new_frm_str("example.org."), LDNS_RR_TYPE_SOA, LDNS_RR_CLASS_IN, 0);
    ASSERT_EQ(ldns_pkt_tsig_sign(theirs, "ops.example.org.", base64.c_str(), 300, name, nullptr),
              LDNS_STATUS_OK);
    std::uint8_t* wire = nullptr;
    std::size_t size = 0;
    ASSERT_EQ(ldns_pkt2wire(&wire, theirs, &size), LDNS_STATUS_OK);
    const Checked c = checkOf({reinterpret_cast<char*>(wire), size}, keysOf(key), now);
    EXPECT_EQ(c.rcode, Rcode::NoError) << c.why;
    free(wire);
    ldns_pkt_free(theirs);
  }
}

TEST(Tsig, EachFaultYieldsItsTsigError) {
  const Key key = keyNamed("ops.example.org");
  const Keys keys = keysOf(key);
  std::string mac;
  const std::string plain = encodeMessage(UpdateBuilder().m);
  const std::string good = sign(plain, key, kNow, mac);
  EXPECT_EQ(checkOf(good, Keys{}).error, TsigError::BadKey);
  EXPECT_EQ(checkOf(good, keysOf(keyNamed("ops.example.org", Algorithm::HmacSha512))).error,
            TsigError::BadKey);
  EXPECT_EQ(checkOf(good, keysOf(keyNamed("ops.example.org", Algorithm::HmacSha256, "another"))).error,
            TsigError::BadSig);
  EXPECT_EQ(checkOf(good, keys, kNow + 301).error, TsigError::BadTime);
  EXPECT_EQ(checkOf(good, keys, kNow - 301).error, TsigError::BadTime);
  EXPECT_EQ(checkOf(good, keys, kNow + 300).rcode, Rcode::NoError);
  Key later = key;
  later.from = kNow + 1;
  EXPECT_EQ(checkOf(good, keysOf(later)).error, TsigError::BadKey);
  Key over = key;
  over.until = kNow - 1;
  EXPECT_EQ(checkOf(good, keysOf(over)).error, TsigError::BadKey);
  std::string cut = good;  // half of the MAC, with the length fields adjusted
  const std::size_t at = good.find(mac);
  cut.erase(at + 16, 16);
  cut[at - 1] = 16;
  const std::size_t rdlength = plain.size() + wireName("ops.example.org").size() + 8;
  cut[rdlength + 1] = static_cast<char>(cut[rdlength + 1] - 16);
  EXPECT_EQ(checkOf(cut, keys).error, TsigError::BadTrunc);
  cut.erase(at + 8, 8);
  cut[at - 1] = 8;
  cut[rdlength + 1] = static_cast<char>(cut[rdlength + 1] - 8);
  EXPECT_EQ(checkOf(cut, keys).rcode, Rcode::FormErr);
}

TEST(Tsig, RejectsEverySignificantFlippedBit) {
  const Key key = keyNamed("ops.example.org");
  const Keys keys = keysOf(key);
  std::string mac;
  const std::string good =
      sign(encodeMessage(UpdateBuilder().add(kNew, Type::A, a("10.1.0.9")).m), key, kNow, mac);
  int refused = 0;
  for (std::size_t bit = 0; bit < 8 * good.size(); ++bit) {
    std::string bad = good;
    bad[bit / 8] = static_cast<char>(bad[bit / 8] ^ (1 << bit % 8));
    const auto m = decodeMessage(bad);
    if (m && m->tsigAt && check(bad, *m, keys, kNow).rcode == Rcode::NoError) {
      // The message id may differ from the signed original id (RFC 8945, section 5.3.1), and the case of
      // names is insignificant.
      const bool meaningless = bit / 8 < 2 || decodeMessage(bad)->name == decodeMessage(good)->name;
      EXPECT_TRUE(meaningless) << "bit " << bit;
    } else {
      ++refused;
    }
  }
  EXPECT_GT(refused, static_cast<int>(8 * good.size()) - 8 * 40);
}

// ---- UpdateProcessor ----

struct UpdateProcessorTest : testing::Test {
  const Key key = keyNamed("ops.example.org"), limited = keyNamed("deploy.example.org");
  Keys keys;
  UpdateProcessorSettings settings;
  std::unique_ptr<UpdateProcessor> processor;

  UpdateProcessorTest() {
    keys.put(key);
    keys.put(limited);
    settings.grants = {{"ops.example.org", "*.example.org", {}},
                       {"deploy.example.org", kService, {Type::SRV}}};
    start(zone());
  }
  void start(Zone z, std::vector<AnsweredRequest> requests = {}) {
    processor = std::make_unique<UpdateProcessor>(std::move(z), std::move(requests), settings);
  }
  std::string request(const UpdateBuilder& s, const Key& with, std::int64_t at = kNow) {
    std::string mac;
    return sign(encodeMessage(s.m), with, at, mac);
  }
  static Rcode rcodeOfReply(const std::string& bytes) { return decodeMessage(bytes)->rcode; }
};

TEST_F(UpdateProcessorTest, AnswersOnceTheChangeIsOnDisk) {
  const auto taken =
      processor->take(request(UpdateBuilder().add(kNew, Type::A, a("10.1.0.9")), key), keys, kNow);
  ASSERT_FALSE(taken.answered) << taken.why;
  EXPECT_FALSE(processor->durable().hasName(kNew));
  ASSERT_TRUE(processor->waiting());
  EXPECT_EQ(processor->begin().size(), 1u);
  EXPECT_FALSE(processor->waiting());
  const auto answers = processor->settled(true, keys, kNow);
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].ticket, taken.ticket);
  EXPECT_EQ(rcodeOfReply(answers[0].bytes), Rcode::NoError);
  EXPECT_TRUE(processor->durable().hasName(kNew));
}

TEST_F(UpdateProcessorTest, RepeatedRequestGetsTheFirstAnswerAndIsAppliedOnce) {
  const std::string add =
      request(UpdateBuilder().require(kNew, kTypeAny, kClassNone).add(kNew, Type::A, a("10.1.0.9")), key);
  const auto first = processor->take(add, keys, kNow);
  const auto again = processor->take(add, keys, kNow);
  EXPECT_EQ(again.code, "repeated");
  EXPECT_FALSE(again.answered) << "the change is not on disk yet";
  processor->begin();
  EXPECT_EQ(processor->settled(true, keys, kNow).size(), 2u);
  const auto late = processor->take(add, keys, kNow + 200);
  EXPECT_TRUE(late.answered);
  EXPECT_EQ(late.code, "repeated");
  EXPECT_EQ(rcodeOfReply(late.answer), Rcode::NoError) << "although the prerequisite is no longer met";
  EXPECT_EQ(processor->durable().serial(), 8u);
  // The same after a restart.
  const auto snapshot = decodeSnapshot(processor->snapshot(kNow + 200));
  start(snapshot->zone, snapshot->requests);
  EXPECT_EQ(processor->take(add, keys, kNow + 250).code, "repeated");
  EXPECT_EQ(processor->take(add, keys, kNow + 301).code, "bad-time") << "the signature has expired";
}

// Replays of a captured request whose change is still being written must not use unbounded memory.
TEST_F(UpdateProcessorTest, LimitsRepetitionsOfARequestBeingWritten) {
  const std::string once = request(UpdateBuilder().add(kNew, Type::A, a("10.1.0.9")), key);
  for (int k = 0; k < 1000; ++k) processor->take(once, keys, kNow);
  const auto more = processor->take(once, keys, kNow);
  EXPECT_TRUE(more.answered);
  EXPECT_TRUE(more.answer.empty());
  processor->begin();
  EXPECT_EQ(processor->settled(true, keys, kNow).size(), 8u);
}

TEST_F(UpdateProcessorTest, OfTwoUpdatesWithTheSamePrerequisiteOneSucceeds) {
  const auto one = processor->take(
      request(UpdateBuilder().require(kNew, kTypeAny, kClassNone).add(kNew, Type::A, a("10.1.0.9")), key),
      keys, kNow);
  const auto two = processor->take(
      request(UpdateBuilder().require(kNew, kTypeAny, kClassNone).add(kNew, Type::A, a("10.1.0.8")), key),
      keys, kNow);
  EXPECT_FALSE(two.answered) << "the answer depends on a change not yet on disk";
  EXPECT_EQ(processor->begin().size(), 1u);
  const auto answers = processor->settled(true, keys, kNow);
  ASSERT_EQ(answers.size(), 2u);
  EXPECT_EQ(answers[0].ticket, one.ticket);
  EXPECT_EQ(rcodeOfReply(answers[0].bytes), Rcode::NoError);
  EXPECT_EQ(rcodeOfReply(answers[1].bytes), Rcode::YxDomain);
  EXPECT_EQ(processor->durable().find(kNew, Type::A)->data.size(), 1u);
}

TEST_F(UpdateProcessorTest, FailedWriteRevertsTheBatchAndAllLaterUpdates) {
  processor->take(request(UpdateBuilder().add(kNew, Type::A, a("10.1.0.9")), key), keys, kNow);
  processor->begin();
  processor->take(
      request(UpdateBuilder().change(kNew, kTypeAny, kClassAny).add(kService, Type::SRV, srv(kNew)), key),
      keys, kNow);
  const auto answers = processor->settled(false, keys, kNow);
  ASSERT_EQ(answers.size(), 2u);
  for (const auto& answer : answers) EXPECT_EQ(rcodeOfReply(answer.bytes), Rcode::ServFail);
  EXPECT_EQ(processor->zone(), zone());
  EXPECT_EQ(processor->durable(), zone());
  EXPECT_FALSE(processor->waiting());
  // The same request is then processed as a new one.
  EXPECT_EQ(processor->take(request(UpdateBuilder().add(kNew, Type::A, a("10.1.0.9")), key), keys, kNow).code,
            "accepted");
}

TEST_F(UpdateProcessorTest, KeysChangeOnlyGrantedNamesAndTypes) {
  const auto code = [&](const UpdateBuilder& s, const Key& with) {
    return processor->take(request(s, with), keys, kNow).code;
  };
  EXPECT_EQ(code(UpdateBuilder().add(kService, Type::SRV, srv(kNew)), limited), "accepted");
  EXPECT_EQ(code(UpdateBuilder().add(kNew, Type::A, a("10.1.0.9")), limited), "not-granted");
  EXPECT_EQ(code(UpdateBuilder().add(kService, Type::TXT, std::string("\1x", 2)), limited), "not-granted");
  EXPECT_EQ(code(UpdateBuilder().change(kService, kTypeAny, kClassAny), limited), "not-granted")
      << "deletion of all types needs a grant for all types";
  EXPECT_EQ(code(UpdateBuilder().change(kService, kTypeAny, kClassAny), key), "accepted");
}

TEST_F(UpdateProcessorTest, UnsignedAndInvalidlySignedUpdatesChangeNothing) {
  const std::string plain = encodeMessage(UpdateBuilder().add(kNew, Type::A, a("10.1.0.9")).m);
  const auto withoutSignature = processor->take(plain, keys, kNow);
  EXPECT_EQ(withoutSignature.code, "unsigned");
  EXPECT_EQ(rcodeOfReply(withoutSignature.answer), Rcode::Refused);
  std::string mac;
  const std::string other =
      sign(plain, keyNamed("ops.example.org", Algorithm::HmacSha256, "wrong"), kNow, mac);
  const auto forged = processor->take(other, keys, kNow);
  EXPECT_EQ(forged.code, "bad-signature");
  EXPECT_EQ(rcodeOfReply(forged.answer), Rcode::NotAuth);
  const auto late = processor->take(
      request(UpdateBuilder().add(kNew, Type::A, a("10.1.0.9")), key, kNow - 1000), keys, kNow);
  EXPECT_EQ(late.code, "bad-time");
  EXPECT_TRUE(decodeMessage(late.answer)->tsigAt.has_value())
      << "signed, so that the client can trust the server time";
  EXPECT_EQ(processor->zone(), zone());
  EXPECT_TRUE(processor->take("short", keys, kNow).answer.empty());
  EXPECT_TRUE(processor->take(withoutSignature.answer, keys, kNow).answer.empty())
      << "responses are not answered";
}

// Guards against: one key adds records under ever new names until the process exceeds its memory limit.
TEST_F(UpdateProcessorTest, LimitsTheRecordsThatUpdatesAdd) {
  settings.growthBytes = 20 * recordMemory({kNew, Type::A, 60, "1234"});
  start(zone());
  const std::size_t before = processor->zone().records();
  int accepted = 0;
  for (int k = 0; k < 40; ++k) {
    const auto taken = processor->take(
        request(UpdateBuilder().add(kNew, Type::A, a("10.1.1." + std::to_string(k))), key), keys, kNow);
    accepted += taken.code == "accepted" ? 1 : 0;
    EXPECT_EQ(taken.rcode, k < 10 ? Rcode::NoError : Rcode::ServFail) << k;
    processor->begin();
    processor->settled(true, keys, kNow);
  }
  EXPECT_EQ(accepted, 10);
  EXPECT_EQ(processor->zone().records(), before + 10);
  EXPECT_EQ(processor->zone(), processor->durable()) << "a rejected update leaves nothing behind";
  const auto removal = processor->take(request(UpdateBuilder().change(kNew, 1, 255), key), keys, kNow);
  EXPECT_EQ(removal.code, "accepted") << "removing records is possible at the limit";
  const auto again =
      processor->take(request(UpdateBuilder().add(kNew, Type::A, a("10.1.2.1")), key), keys, kNow);
  EXPECT_EQ(again.code, "accepted") << "the removal has made room";
}

// Guards against: large updates that wait for the disk exceed the memory limit together.
TEST_F(UpdateProcessorTest, LimitsTheMemoryOfPendingChanges) {
  settings.grants.resize(1);
  settings.pendingBytes = 5 * pendingMemory({{}, {{kNew, Type::A, 60, "1234"}}}) + 4000;
  start(zone());
  int accepted = 0;
  for (int k = 0; k < 100; ++k) {
    const auto taken = processor->take(
        request(UpdateBuilder().add(kNew, Type::A, a("10.1.1." + std::to_string(k))), key), keys, kNow);
    accepted += taken.code == "accepted" ? 1 : 0;
  }
  EXPECT_GE(accepted, 5);
  EXPECT_LE(accepted, 11);
  processor->begin();
  processor->settled(true, keys, kNow);
  EXPECT_EQ(processor->take(request(UpdateBuilder().add(kNew, Type::A, a("10.1.3.1")), key), keys, kNow).code,
            "accepted");
}

// Guards against: a key that sends at full speed uses up a limit, so that the updates of other keys are
// rejected.
TEST(FairShareTest, OneClientLeavesRoomForTheOthers) {
  FairShare share(100, 3);
  const auto fill = [&](const std::string& client) {
    std::size_t taken = 0;
    while (share.allows(client, 1)) {
      share.take(client, 1);
      ++taken;
    }
    return taken;
  };
  EXPECT_EQ(fill("a"), 50u);
  EXPECT_EQ(fill("b"), 25u);
  EXPECT_EQ(fill("c"), 12u);
  share.release("a", 50);
  EXPECT_EQ(fill("d"), 31u);
  FairShare single(100, 1);
  EXPECT_TRUE(single.allows("a", 100));
  EXPECT_FALSE(single.allows("a", 101));
}

TEST_F(UpdateProcessorTest, RejectsUpdatesBeyondTheLimitOfRememberedRequests) {
  settings.remembered = 5;
  settings.grants.resize(1);  // the limit belongs to one key
  start(zone());
  for (int k = 0; k < 8; ++k) {
    const auto taken = processor->take(
        request(UpdateBuilder().add(kNew, Type::A, a("10.1.1." + std::to_string(k))), key), keys, kNow);
    EXPECT_EQ(taken.code, k < 5 ? "accepted" : "crowded") << k;
    if (taken.answered) continue;
    processor->begin();
    processor->settled(true, keys, kNow);
  }
  EXPECT_EQ(processor
                ->take(request(UpdateBuilder().add(kNew, Type::A, a("10.1.1.9")), key, kNow + 400), keys,
                       kNow + 400)
                .code,
            "accepted")
      << "accepted once the old requests have expired";
}

TEST_F(UpdateProcessorTest, AppliesRandomlyCorruptedRequestsAtMostOnce) {
  std::mt19937 random(8);
  const std::string good = request(UpdateBuilder().add(kNew, Type::A, a("10.1.0.9")), key);
  for (int round = 0; round < 5000; ++round) {
    std::string bytes = good;
    for (unsigned k = 1 + random() % 3; k > 0; --k) {
      const std::size_t at = 2 + random() % (bytes.size() - 2);
      bytes[at] = static_cast<char>(bytes[at] ^ (1 + random() % 255));
    }
    if (random() % 4 == 0) bytes.resize(random() % bytes.size());
    const auto taken = processor->take(bytes, keys, kNow);
    EXPECT_TRUE(taken.answered || taken.code == "accepted" || taken.code == "repeated") << taken.code;
  }
  // The case of names is insignificant: a request that differs only in it is the same update, applied once.
  EXPECT_LE(processor->zone().serial(), 8u);
}

}  // namespace
}  // namespace peargrade::dns_zone
