// Transaction signatures (RFC 8945) by HMAC-SHA256 and HMAC-SHA512 of OpenSSL: keys, signing, and the check
// with the error that the RFC names. Free of I/O and clock.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "dns_zone/message.h"

namespace peargrade::dns_zone {

// Bytes that nobody else sees: on a page of their own that goes into no core dump, wiped at the end. It has
// no way to be printed.
class Secret {
 public:
  explicit Secret(const std::string& bytes);
  ~Secret();
  Secret(const Secret&) = delete;
  Secret& operator=(const Secret&) = delete;
  const unsigned char* data() const { return data_; }
  std::size_t size() const { return size_; }

 private:
  unsigned char* data_ = nullptr;
  std::size_t size_ = 0, mapped_ = 0;
};

// RFC 8945, section 6.
enum class Algorithm { HmacSha256, HmacSha512 };
const char* nameOf(Algorithm algorithm);  // as on the wire: "hmac-sha256"

// A shared key and the time in which it holds.
struct Key {
  std::string name;  // canonical
  Algorithm algorithm = Algorithm::HmacSha256;
  std::shared_ptr<const Secret> secret;
  std::int64_t from = 0, until = INT64_MAX;  // Unix seconds in which it holds
};

// Several keys at once, so that one can follow another.
class Keys {
 public:
  void put(Key key) { keys_[key.name] = std::move(key); }
  const Key* find(const std::string& name) const;
  const Key* only() const { return keys_.size() == 1 ? &keys_.begin()->second : nullptr; }
  std::size_t size() const { return keys_.size(); }

 private:
  std::map<std::string, Key> keys_;
};

// The error field of a TSIG record (RFC 8945, section 3).
enum class TsigError { None = 0, BadSig = 16, BadKey = 17, BadTime = 18, BadTrunc = 22 };

// What checking a signature has led to.
struct Checked {
  Rcode rcode = Rcode::NoError;  // FormErr or NotAuth where it is not good
  TsigError error = TsigError::None;
  std::string why;             // for the log; never a part of a key
  std::string key;             // its name
  std::string mac;             // of the request
  std::uint64_t signedAt = 0;  // Unix seconds
  std::uint16_t fudge = 0;
};

inline constexpr std::uint16_t kFudge = 300;  // seconds; a greater one of a peer counts as this

// `message` as it came and `decoded` from it, which has a tsigAt. `requestMac`: where it is an answer, of
// what it answers.
Checked check(const std::string& message, const Message& decoded, const Keys& keys, std::int64_t now,
              const std::string& requestMac = "");

// The message with a signature behind it. `mac` gets what an answer is to be bound to.
std::string sign(const std::string& message, const Key& key, std::int64_t now, std::string& mac,
                 const std::string& requestMac = "", TsigError error = TsigError::None);
// The answer to a request whose signature was not good: unsigned but for BadTime (RFC 8945, section 5.2).
std::string signRefusal(const std::string& message, const Checked& checked, const Keys& keys,
                        std::int64_t now);

}  // namespace peargrade::dns_zone
