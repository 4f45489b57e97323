#include "zone_server/update_script.h"

#include <algorithm>
#include <sstream>

namespace peargrade::zone_server {
namespace {

struct Word {
  std::string text;
  std::size_t column;
};

/// Splits a line into words. A text in quotes is one word; \" and \\ are escapes in it. # begins a comment.
std::vector<Word> splitWords(const std::string& line) {
  std::vector<Word> words;
  for (std::size_t k = 0; k < line.size();) {
    if (line[k] == ' ' || line[k] == '\t' || line[k] == '\r') {
      ++k;
      continue;
    }
    if (line[k] == '#') break;
    Word word{"", k + 1};
    if (line[k] == '"') {
      for (++k; k < line.size() && line[k] != '"'; ++k)
        word.text += line[k] == '\\' && k + 1 < line.size() ? line[++k] : line[k];
      ++k;
    } else {
      while (k < line.size() && line[k] != ' ' && line[k] != '\t' && line[k] != '\r') word.text += line[k++];
    }
    words.push_back(word);
  }
  return words;
}

class UpdateScriptReader {
 public:
  UpdateScriptReader(const std::string& file, const std::string& origin, std::vector<std::string>& problems)
      : file_(file), origin_(origin), problems_(problems) {}

  /// Parses one statement and adds it to the update `m`.
  void readLine(std::size_t number, const std::vector<Word>& words, dns_zone::Message& m) {
    lineNumber_ = number;
    const std::string& verb = words[0].text;
    dns_zone::RawRecord r;
    if (verb != "need" && verb != "need-not" && verb != "add" && verb != "delete")
      return addProblem(words[0], "expected need, need-not, add or delete");
    if (words.size() < 2) return addProblem(words[0], "expected a name after " + verb);
    if (!readName(words[1], r.name)) return;
    std::size_t at = 2;
    if (verb == "add" && !readTtl(words, at, r.ttl)) return;
    bool withData = false;
    if (!readTypeAndData(words, at, r, withData)) return;
    const bool prerequisite = verb == "need" || verb == "need-not";
    if (verb == "need-not")
      r.cls = dns_zone::kClassNone;
    else if (verb == "add")
      r.cls = dns_zone::kIn;
    else if (prerequisite)
      r.cls = withData ? dns_zone::kIn : dns_zone::kClassAny;
    else
      r.cls = withData ? dns_zone::kClassNone : dns_zone::kClassAny;
    (prerequisite ? m.answer : m.authority).push_back(r);
  }

 private:
  void addProblem(const Word& at, const std::string& what) {
    problems_.push_back(file_ + ":" + std::to_string(lineNumber_) + ":" + std::to_string(at.column) +
                        ": found '" + at.text + "', " + what);
  }
  /// Appends the origin to a relative name.
  std::string absoluteName(const std::string& text) const {
    if (text == "@") return origin_ + ".";
    return text.empty() || text.back() == '.' ? text : text + "." + origin_ + ".";
  }
  bool readTtl(const std::vector<Word>& words, std::size_t& at, std::uint32_t& ttl) {
    if (words.size() < 5) {
      addProblem(words.back(), "expected add NAME TTL TYPE DATA");
      return false;
    }
    const std::string& text = words[at].text;
    if (text.empty() || text.size() > 9 || text.find_first_not_of("0123456789") != std::string::npos) {
      addProblem(words[at], "expected a TTL in seconds");
      return false;
    }
    ttl = static_cast<std::uint32_t>(std::stoul(text));
    ++at;
    return true;
  }
  /// Type and data are optional; `withData` is set if there is data.
  bool readTypeAndData(const std::vector<Word>& words, std::size_t at, dns_zone::RawRecord& r,
                       bool& withData) {
    r.type = dns_zone::kTypeAny;
    if (at >= words.size()) return true;
    const auto type = dns_zone::typeNamed(words[at].text);
    if (!type) {
      addProblem(words[at], "expected a type: A, AAAA, CNAME, NS, SOA, SRV or TXT");
      return false;
    }
    r.type = static_cast<std::uint16_t>(*type);
    withData = ++at < words.size();
    if (!withData) return true;
    if (words[0].text == "need-not") {
      addProblem(words[at], "expected nothing after the type");
      return false;
    }
    return readData(words, at, *type, r.data);
  }
  bool readName(const Word& word, std::string& out) {
    const auto wire = dns_zone::encodeField(dns_zone::Type::NS, 0, absoluteName(word.text));
    if (!wire) {
      addProblem(word, "expected a domain name");
      return false;
    }
    std::size_t at = 0;
    out = *dns_zone::readName(*wire, at);
    return true;
  }
  bool readData(const std::vector<Word>& words, std::size_t at, dns_zone::Type type, std::string& out) {
    const auto& fields = dns_zone::fieldsOf(type);
    const bool isTxt = type == dns_zone::Type::TXT;
    const std::size_t fieldCount = isTxt ? words.size() - at : fields.size();
    for (std::size_t f = 0; f < fieldCount; ++f) {
      const dns_zone::Field& field = fields[isTxt ? 0 : f];
      if (at >= words.size()) {
        addProblem(words.back(), std::string("expected ") + field.name + " after it, " + field.expected);
        return false;
      }
      const bool isName = std::string(field.expected) == "a domain name";
      const auto bytes =
          dns_zone::encodeField(type, isTxt ? 0 : f, isName ? absoluteName(words[at].text) : words[at].text);
      if (!bytes) {
        addProblem(words[at], std::string("expected ") + field.expected + " as " + field.name);
        return false;
      }
      out += *bytes;
      ++at;
    }
    if (at == words.size()) return true;
    addProblem(words[at], "expected the end of the line");
    return false;
  }

  const std::string& file_;
  const std::string& origin_;
  std::vector<std::string>& problems_;
  std::size_t lineNumber_ = 0;
};

}  // namespace

dns_zone::Message readUpdateScript(const std::string& text, const std::string& file,
                                   const std::string& origin, std::vector<std::string>& problems) {
  dns_zone::Message m;
  m.opcode = dns_zone::Opcode::Update;
  m.hasQuestion = true;
  m.name = origin;
  m.type = static_cast<std::uint16_t>(dns_zone::Type::SOA);
  UpdateScriptReader script(file, origin, problems);
  std::istringstream in(text);
  std::size_t number = 0;
  for (std::string line; std::getline(in, line);) {
    ++number;
    const auto words = splitWords(line);
    if (!words.empty()) script.readLine(number, words, m);
  }
  if (problems.empty() && m.answer.empty() && m.authority.empty())
    problems.push_back(file + ":1:1: found no statement, expected need, need-not, add or delete");
  return m;
}

}  // namespace peargrade::zone_server
