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

constexpr std::size_t kMaxFileBytes = 65536;
constexpr std::size_t kMinSecretBytes = 16;

/// A text that is erased from memory on destruction.
struct SecretText {
  std::string text;
  ~SecretText() {
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

std::string formatProblem(const std::string& file, kdl::Place at, const std::string& what) {
  return file + ":" + std::to_string(at.line) + ":" + std::to_string(at.column) + ": " + what;
}

/// Parses one `key` node and adds the key if the complete node is valid.
class KeyNode {
 public:
  KeyNode(const std::string& file, dns_zone::Keys& keys, std::vector<std::string>& problems)
      : file_(file), keys_(keys), problems_(problems) {}

  void read(kdl::Node& node) {
    readName(node);
    for (kdl::Property& p : node.properties) readProperty(p);
    if (valid_ && !hasSecret_) addProblem(node.place, "expected secret=\"BASE64\"");
    if (valid_ && keys_.find(key_.name) != nullptr) addProblem(node.place, "expected a unique key name");
    if (!valid_) return;
    key_.secret = std::make_shared<dns_zone::Secret>(secret_.text);
    keys_.put(std::move(key_));
  }

 private:
  void addProblem(kdl::Place at, const std::string& what) {
    problems_.push_back(formatProblem(file_, at, what));
    valid_ = false;
  }

  void readName(const kdl::Node& node) {
    if (node.name != "key" || node.arguments.size() != 1 ||
        node.arguments[0].kind != kdl::Value::Kind::Text || !node.children.empty())
      addProblem(node.place, "expected key \"NAME\" algorithm=... secret=...");
    else
      key_.name = node.arguments[0].text;
    for (char& c : key_.name) c = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    if (!key_.name.empty() && key_.name.back() == '.') key_.name.pop_back();
    if (valid_ && (key_.name.empty() || !dns_zone::encodeField(dns_zone::Type::NS, 0, key_.name)))
      addProblem(node.place, "expected a domain name as the name of the key");
  }

  void readProperty(kdl::Property& p) {
    const std::string& value = p.value.text;
    if (p.name == "algorithm") {
      if (value == "hmac-sha512")
        key_.algorithm = dns_zone::Algorithm::HmacSha512;
      else if (value != "hmac-sha256")
        addProblem(p.value.place, "expected \"hmac-sha256\" or \"hmac-sha512\"");
    } else if (p.name == "secret") {
      hasSecret_ = true;
      if (!decodeBase64(value, secret_.text) || secret_.text.size() < kMinSecretBytes)
        addProblem(p.value.place, "expected a secret of at least 16 bytes in base64");
      if (!p.value.text.empty()) OPENSSL_cleanse(p.value.text.data(), p.value.text.size());
    } else if (p.name == "from" || p.name == "until") {
      if (!readTime(value, p.name == "from" ? key_.from : key_.until))
        addProblem(p.value.place, "expected a time such as \"2026-12-01\" or \"2026-12-01T12:00:00Z\"");
    } else {
      addProblem(p.place, "expected one of: algorithm, secret, from, until");
    }
  }

  const std::string& file_;
  dns_zone::Keys& keys_;
  std::vector<std::string>& problems_;
  dns_zone::Key key_;
  SecretText secret_;
  bool hasSecret_ = false;
  bool valid_ = true;
};

}  // namespace

bool readTime(const std::string& text, std::int64_t& seconds) {
  std::tm utc{};
  char trailing = 0;
  const bool day =
      std::sscanf(text.c_str(), "%4d-%2d-%2d%c", &utc.tm_year, &utc.tm_mon, &utc.tm_mday, &trailing) == 3;
  const bool dayAndTime =
      !day && std::sscanf(text.c_str(), "%4d-%2d-%2dT%2d:%2d:%2dZ%c", &utc.tm_year, &utc.tm_mon, &utc.tm_mday,
                          &utc.tm_hour, &utc.tm_min, &utc.tm_sec, &trailing) == 6;
  if ((!day && !dayAndTime) || text.size() != (day ? 10u : 20u) || text.back() == ' ') return false;
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
  // Report the position only: the text found there may be a part of a secret.
  for (const kdl::Problem& p : document.problems)
    problems.push_back(formatProblem(file, p.place, "expected " + p.expected));
  for (kdl::Node& node : document.nodes) KeyNode(file, keys, problems).read(node);
  if (problems.empty() && keys.size() == 0) problems.push_back(file + ":1:1: expected at least one key");
  return problems.empty() ? keys : dns_zone::Keys{};
}

dns_zone::Keys readKeys(const std::string& path, std::vector<std::string>& problems) {
  const int fd = open(path.c_str(), O_RDONLY | O_CLOEXEC);
  struct stat status {};
  if (fd < 0 || fstat(fd, &status) != 0) {
    problems.push_back(path + ": " + std::strerror(errno));
    if (fd >= 0) close(fd);
    return {};
  }
  if (status.st_uid != geteuid() || (status.st_mode & 077) != 0) {
    problems.push_back(path +
                       ": the key file must be owned by this user and accessible to no others (mode 0600)");
    close(fd);
    return {};
  }
  SecretText contents;
  contents.text.resize(kMaxFileBytes + 1);
  std::size_t size = 0;
  for (ssize_t bytesRead; size <= kMaxFileBytes &&
                          (bytesRead = read(fd, contents.text.data() + size, kMaxFileBytes + 1 - size)) > 0;)
    size += static_cast<std::size_t>(bytesRead);
  close(fd);
  contents.text.resize(size);
  if (size > kMaxFileBytes) {
    problems.push_back(path + ": expected at most 64 KiB");
    return {};
  }
  return parseKeys(contents.text, path, problems);
}

}  // namespace peargrade::zone_server
