#include "kdl/kdl.h"

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <string_view>
#include <tao/pegtl.hpp>

namespace peargrade::kdl {
namespace {

namespace p = tao::pegtl;

// What the actions build up. A rule that can still fail has no action, so that nothing is ever taken back.
struct State {
  std::vector<Node> open;  // the node in the making and those it stands in
  std::vector<Node> done;
  std::string word, type;
  Place wordAt;
  Value value;
  int depth = 0;
};

// ---- Grammar, in the order and with the names of the published one ----

struct newline : p::sor<p::string<'\r', '\n'>, p::one<'\r', '\n', '\f'>, p::utf8::one<0x85, 0x2028, 0x2029>> {
};
struct uspace : p::sor<p::utf8::one<' ', '\t', 0xFEFF, 0xA0, 0x1680, 0x202F, 0x205F, 0x3000>,
                       p::utf8::range<0x2000, 0x200A>> {};

// Counts how deep the text nests; without it a file of braces would exhaust the stack.
struct enter {
  using rule_t = enter;
  using subs_t = p::empty_list;
  template <p::apply_mode, p::rewind_mode, template <typename...> class, template <typename...> class,
            typename Input>
  static bool match(Input& in, State& state) {
    if (++state.depth > kDeepest) throw p::parse_error("at most 32 levels of nesting", in);
    return true;
  }
};
struct leave {
  using rule_t = leave;
  using subs_t = p::empty_list;
  template <p::apply_mode, p::rewind_mode, template <typename...> class, template <typename...> class,
            typename Input>
  static bool match(Input&, State& state) {
    --state.depth;
    return true;
  }
};

struct block_comment;
struct block_end : p::string<'*', '/'> {};
struct block_rest : p::until<block_end, p::sor<block_comment, p::any>> {};
struct block_comment : p::if_must<p::string<'/', '*'>, enter, block_rest, leave> {};
struct line_rest : p::star<p::not_at<newline>, p::any> {};
struct line_comment : p::seq<p::string<'/', '/'>, line_rest, p::sor<newline, p::eof>> {};
struct ws : p::sor<uspace, block_comment> {};
struct linespace : p::sor<newline, ws, line_comment> {};
struct escline_end : p::sor<line_comment, newline> {};
struct escline : p::if_must<p::one<'\\'>, p::star<ws>, escline_end> {};
struct node_space : p::plus<p::sor<ws, escline>> {};
struct slashdash : p::string<'/', '-'> {};

struct id_stop : p::sor<uspace, newline, p::range<0, 0x20>,
                        p::one<'\\', '/', '(', ')', '{', '}', '<', '>', ';', '[', ']', '=', ',', '"'>> {};
struct id_char : p::seq<p::not_at<id_stop>, p::utf8::any> {};
struct word_end : p::not_at<id_char> {};
struct keyword_true : p::seq<p::string<'t', 'r', 'u', 'e'>, word_end> {};
struct keyword_false : p::seq<p::string<'f', 'a', 'l', 's', 'e'>, word_end> {};
struct keyword_null : p::seq<p::string<'n', 'u', 'l', 'l'>, word_end> {};
struct keyword : p::sor<keyword_true, keyword_false, keyword_null> {};
struct bare_word : p::plus<id_char> {};
struct bare : p::seq<p::not_at<keyword>, p::not_at<p::opt<p::one<'+', '-'>>, p::digit>, bare_word> {};

struct text_mark : p::one<'"'> {};
struct plain_piece : p::plus<p::seq<p::not_at<p::one<'"', '\\'>>, p::utf8::any>> {};
struct short_escape : p::one<'n', 'r', 't', '\\', '/', '"', 'b', 'f'> {};
struct hex_digits : p::rep_min_max<1, 6, p::xdigit> {};
struct hex_close : p::one<'}'> {};
struct hex_escape : p::if_must<p::string<'u', '{'>, hex_digits, hex_close> {};
struct escape_kind : p::sor<short_escape, hex_escape> {};
struct escape : p::if_must<p::one<'\\'>, escape_kind> {};
struct text_end : p::one<'"'> {};
struct text : p::if_must<text_mark, p::star<p::sor<escape, plain_piece>>, text_end> {};

// r"...", r#"..."#: as many # behind as before.
struct raw_text {
  using rule_t = raw_text;
  using subs_t = p::empty_list;
  template <p::apply_mode Apply, p::rewind_mode, template <typename...> class, template <typename...> class,
            typename Input>
  static bool match(Input& in, State& state) {
    const std::string_view rest(in.current(), in.size());
    std::size_t at = 1;
    while (at < rest.size() && rest[at] == '#') ++at;
    if (rest.empty() || rest[0] != 'r' || at >= rest.size() || rest[at] != '"') return false;
    const std::string close = '"' + std::string(at - 1, '#');
    const std::size_t end = rest.find(close, at + 1);
    if (end == std::string_view::npos) throw p::parse_error("the end of the raw text, " + close, in);
    if constexpr (Apply == p::apply_mode::action) state.word = std::string(rest.substr(at + 1, end - at - 1));
    in.bump(end + close.size());
    return true;
  }
};
struct quoted : p::sor<raw_text, text> {};
struct identifier : p::sor<quoted, bare> {};

struct type_close : p::one<')'> {};
struct type_name : p::seq<identifier> {};
struct type : p::if_must<p::one<'('>, type_name, type_close> {};

struct sign : p::opt<p::one<'+', '-'>> {};
struct decimals : p::seq<p::digit, p::star<p::sor<p::digit, p::one<'_'>>>> {};
template <char Mark, class Digit>
struct based : p::if_must<p::string<'0', Mark>, Digit, p::star<p::sor<Digit, p::one<'_'>>>> {};
struct hex_number : based<'x', p::xdigit> {};
struct octal_number : based<'o', p::range<'0', '7'>> {};
struct binary_number : based<'b', p::one<'0', '1'>> {};
struct fraction : p::if_must<p::one<'.'>, decimals> {};
struct exponent : p::if_must<p::one<'e', 'E'>, sign, decimals> {};
struct decimal_number : p::seq<decimals, p::opt<fraction>, p::opt<exponent>> {};
struct number_word : p::seq<sign, p::sor<hex_number, octal_number, binary_number, decimal_number>> {};
struct number_end : p::seq<word_end> {};
struct number : p::if_must<p::at<sign, p::digit>, number_word, number_end> {};

struct text_value : p::seq<quoted> {};
struct bare_value : p::sor<text_value, number, keyword> {};
struct typed_value : p::if_must<type, bare_value> {};
struct value : p::sor<typed_value, bare_value> {};
struct value_due : p::seq<value> {};

struct property_name : p::seq<identifier> {};
struct property : p::seq<p::at<identifier, p::one<'='>>, property_name, p::one<'='>, p::must<value_due>> {};
struct argument : p::seq<value> {};
struct entry : p::sor<property, argument> {};
struct slashed_entry : p::seq<slashdash, p::opt<node_space>, p::disable<entry>> {};
struct entries : p::star<node_space, p::sor<slashed_entry, entry>> {};

struct node;
struct children_close : p::one<'}'> {};
struct slashed_node : p::seq<slashdash, p::star<ws>, p::disable<node>> {};
struct nodes : p::star<p::star<linespace>, p::sor<slashed_node, node>> {};
struct children : p::if_must<p::one<'{'>, enter, nodes, p::star<linespace>, children_close, leave> {};
struct slashed_children : p::seq<slashdash, p::opt<node_space>, p::disable<children>> {};

struct node_end : p::sor<newline, p::one<';'>, line_comment, p::eof, p::at<p::one<'}'>>> {};
struct node_name : p::seq<identifier> {};
struct typed_name : p::if_must<type, node_name> {};
struct node_begin : p::sor<typed_name, node_name> {};
struct node
    : p::if_must<node_begin, entries, p::star<p::seq<p::opt<node_space>, p::sor<slashed_children, children>>>,
                 p::opt<node_space>, node_end> {};

struct top_node : p::sor<slashed_node, node> {};
struct item : p::seq<p::star<linespace>, p::sor<p::eof, p::must<top_node>>> {};

// ---- Actions ----

template <class Input>
Place indexOf(const Input& in) {
  const auto at = in.position();
  return {at.line, at.column};
}

void appendUtf8(std::string& text, unsigned long code) {
  if (code < 0x80) {
    text += static_cast<char>(code);
  } else if (code < 0x800) {
    text += static_cast<char>(0xC0 | code >> 6);
    text += static_cast<char>(0x80 | (code & 0x3F));
  } else if (code < 0x10000) {
    text += static_cast<char>(0xE0 | code >> 12);
    text += static_cast<char>(0x80 | (code >> 6 & 0x3F));
    text += static_cast<char>(0x80 | (code & 0x3F));
  } else {
    text += static_cast<char>(0xF0 | code >> 18);
    text += static_cast<char>(0x80 | (code >> 12 & 0x3F));
    text += static_cast<char>(0x80 | (code >> 6 & 0x3F));
    text += static_cast<char>(0x80 | (code & 0x3F));
  }
}

template <class Rule>
struct action : p::nothing<Rule> {};
template <>
struct action<bare_word> {
  template <class Input>
  static void apply(const Input& in, State& s) {
    s.word = in.string();
  }
};
template <>
struct action<text_mark> {
  static void apply0(State& s) { s.word.clear(); }
};
template <>
struct action<plain_piece> {
  template <class Input>
  static void apply(const Input& in, State& s) {
    s.word.append(in.begin(), in.end());
  }
};
template <>
struct action<short_escape> {
  template <class Input>
  static void apply(const Input& in, State& s) {
    const std::string_view from = "nrtbf", to = "\n\r\t\b\f";
    const std::size_t at = from.find(*in.begin());
    s.word += at == std::string_view::npos ? *in.begin() : to[at];
  }
};
template <>
struct action<hex_digits> {
  template <class Input>
  static void apply(const Input& in, State& s) {
    const unsigned long code = std::strtoul(in.string().c_str(), nullptr, 16);
    if (code > 0x10FFFF || (code >= 0xD800 && code < 0xE000))
      throw p::parse_error("a Unicode scalar value", in.position());
    appendUtf8(s.word, code);
  }
};
template <>
struct action<type_name> {
  static void apply0(State& s) { s.type = s.word; }
};
template <>
struct action<node_name> {
  template <class Input>
  static void apply(const Input& in, State& s) {
    Node node;
    node.name = s.word;
    node.type = std::exchange(s.type, "");
    node.place = indexOf(in);
    s.open.push_back(std::move(node));
  }
};
template <>
struct action<property_name> {
  template <class Input>
  static void apply(const Input& in, State& s) {
    s.open.back().properties.push_back({s.word, {}, indexOf(in)});
  }
};

void give(State& s, Value value) {
  value.type = std::exchange(s.type, "");
  s.value = std::move(value);
}
template <>
struct action<text_value> {
  template <class Input>
  static void apply(const Input& in, State& s) {
    Value v;
    v.kind = Value::Kind::Text;
    v.text = s.word;
    v.place = indexOf(in);
    give(s, std::move(v));
  }
};
template <>
struct action<number_word> {
  template <class Input>
  static void apply(const Input& in, State& s) {
    Value v;
    v.text = in.string();
    v.place = indexOf(in);
    std::string digits = v.text;
    digits.erase(std::remove(digits.begin(), digits.end(), '_'), digits.end());
    const bool negative = digits[0] == '-';
    if (negative || digits[0] == '+') digits.erase(0, 1);
    const char mark = digits.size() > 1 && digits[0] == '0' ? digits[1] : '0';
    const int base = mark == 'x' ? 16 : mark == 'o' ? 8 : mark == 'b' ? 2 : 10;
    const bool whole = base != 10 || digits.find_first_of(".eE") == std::string::npos;
    errno = 0;
    if (whole) {
      const std::string sized = (negative ? "-" : "") + digits.substr(base == 10 ? 0 : 2);
      v.kind = Value::Kind::Integer;
      v.integer = std::strtoll(sized.c_str(), nullptr, base);
      v.number = static_cast<double>(v.integer);
    } else {
      v.kind = Value::Kind::Float;
      v.number = std::strtod(((negative ? "-" : "") + digits).c_str(), nullptr);
    }
    if (errno == ERANGE) throw p::parse_error("a number within the range of 64 bits", in.position());
    give(s, std::move(v));
  }
};
template <Value::Kind Kind, bool Yes>
struct keyword_action {
  template <class Input>
  static void apply(const Input& in, State& s) {
    Value v;
    v.kind = Kind;
    v.text = in.string();
    v.yes = Yes;
    v.place = indexOf(in);
    give(s, std::move(v));
  }
};
template <>
struct action<keyword_true> : keyword_action<Value::Kind::Boolean, true> {};
template <>
struct action<keyword_false> : keyword_action<Value::Kind::Boolean, false> {};
template <>
struct action<keyword_null> : keyword_action<Value::Kind::Null, false> {};
template <>
struct action<value_due> {
  static void apply0(State& s) { s.open.back().properties.back().value = std::move(s.value); }
};
template <>
struct action<argument> {
  static void apply0(State& s) { s.open.back().arguments.push_back(std::move(s.value)); }
};
template <>
struct action<node> {
  static void apply0(State& s) {
    Node node = std::move(s.open.back());
    s.open.pop_back();
    (s.open.empty() ? s.done : s.open.back().children).push_back(std::move(node));
  }
};

// ---- What was expected where a rule had to match ----

template <class Rule>
constexpr const char* expected = "another text";
template <>
constexpr const char* expected<block_rest> = "the end of the comment, */";
template <>
constexpr const char* expected<escline_end> = "the end of the line after \\";
template <>
constexpr const char* expected<hex_digits> = "1 to 6 hex digits";
template <>
constexpr const char* expected<hex_close> = "} after the hex digits";
template <>
constexpr const char* expected<escape_kind> = "one of \\n \\r \\t \\\\ \\/ \\\" \\b \\f \\u{...}";
template <>
constexpr const char* expected<text_end> = "the end of the text, \"";
template <>
constexpr const char* expected<type_name> = "the name of a type";
template <>
constexpr const char* expected<type_close> = ") after the type";
template <>
constexpr const char* expected<number_word> = "a number";
template <>
constexpr const char* expected<number_end> =
    "the end of the number (a text, or a number with its unit, stands in quotes)";
template <>
constexpr const char* expected<decimals> = "a digit";
template <>
constexpr const char* expected<p::xdigit> = "a hex digit";
template <>
constexpr const char* expected<p::range<'0', '7'>> = "an octal digit";
template <>
constexpr const char* expected<p::one<'0', '1'>> = "a binary digit";
template <>
constexpr const char* expected<bare_value> = "a value";
template <>
constexpr const char* expected<value_due> = "a value (a text stands in quotes)";
template <>
constexpr const char* expected<children_close> = "a node or }";
template <>
constexpr const char* expected<node_name> = "the name of a node";
template <>
constexpr const char* expected<node_end> =
    "a value, name=value, {, or the end of the node (a text stands in quotes)";
template <>
constexpr const char* expected<top_node> = "a node";

template <class Rule>
struct control : p::normal<Rule> {
  template <class Input, class... States>
  [[noreturn]] static void raise(const Input& in, States&&...) {
    throw p::parse_error(expected<Rule>, in);
  }
};

std::string foundAt(const std::string& text, std::size_t at) {
  if (at >= text.size()) return "the end of the file";
  if (text[at] == '\n' || text[at] == '\r') return "the end of the line";
  std::size_t end = at + 1;
  while (end < text.size() && end - at < 24 &&
         std::string_view(" \t\r\n;{}").find(text[end]) == std::string::npos)
    ++end;
  return "'" + text.substr(at, end - at) + "'";
}

// The next line from `at` on that begins a node of the top level: not indented, no closing brace.
std::size_t nextNode(const std::string& text, std::size_t at) {
  while ((at = text.find('\n', at)) != std::string::npos) {
    ++at;
    if (at < text.size() && std::string_view(" \t\r\n}/").find(text[at]) == std::string::npos) return at;
  }
  return text.size();
}

}  // namespace

Document parse(const std::string& text) {
  Document document;
  if (text.size() > kLargest) {
    document.problems.push_back({{}, std::to_string(text.size()) + " bytes", "at most 1 MiB"});
    return document;
  }
  State state;
  std::size_t begin = 0, line = 1;
  while (begin < text.size()) {
    p::memory_input<> in(text.data() + begin, text.data() + text.size(), "", begin, line, 1);
    try {
      while (!in.empty()) p::parse<item, action, control>(in, state);
      break;
    } catch (const p::parse_error& e) {
      const p::position at = e.positions().front();
      document.problems.push_back({{at.line, at.column}, foundAt(text, at.byte), std::string(e.message())});
      state.open.clear();
      state.type.clear();
      state.depth = 0;
      const std::size_t next = nextNode(text, at.byte);
      line = at.line + static_cast<std::size_t>(std::count(text.begin() + static_cast<long>(at.byte),
                                                           text.begin() + static_cast<long>(next), '\n'));
      begin = next;
    }
  }
  document.nodes = std::move(state.done);
  return document;
}

}  // namespace peargrade::kdl
