#include "dns_zone/tsig.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <sys/mman.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <new>

namespace peargrade::dns_zone {
namespace {

// Bytes. A MAC must also have at least half of its full size (RFC 8945, section 5.2.2.1).
constexpr std::size_t kMinMacSize = 10;

std::string u16(unsigned v) { return {static_cast<char>(v >> 8 & 255), static_cast<char>(v & 255)}; }
std::string u48(std::uint64_t v) {
  std::string bytes;
  for (int shift = 40; shift >= 0; shift -= 8) bytes += static_cast<char>(v >> shift & 255);
  return bytes;
}
std::uint64_t number(const std::string& bytes, std::size_t at, std::size_t size) {
  std::uint64_t value = 0;
  for (std::size_t k = 0; k < size; ++k) value = value << 8 | static_cast<unsigned char>(bytes[at + k]);
  return value;
}

const EVP_MD* digestOf(Algorithm a) { return a == Algorithm::HmacSha256 ? EVP_sha256() : EVP_sha512(); }
std::size_t sizeOf(Algorithm a) { return a == Algorithm::HmacSha256 ? 32 : 64; }

std::string hmac(const Key& key, const std::string& bytes) {
  unsigned char mac[EVP_MAX_MD_SIZE];
  unsigned size = 0;
  if (HMAC(digestOf(key.algorithm), key.secret->data(), static_cast<int>(key.secret->size()),
           reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), mac, &size) == nullptr)
    throw std::bad_alloc();
  return {reinterpret_cast<const char*>(mac), size};
}

struct TsigFields {
  std::string key;
  std::string algorithm;
  std::string mac;
  std::string other;
  std::uint64_t signedAt = 0;
  std::uint16_t fudge = 0;
  std::uint16_t originalId = 0;
  std::uint16_t error = 0;
};

// Parses a TSIG record; false if it is malformed.
bool parseTsig(const RawRecord& record, TsigFields& f) {
  if (record.cls != kClassAny || record.ttl != 0) return false;
  const std::string& data = record.data;
  f.key = record.name;
  std::size_t at = 0;
  const auto algorithm = readName(data, at);
  if (!algorithm || data.size() < at + 10) return false;
  f.algorithm = *algorithm;
  f.signedAt = number(data, at, 6);
  f.fudge = static_cast<std::uint16_t>(number(data, at + 6, 2));
  const std::size_t macSize = number(data, at + 8, 2);
  at += 10;
  if (data.size() < at + macSize + 6) return false;
  f.mac = data.substr(at, macSize);
  at += macSize;
  f.originalId = static_cast<std::uint16_t>(number(data, at, 2));
  f.error = static_cast<std::uint16_t>(number(data, at + 2, 2));
  const std::size_t otherSize = number(data, at + 4, 2);
  at += 6;
  if (data.size() != at + otherSize) return false;
  f.other = data.substr(at);
  return true;
}

// The bytes covered by the MAC (RFC 8945, section 4.3): request MAC, message without TSIG, TSIG variables.
std::string signedBytes(const std::string& plain, const std::string& requestMac, const TsigFields& f) {
  std::string bytes;
  if (!requestMac.empty()) bytes = u16(static_cast<unsigned>(requestMac.size())) + requestMac;
  bytes += plain;
  bytes += wireName(f.key) + u16(kClassAny) + u16(0) + u16(0) + wireName(f.algorithm) + u48(f.signedAt) +
           u16(f.fudge) + u16(f.error) + u16(static_cast<unsigned>(f.other.size())) + f.other;
  return bytes;
}

std::string encodeTsig(const TsigFields& f) {
  RawRecord r{f.key, kTypeTsig, kClassAny, 0, ""};
  r.data = wireName(f.algorithm) + u48(f.signedAt) + u16(f.fudge) + u16(static_cast<unsigned>(f.mac.size())) +
           f.mac + u16(f.originalId) + u16(f.error) + u16(static_cast<unsigned>(f.other.size())) + f.other;
  return encodeRecord(r);
}

std::string appendTsig(const std::string& message, const TsigFields& f) {
  std::string bytes = message;
  const std::string count = u16(static_cast<unsigned>(number(message, 10, 2) + 1));
  bytes[10] = count[0];
  bytes[11] = count[1];
  return bytes + encodeTsig(f);
}

}  // namespace

Secret::Secret(const std::string& bytes) : size_(bytes.size()) {
  const auto page = static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
  mapped_ = (std::max<std::size_t>(size_, 1) + page - 1) / page * page;
  void* at = mmap(nullptr, mapped_, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
  if (at == MAP_FAILED) throw std::bad_alloc();
  madvise(at, mapped_, MADV_DONTDUMP);
  mlock(at, mapped_);  // best effort: RLIMIT_MEMLOCK may forbid it
  data_ = static_cast<unsigned char*>(at);
  std::memcpy(data_, bytes.data(), size_);
}

Secret::~Secret() {
  OPENSSL_cleanse(data_, mapped_);
  munmap(data_, mapped_);
}

const char* nameOf(Algorithm algorithm) {
  return algorithm == Algorithm::HmacSha256 ? "hmac-sha256" : "hmac-sha512";
}

const Key* Keys::find(const std::string& name) const {
  const auto at = keys_.find(name);
  return at == keys_.end() ? nullptr : &at->second;
}

Checked check(const std::string& message, const Message& decoded, const Keys& keys, std::int64_t now,
              const std::string& requestMac) {
  Checked c;
  TsigFields f;
  const auto refuse = [&](Rcode rcode, TsigError error, const std::string& why) {
    c.rcode = rcode;
    c.error = error;
    c.why = why;
    return c;
  };
  if (!decoded.tsigAt || !parseTsig(decoded.tsig, f))
    return refuse(Rcode::FormErr, TsigError::None, "malformed TSIG record");
  c.key = f.key;
  c.signedAt = f.signedAt;
  c.fudge = std::min(f.fudge, kFudge);
  const Key* key = keys.find(f.key);
  if (key == nullptr || f.algorithm != nameOf(key->algorithm))
    return refuse(Rcode::NotAuth, TsigError::BadKey, "unknown key or algorithm");
  if (now < key->from || now > key->until)
    return refuse(Rcode::NotAuth, TsigError::BadKey, "key is outside its validity period");
  const std::size_t fullSize = sizeOf(key->algorithm);
  if (f.mac.size() > fullSize || f.mac.size() < std::max(kMinMacSize, fullSize / 2))
    return refuse(Rcode::FormErr, TsigError::None,
                  "invalid MAC size: " + std::to_string(f.mac.size()) + " bytes");
  std::string plain = message.substr(0, *decoded.tsigAt);
  const std::string id = u16(f.originalId);
  const std::string count = u16(static_cast<unsigned>(number(message, 10, 2) - 1));
  plain.replace(0, 2, id);
  plain.replace(10, 2, count);
  const std::string mac = hmac(*key, signedBytes(plain, requestMac, f));
  // Constant-time comparison, so that timing does not reveal how many bytes match.
  if (CRYPTO_memcmp(mac.data(), f.mac.data(), f.mac.size()) != 0)
    return refuse(Rcode::NotAuth, TsigError::BadSig, "MAC does not match");
  c.mac = f.mac;
  if (f.mac.size() < fullSize) return refuse(Rcode::NotAuth, TsigError::BadTrunc, "truncated MAC");
  const auto signedAt = static_cast<std::int64_t>(f.signedAt);
  if (signedAt > now + c.fudge || signedAt < now - c.fudge)
    return refuse(Rcode::NotAuth, TsigError::BadTime, "signed " + std::to_string(now - signedAt) + " s ago");
  if (!requestMac.empty() && f.error != 0)
    return refuse(Rcode::NotAuth, static_cast<TsigError>(f.error),
                  "peer reports TSIG error " + std::to_string(f.error));
  return c;
}

std::string sign(const std::string& message, const Key& key, std::int64_t now, std::string& mac,
                 const std::string& requestMac, TsigError error) {
  TsigFields f;
  f.key = key.name;
  f.algorithm = nameOf(key.algorithm);
  f.signedAt = static_cast<std::uint64_t>(now);
  f.fudge = kFudge;
  f.originalId = static_cast<std::uint16_t>(number(message, 0, 2));
  f.error = static_cast<std::uint16_t>(error);
  f.mac = mac = hmac(key, signedBytes(message, requestMac, f));
  return appendTsig(message, f);
}

std::string signRefusal(const std::string& message, const Checked& checked, const Keys& keys,
                        std::int64_t now) {
  if (checked.error == TsigError::None) return message;
  const Key* key = keys.find(checked.key);
  TsigFields f;
  f.key = checked.key;
  f.algorithm = nameOf(key == nullptr ? Algorithm::HmacSha256 : key->algorithm);
  f.signedAt = checked.signedAt;
  f.fudge = checked.fudge;
  f.originalId = static_cast<std::uint16_t>(number(message, 0, 2));
  f.error = static_cast<std::uint16_t>(checked.error);
  if (checked.error == TsigError::BadTime && key != nullptr) {
    f.other = u48(static_cast<std::uint64_t>(now));  // section 5.2.3: the server time
    f.mac = hmac(*key, signedBytes(message, checked.mac, f));
  }
  return appendTsig(message, f);
}

}  // namespace peargrade::dns_zone
