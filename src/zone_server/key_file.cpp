#include "zone_server/key_file.h"

#include <fcntl.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <ctime>

#include "kdl/kdl.h"

namespace peargrade::zone_server {
namespace {

constexpr std::size_t kFileMost = 65536;
constexpr std::size_t kSecretLeast = 16;  // bytes

// Wipes what it held when it goes.
struct Wiped {
  std::string text;
  ~Wiped() {
    if (!text.empty()) OPENSSL_cleanse(text.data(), text.size());
  }
};

bool decodeBase64(const std::string& text, std::string& bytes) {
  if (text.empty() || text.size() % 4 != 0 || text.size() > 4096) return false;
  bytes.resize(text.size() / 4 * 3);
  const int size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
  if (size < 0) return false;
  std::size_t padding = 0;
  for (std::size_t k = text.size(); k > 0 && text[k - 1] == '='; --k) ++padding;
  if (padding > 2) return false;
  bytes.resize(static_cast<std::size_t>(size) - padding);
  return true;
}

std::string lineOf(const std::string& file, kdl::Place at, const std::string& what) {
  return file + ":" + std::to_string(at.line) + ":" + std::to_string(at.column) + ": " + what;
}

// Reads one `key` node into the keys, if all of it is good.
class KeyNode {
 public:
  KeyNode(const std::string& file, dns_zone::Keys& keys, std::vector<std::string>& problems)
      : file_(file), keys_(keys), problems_(problems) {}

  void read(kdl::Node& node) {
    readName(node);
    for (kdl::Property& p : node.properties) readProperty(p);
    if (good_ && !hasSecret_) bad(node.place, "expected secret=\"BASE64\"");
    if (good_ && keys_.find(key_.name) != nullptr) bad(node.place, "expected a name of its own for each key");
    if (!good_) return;
    key_.secret = std::make_shared<dns_zone::Secret>(secret_.text);
    keys_.put(std::move(key_));
  }

 private:
  void bad(kdl::Place at, const std::string& what) {
    problems_.push_back(lineOf(file_, at, what));
    good_ = false;
  }

  void readName(const kdl::Node& node) {
    if (node.name != "key" || node.arguments.size() != 1 ||
        node.arguments[0].kind != kdl::Value::Kind::Text || !node.children.empty())
      bad(node.place, "expected key \"NAME\" algorithm=... secret=...");
    else
      key_.name = node.arguments[0].text;
    for (char& c : key_.name) c = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    if (!key_.name.empty() && key_.name.back() == '.') key_.name.pop_back();
    if (good_ && (key_.name.empty() || !dns_zone::encodeField(dns_zone::Type::NS, 0, key_.name)))
      bad(node.place, "expected a domain name as the name of the key");
  }

  void readProperty(kdl::Property& p) {
    const std::string& value = p.value.text;
    if (p.name == "algorithm") {
      if (value == "hmac-sha512")
        key_.algorithm = dns_zone::Algorithm::HmacSha512;
      else if (value != "hmac-sha256")
        bad(p.value.place, "expected \"hmac-sha256\" or \"hmac-sha512\"");
    } else if (p.name == "secret") {
      hasSecret_ = true;
      if (!decodeBase64(value, secret_.text) || secret_.text.size() < kSecretLeast)
        bad(p.value.place, "expected a secret of at least 16 bytes in base64");
      if (!p.value.text.empty()) OPENSSL_cleanse(p.value.text.data(), p.value.text.size());
    } else if (p.name == "from" || p.name == "until") {
      if (!readTime(value, p.name == "from" ? key_.from : key_.until))
        bad(p.value.place, "expected a time such as \"2026-12-01\" or \"2026-12-01T12:00:00Z\"");
    } else {
      bad(p.place, "expected one of: algorithm, secret, from, until");
    }
  }

  const std::string& file_;
  dns_zone::Keys& keys_;
  std::vector<std::string>& problems_;
  dns_zone::Key key_;
  Wiped secret_;
  bool hasSecret_ = false, good_ = true;
};

}  // namespace

bool readTime(const std::string& text, std::int64_t& seconds) {
  std::tm utc{};
  char rest = 0;
  const bool day =
      std::sscanf(text.c_str(), "%4d-%2d-%2d%c", &utc.tm_year, &utc.tm_mon, &utc.tm_mday, &rest) == 3;
  const bool moment =
      !day && std::sscanf(text.c_str(), "%4d-%2d-%2dT%2d:%2d:%2dZ%c", &utc.tm_year, &utc.tm_mon, &utc.tm_mday,
                          &utc.tm_hour, &utc.tm_min, &utc.tm_sec, &rest) == 6;
  if ((!day && !moment) || text.size() != (day ? 10u : 20u) || text.back() == ' ') return false;
  if (utc.tm_mon < 1 || utc.tm_mon > 12 || utc.tm_mday < 1 || utc.tm_mday > 31 || utc.tm_hour > 23 ||
      utc.tm_min > 59)
    return false;
  utc.tm_year -= 1900;
  utc.tm_mon -= 1;
  seconds = timegm(&utc);
  return true;
}

dns_zone::Keys parseKeys(const std::string& text, const std::string& file,
                         std::vector<std::string>& problems) {
  dns_zone::Keys keys;
  kdl::Document document = kdl::parse(text);
  // What was found may be a part of a secret: the place has to do.
  for (const kdl::Problem& p : document.problems)
    problems.push_back(lineOf(file, p.place, "expected " + p.expected));
  for (kdl::Node& node : document.nodes) KeyNode(file, keys, problems).read(node);
  if (problems.empty() && keys.size() == 0) problems.push_back(file + ":1:1: expected a key at least");
  return problems.empty() ? keys : dns_zone::Keys{};
}

dns_zone::Keys readKeys(const std::string& path, std::vector<std::string>& problems) {
  const int fd = open(path.c_str(), O_RDONLY | O_CLOEXEC);
  struct stat about {};
  if (fd < 0 || fstat(fd, &about) != 0) {
    problems.push_back(path + ": " + std::strerror(errno));
    if (fd >= 0) close(fd);
    return {};
  }
  if (about.st_uid != geteuid() || (about.st_mode & 077) != 0) {
    problems.push_back(path + ": keys must belong to this user and be closed to others (mode 0600)");
    close(fd);
    return {};
  }
  Wiped text;
  text.text.resize(kFileMost + 1);
  std::size_t size = 0;
  for (ssize_t got; size <= kFileMost && (got = read(fd, text.text.data() + size, kFileMost + 1 - size)) > 0;)
    size += static_cast<std::size_t>(got);
  close(fd);
  text.text.resize(size);
  if (size > kFileMost) {
    problems.push_back(path + ": more than 64 KiB");
    return {};
  }
  return parseKeys(text.text, path, problems);
}

}  // namespace peargrade::zone_server
