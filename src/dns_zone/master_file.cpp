#include "dns_zone/master_file.h"

#include <algorithm>
#include <tao/pegtl.hpp>

namespace peargrade::dns_zone {
namespace {

namespace p = tao::pegtl;

struct Token {
  std::string text;
  bool quoted = false;
  std::size_t line = 1;
  std::size_t column = 1;
};
struct Entry {
  std::vector<Token> words;
  bool indented = false;  // begins with white space: takes the previous owner name
  std::size_t line = 1;
};

// ---- Tokenizer ----

struct State {
  std::vector<Entry> entries;
  Entry entry;
  int depth = 0;
  p::position opened{0, 1, 1, ""};
  bool atStart = true;
};

struct eol : p::sor<p::string<'\r', '\n'>, p::one<'\n'>> {};
struct blank : p::plus<p::one<' ', '\t'>> {};
struct comment : p::seq<p::one<';'>, p::star<p::not_at<eol>, p::any>> {};
struct open_paren : p::one<'('> {};
struct close_paren : p::one<')'> {};
struct escaped : p::seq<p::one<'\\'>, p::sor<p::rep<3, p::digit>, p::not_one<'\n', '\r'>>> {};
struct quoted_end : p::one<'"'> {};
struct quoted_text : p::star<p::sor<escaped, p::not_one<'"', '\\', '\n', '\r'>>> {};
struct quoted : p::if_must<p::one<'"'>, quoted_text, quoted_end> {};
struct word : p::plus<p::sor<escaped, p::not_one<' ', '\t', '\r', '\n', ';', '(', ')', '"', '\\'>>> {};
struct piece : p::sor<eol, blank, comment, open_paren, close_paren, quoted, word> {};
struct all : p::until<p::eof, p::must<piece>> {};

// Decodes the escapes \DDD and \X (RFC 1035, section 5.1).
std::string unescape(const std::string& text) {
  std::string plain;
  for (std::size_t k = 0; k < text.size(); ++k) {
    if (text[k] != '\\') {
      plain += text[k];
    } else if (k + 3 < text.size() && text[k + 1] >= '0' && text[k + 1] <= '9') {
      plain += static_cast<char>(std::stoi(text.substr(k + 1, 3)));
      k += 3;
    } else {
      plain += text[++k];
    }
  }
  return plain;
}

void endEntry(State& s) {
  if (!s.entry.words.empty()) s.entries.push_back(std::move(s.entry));
  s.entry = {};
  s.atStart = true;
}

template <class Rule>
struct action : p::nothing<Rule> {};
template <>
struct action<eol> {
  static void apply0(State& s) {
    if (s.depth == 0) endEntry(s);
  }
};
template <>
struct action<blank> {
  static void apply0(State& s) {
    if (s.atStart) s.entry.indented = true;
    s.atStart = false;
  }
};
template <>
struct action<open_paren> {
  template <class Input>
  static void apply(const Input& in, State& s) {
    s.atStart = false;
    if (s.depth++ == 0) s.opened = in.position();
  }
};
template <>
struct action<close_paren> {
  template <class Input>
  static void apply(const Input& in, State& s) {
    if (s.depth-- == 0) throw p::parse_error("( before )", in.position());
  }
};
template <class Input>
void take(const Input& in, State& s, bool quotes) {
  const auto at = in.position();
  if (s.entry.words.empty()) s.entry.line = at.line;
  s.entry.words.push_back({quotes ? unescape(in.string()) : in.string(), quotes, at.line, at.column});
  s.atStart = false;
}
template <>
struct action<quoted_text> {
  template <class Input>
  static void apply(const Input& in, State& s) {
    take(in, s, true);
  }
};
template <>
struct action<word> {
  template <class Input>
  static void apply(const Input& in, State& s) {
    take(in, s, false);
  }
};

template <class Rule>
constexpr const char* expected = "a record";
template <>
constexpr const char* expected<quoted_end> = "\" at the end of the text";

template <class Rule>
struct control : p::normal<Rule> {
  template <class Input, class... States>
  [[noreturn]] static void raise(const Input& in, States&&...) {
    throw p::parse_error(expected<Rule>, in);
  }
};

// ---- Records ----

bool readPeriod(const std::string& text, std::uint32_t& seconds) {
  if (text.empty() || text[0] < '0' || text[0] > '9') return false;
  std::uint64_t sum = 0;
  std::uint64_t number = 0;
  bool open = false;
  for (const char c : text) {
    if (c >= '0' && c <= '9') {
      number = number * 10 + static_cast<std::uint64_t>(c - '0');
      open = true;
      if (number > 0x7FFFFFFF) return false;
      continue;
    }
    const std::string units = "smhdwSMHDW";
    const std::uint64_t sizes[] = {1, 60, 3600, 86400, 604800};
    const auto unit = units.find(c);
    if (unit == std::string::npos || !open) return false;
    sum += number * sizes[unit % 5];
    number = 0;
    open = false;
  }
  sum += number;
  if (sum > 0x7FFFFFFF) return false;
  seconds = static_cast<std::uint32_t>(sum);
  return true;
}

bool isClass(const std::string& text) {
  for (const char* name : {"IN", "in", "In", "CH", "HS", "CS", "ch", "hs"}) {
    if (text == name) return true;
  }
  return false;
}

class Reader {
 public:
  Reader(const std::string& origin, const ReadFile& read, const MasterFileBounds& bounds)
      : read_(read), bounds_(bounds), origin_(origin) {
    result_.zone = Zone(origin);
  }

  Reading run(const std::string& path) {
    readFile(path, origin_, 0, nullptr);
    finish(path);
    return std::move(result_);
  }

 private:
  struct Context {
    std::string path;
    std::string origin;
    std::string owner;
    bool hasOwner = false;
  };

  bool full() const { return result_.mistakes.size() >= bounds_.mistakes; }
  void addMistake(const std::string& path, const Token& at, const std::string& found,
                  const std::string& expectation) {
    if (!full()) result_.mistakes.push_back({path, at.line, at.column, found, expectation});
  }
  static std::string quote(const Token& t) { return "'" + t.text + "'"; }

  // Reads one file with all its includes. `from`: file and token of the $INCLUDE directive; null for the
  // first file.
  void readFile(const std::string& path, const std::string& origin, int depth,
                const std::pair<std::string, Token>* from) {
    const auto report = [&](const std::string& found, const std::string& expectation) {
      if (from != nullptr)
        addMistake(from->first, from->second, found, expectation);
      else
        addMistake(path, {}, found, expectation);
    };
    if (depth > bounds_.includes)
      return report("includes more than " + std::to_string(bounds_.includes) + " deep",
                    "no cycle of includes");
    std::string text, why;
    if (!read_(path, text, why)) return report("'" + path + "': " + why, "a file that can be read");
    result_.files.push_back(path);
    State state;
    p::memory_input<> in(text, path);
    try {
      p::parse<all, action, control>(in, state);
      if (state.depth > 0)
        addMistake(path, {"", false, state.opened.line, state.opened.column}, "( without )",
                   ") before the end of the file");
      else
        endEntry(state);
    } catch (const p::parse_error& e) {
      const p::position at = e.positions().front();
      addMistake(path, {"", false, at.line, at.column},
                 at.byte >= text.size()                           ? "the end of the file"
                 : text[at.byte] == '\n' || text[at.byte] == '\r' ? "the end of the line"
                                                                  : std::string("'") + text[at.byte] + "'",
                 std::string(e.message()));
    }
    Context context{path, origin, "", false};
    for (const Entry& entry : state.entries) {
      if (full()) return;
      readEntry(entry, context, depth);
    }
  }

  void readEntry(const Entry& entry, Context& c, int depth) {
    const Token& first = entry.words[0];
    if (!entry.indented && !first.quoted && first.text[0] == '$') return readDirective(entry, c, depth);
    readRecord(entry, c);
  }

  void readDirective(const Entry& entry, Context& c, int depth) {
    const Token& what = entry.words[0];
    const auto words = entry.words.size();
    if (what.text == "$ORIGIN") {
      if (words != 2)
        return addMistake(c.path, what, std::to_string(words - 1) + " words", "$ORIGIN and one name");
      parseName(entry.words[1], c, c.origin);
    } else if (what.text == "$TTL") {
      if (words != 2 || !readPeriod(entry.words[1].text, ttl_))
        return addMistake(c.path, words > 1 ? entry.words[1] : what,
                          words > 1 ? quote(entry.words[1]) : "nothing",
                          "seconds, or a number with s, m, h, d or w");
      hasTtl_ = true;
    } else if (what.text == "$INCLUDE") {
      if (words != 2 && words != 3)
        return addMistake(c.path, what, std::to_string(words - 1) + " words",
                          "$INCLUDE, a path and optionally an origin");
      const Token& path = entry.words[1];
      std::string origin = c.origin;
      if (words == 3 && !parseName(entry.words[2], c, origin)) return;
      if (path.text.empty() || path.text[0] == '/' ||
          ("/" + path.text + "/").find("/../") != std::string::npos)
        return addMistake(c.path, path, quote(path), "a path within the folder of the zone");
      const std::pair<std::string, Token> from{c.path, path};
      readFile(path.text, origin, depth + 1, &from);
    } else {
      addMistake(c.path, what, quote(what), "$ORIGIN, $TTL, $INCLUDE or a record");
    }
  }

  // Converts a name of the file to its absolute, canonical form in `out`.
  bool parseName(const Token& t, const Context& c, std::string& out) {
    std::string text = t.text;
    if (text == "@") {
      out = c.origin;
      return true;
    }
    if (!text.empty() && text.back() != '.' && !c.origin.empty()) text += "." + c.origin;
    const auto wire = t.quoted ? std::nullopt : encodeField(Type::NS, 0, text);
    if (!wire) {
      addMistake(c.path, t, quote(t), "a domain name of letters, digits, - and _");
      return false;
    }
    std::size_t at = 0;
    out = *readName(*wire, at);
    return true;
  }

  void readRecord(const Entry& entry, Context& c) {
    std::size_t k = 0;
    if (!entry.indented) {
      if (!parseName(entry.words[k++], c, c.owner)) return;
      c.hasOwner = true;
    } else if (!c.hasOwner) {
      return addMistake(c.path, entry.words[0], "a record without a name", "a name at the start of the line");
    }
    std::uint32_t ttl = 0;
    bool hasTtl = false;
    bool hasClass = false;
    for (; k < entry.words.size(); ++k) {
      const Token& t = entry.words[k];
      if (!hasTtl && !t.quoted && readPeriod(t.text, ttl)) {
        hasTtl = true;
      } else if (!hasClass && isClass(t.text)) {
        hasClass = true;
        if (t.text[0] != 'I' && t.text[0] != 'i') return addMistake(c.path, t, quote(t), "class IN");
      } else {
        break;
      }
    }
    const Token end{"", false, entry.words.back().line,
                    entry.words.back().column + entry.words.back().text.size()};
    if (k == entry.words.size()) return addMistake(c.path, end, "the end of the record", "a record type");
    const Token& typeWord = entry.words[k];
    const auto type = typeWord.quoted ? std::nullopt : typeNamed(typeWord.text);
    if (!type)
      return addMistake(c.path, typeWord, quote(typeWord), "a type: A, AAAA, CNAME, NS, SOA, SRV or TXT");
    ++k;
    Record r{c.owner, *type, ttl, ""};
    if (!readData(entry, k, end, c, r)) return;
    if (!hasTtl) {
      if (hasTtl_) {
        r.ttl = ttl_;
      } else if (hasLastTtl_) {
        r.ttl = lastTtl_;
      } else if (*type == Type::SOA) {
        r.ttl = soaOf(r.data)->negative;  // default if no TTL is stated (RFC 2308)
      } else {
        return addMistake(c.path, typeWord, "a record without a TTL",
                          "a TTL before the type, or $TTL before the record");
      }
    }
    lastTtl_ = r.ttl;
    hasLastTtl_ = true;
    addRecord(r, entry.words[0], c);
  }

  bool readData(const Entry& entry, std::size_t k, const Token& end, const Context& c, Record& r) {
    const std::vector<Field>& fields = fieldsOf(r.type);
    const bool texts = r.type == Type::TXT;
    const std::size_t count = texts ? std::max<std::size_t>(1, entry.words.size() - k) : fields.size();
    for (std::size_t f = 0; f < count; ++f) {
      const Field& field = fields[texts ? 0 : f];
      if (k >= entry.words.size()) {
        addMistake(c.path, end, "the end of the record", std::string(field.name) + ", " + field.expected);
        return false;
      }
      const Token& t = entry.words[k++];
      std::string text = t.quoted || !texts ? t.text : unescape(t.text);
      const bool isName = std::string(field.expected) == "a domain name";
      if (isName && t.text == "@") text = c.origin + ".";
      if (isName && !text.empty() && text.back() != '.') text += "." + c.origin + ".";
      const auto bytes = t.quoted && !texts ? std::nullopt : encodeField(r.type, texts ? 0 : f, text);
      if (!bytes) {
        addMistake(c.path, t, quote(t) + " as " + field.name, field.expected);
        return false;
      }
      r.data += *bytes;
    }
    if (k < entry.words.size()) {
      addMistake(c.path, entry.words[k], quote(entry.words[k]), "the end of the record");
      return false;
    }
    return true;
  }

  void addRecord(const Record& r, const Token& at, const Context& c) {
    const std::string& origin = result_.zone.origin();
    if (!within(r.name, origin)) return addMistake(c.path, at, "'" + r.name + "'", "a name within " + origin);
    if (r.type == Type::SOA && r.name != origin)
      return addMistake(c.path, at, "an SOA at " + r.name, "the SOA at " + origin);
    if (r.type == Type::SOA && result_.zone.find(origin, Type::SOA) != nullptr)
      return addMistake(c.path, at, "a second SOA", "one SOA");
    if (result_.zone.records() >= bounds_.records)
      return addMistake(c.path, at, "too many records", "at most " + std::to_string(bounds_.records));
    const Zone::Set* existing = result_.zone.find(r.name, r.type);
    const Mistake position{c.path, at.line, at.column, "", ""};
    if (existing != nullptr && existing->data.count(r.data) != 0) {
      addWarning(position, "a duplicate record", "each record once");
    } else if (existing != nullptr && existing->ttl != r.ttl) {
      addWarning(position, "a second TTL of " + r.name + " " + nameOf(r.type),
                 "one TTL for the RRset; the last one is used");
    }
    const bool alias = result_.zone.find(r.name, Type::CNAME) != nullptr;
    if ((r.type == Type::CNAME && result_.zone.hasName(r.name)) || (alias && r.type != Type::CNAME))
      return addMistake(c.path, at, "a CNAME and other records of " + r.name, "a CNAME alone");
    result_.zone.add(r);
    if (r.type == Type::SRV) targets_.push_back({srvOf(r.data)->target, position});
  }

  void addWarning(Mistake position, const std::string& found, const std::string& expectation) {
    position.found = found;
    position.expected = expectation;
    if (result_.doubts.size() < bounds_.mistakes) result_.doubts.push_back(position);
  }

  void finish(const std::string& path) {
    if (result_.mistakes.empty() && result_.zone.find(result_.zone.origin(), Type::SOA) == nullptr)
      addMistake(path, {}, "no SOA", "an SOA at " + result_.zone.origin());
    for (const auto& [target, position] : targets_) {
      if (target.empty() || !within(target, result_.zone.origin())) continue;
      const bool hasAddress = result_.zone.find(target, Type::A) != nullptr ||
                              result_.zone.find(target, Type::AAAA) != nullptr ||
                              result_.zone.find(target, Type::CNAME) != nullptr;
      if (!hasAddress)
        addWarning(position, "the target " + target + " without an address",
                   "an A or AAAA record of the target");
    }
  }

  const ReadFile& read_;
  const MasterFileBounds& bounds_;
  const std::string origin_;
  Reading result_;
  std::uint32_t ttl_ = 0;
  std::uint32_t lastTtl_ = 0;
  bool hasTtl_ = false;
  bool hasLastTtl_ = false;
  std::vector<std::pair<std::string, Mistake>> targets_;
};

}  // namespace

Reading readMasterFile(const std::string& path, const std::string& origin, const ReadFile& read,
                       const MasterFileBounds& bounds) {
  return Reader(origin, read, bounds).run(path);
}

std::string writeMasterFile(const Zone& zone) {
  std::string text = "$ORIGIN " + zone.origin() + ".\n";
  for (const Record& r : zone.all())
    text +=
        r.name + ". " + std::to_string(r.ttl) + " IN " + nameOf(r.type) + " " + textOf(r.type, r.data) + "\n";
  return text;
}

}  // namespace peargrade::dns_zone
