// Transaction signatures (TSIG, RFC 8945) with HMAC-SHA256 and HMAC-SHA512 from OpenSSL: keys, signing and
// verification with the errors of the RFC. No I/O, no clock.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "dns_zone/message.h"

namespace peargrade::dns_zone {

/// Secret bytes on memory pages of their own, which are excluded from core dumps and wiped on destruction. It
/// deliberately has no way to be printed.
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
  std::size_t size_ = 0;    // bytes of the secret
  std::size_t mapped_ = 0;  // bytes of its pages
};

/// RFC 8945, section 6.
enum class Algorithm { HmacSha256, HmacSha512 };
const char* nameOf(Algorithm algorithm);  // as on the wire: "hmac-sha256"

/// A shared key and its validity period.
struct Key {
  std::string name;  // canonical
  Algorithm algorithm = Algorithm::HmacSha256;
  std::shared_ptr<const Secret> secret;
  std::int64_t from = 0;           // start of the validity, Unix seconds
  std::int64_t until = INT64_MAX;  // end of the validity, Unix seconds
};

/// The configured keys; several at once allow key rotation.
class Keys {
 public:
  void put(Key key) { keys_[key.name] = std::move(key); }
  const Key* find(const std::string& name) const;
  /// The key if exactly one is configured, else null.
  const Key* only() const { return keys_.size() == 1 ? &keys_.begin()->second : nullptr; }
  std::size_t size() const { return keys_.size(); }

 private:
  std::map<std::string, Key> keys_;
};

/// The error field of a TSIG record (RFC 8945, section 3).
enum class TsigError { None = 0, BadSig = 16, BadKey = 17, BadTime = 18, BadTrunc = 22 };

/// The result of verifying a signature.
struct Checked {
  Rcode rcode = Rcode::NoError;  // FormErr or NotAuth if the signature is rejected
  TsigError error = TsigError::None;
  std::string why;             // for the log; never contains key material
  std::string key;             // name of the key
  std::string mac;             // of the request
  std::uint64_t signedAt = 0;  // Unix seconds
  std::uint16_t fudge = 0;
};

inline constexpr std::uint16_t kFudge = 300;  // seconds; a larger fudge of a peer is reduced to this

/// Verifies the signature of `message`, the received bytes; `decoded` is the same message decoded.
/// `requestMac`: for a response, the MAC of its request.
Checked check(const std::string& message, const Message& decoded, const Keys& keys, std::int64_t now,
              const std::string& requestMac = "");

/// Returns the message with a TSIG record appended. Sets `mac`, which the response to it must cover.
std::string sign(const std::string& message, const Key& key, std::int64_t now, std::string& mac,
                 const std::string& requestMac = "", TsigError error = TsigError::None);
/// The response to a request whose signature was rejected: signed only for BadTime (RFC 8945, section 5.2).
std::string signRefusal(const std::string& message, const Checked& checked, const Keys& keys,
                        std::int64_t now);

}  // namespace peargrade::dns_zone
