#include "zone_server/update_script.h"

#include <algorithm>
#include <sstream>

namespace peargrade::zone_server {
namespace {

struct Word {
  std::string text;
  std::size_t column;
};

// Words of a line; a text in quotes is one, with \" and \\ within.
std::vector<Word> wordsOf(const std::string& line) {
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

  // Reads one line into the update `m`.
  void line(std::size_t number, const std::vector<Word>& words, dns_zone::Message& m) {
    number_ = number;
    const std::string& verb = words[0].text;
    dns_zone::RawRecord r;
    if (verb != "need" && verb != "need-not" && verb != "add" && verb != "delete")
      return wrong(words[0], "expected need, need-not, add or delete");
    if (words.size() < 2) return wrong(words[0], "expected a name after " + verb);
    if (!name(words[1], r.name)) return;
    std::size_t at = 2;
    if (verb == "add" && !lifetime(words, at, r.ttl)) return;
    bool withData = false;
    if (!typeAndData(words, at, r, withData)) return;
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
  void wrong(const Word& at, const std::string& what) {
    problems_.push_back(file_ + ":" + std::to_string(number_) + ":" + std::to_string(at.column) +
                        ": found '" + at.text + "', " + what);
  }
  std::string whole(const std::string& text) const {
    if (text == "@") return origin_ + ".";
    return text.empty() || text.back() == '.' ? text : text + "." + origin_ + ".";
  }
  bool lifetime(const std::vector<Word>& words, std::size_t& at, std::uint32_t& ttl) {
    if (words.size() < 5) {
      wrong(words.back(), "expected add NAME TTL TYPE DATA");
      return false;
    }
    const std::string& text = words[at].text;
    if (text.empty() || text.size() > 9 || text.find_first_not_of("0123456789") != std::string::npos) {
      wrong(words[at], "expected a lifetime in seconds");
      return false;
    }
    ttl = static_cast<std::uint32_t>(std::stoul(text));
    ++at;
    return true;
  }
  // Both may be left out; `withData` says whether there is data.
  bool typeAndData(const std::vector<Word>& words, std::size_t at, dns_zone::RawRecord& r, bool& withData) {
    r.type = dns_zone::kTypeAny;
    if (at >= words.size()) return true;
    const auto type = dns_zone::typeNamed(words[at].text);
    if (!type) {
      wrong(words[at], "expected a type: A, AAAA, CNAME, NS, SOA, SRV or TXT");
      return false;
    }
    r.type = static_cast<std::uint16_t>(*type);
    withData = ++at < words.size();
    if (!withData) return true;
    if (words[0].text == "need-not") {
      wrong(words[at], "expected nothing after the type");
      return false;
    }
    return data(words, at, *type, r.data);
  }
  bool name(const Word& word, std::string& out) {
    const auto wire = dns_zone::encodeField(dns_zone::Type::NS, 0, whole(word.text));
    if (!wire) {
      wrong(word, "expected a domain name");
      return false;
    }
    std::size_t at = 0;
    out = *dns_zone::readName(*wire, at);
    return true;
  }
  bool data(const std::vector<Word>& words, std::size_t at, dns_zone::Type type, std::string& out) {
    const auto& fields = dns_zone::fieldsOf(type);
    const bool texts = type == dns_zone::Type::TXT;
    const std::size_t due = texts ? words.size() - at : fields.size();
    for (std::size_t f = 0; f < due; ++f) {
      const dns_zone::Field& field = fields[texts ? 0 : f];
      if (at >= words.size()) {
        wrong(words.back(), std::string("expected ") + field.name + " behind it, " + field.expected);
        return false;
      }
      const bool isName = std::string(field.expected) == "a domain name";
      const auto bytes =
          dns_zone::encodeField(type, texts ? 0 : f, isName ? whole(words[at].text) : words[at].text);
      if (!bytes) {
        wrong(words[at], std::string("expected ") + field.expected + " as " + field.name);
        return false;
      }
      out += *bytes;
      ++at;
    }
    if (at == words.size()) return true;
    wrong(words[at], "expected the end of the line");
    return false;
  }

  const std::string& file_;
  const std::string& origin_;
  std::vector<std::string>& problems_;
  std::size_t number_ = 0;
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
    const auto words = wordsOf(line);
    if (!words.empty()) script.line(number, words, m);
  }
  if (problems.empty() && m.answer.empty() && m.authority.empty())
    problems.push_back(file + ":1:1: found nothing to do, expected need, need-not, add or delete");
  return m;
}

}  // namespace peargrade::zone_server
