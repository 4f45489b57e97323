#include "kdl/kdl.h"

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <string_view>
#include <tao/pegtl.hpp>

namespace peargrade::kdl {
namespace {

namespace p = tao::pegtl;

// Parse state that the actions build. A rule that can still fail has no action, so that no action has to be
// undone.
struct State {
  std::vector<Node> openNodes;      // the node being parsed, preceded by its ancestors
  std::vector<Node> topLevelNodes;  // complete top-level nodes
  std::string string;               // the last string or identifier
  std::string type;                 // the type annotation for the next value or node
  Place wordAt;
  Value value;
  int depth = 0;
};

// ---- Grammar, in the order of the KDL specification ----

struct newline : p::sor<p::string<'\r', '\n'>, p::one<'\r', '\n', '\f'>, p::utf8::one<0x85, 0x2028, 0x2029>> {
};
struct unicode_space : p::sor<p::utf8::one<' ', '\t', 0xFEFF, 0xA0, 0x1680, 0x202F, 0x205F, 0x3000>,
                              p::utf8::range<0x2000, 0x200A>> {};

// Limits the nesting depth. Without a limit a file of opening braces would overflow the stack.
struct enter_nesting {
  using rule_t = enter_nesting;
  using subs_t = p::empty_list;
  template <p::apply_mode, p::rewind_mode, template <typename...> class, template <typename...> class,
            typename Input>
  static bool match(Input& in, State& state) {
    if (++state.depth > kNestingDepthMax) throw p::parse_error("at most 32 levels of nesting", in);
    return true;
  }
};
struct leave_nesting {
  using rule_t = leave_nesting;
  using subs_t = p::empty_list;
  template <p::apply_mode, p::rewind_mode, template <typename...> class, template <typename...> class,
            typename Input>
  static bool match(Input&, State& state) {
    --state.depth;
    return true;
  }
};

struct multi_line_comment;
struct multi_line_comment_end : p::string<'*', '/'> {};
struct multi_line_comment_rest : p::until<multi_line_comment_end, p::sor<multi_line_comment, p::any>> {};
struct multi_line_comment
    : p::if_must<p::string<'/', '*'>, enter_nesting, multi_line_comment_rest, leave_nesting> {};
struct single_line_comment_text : p::star<p::not_at<newline>, p::any> {};
struct single_line_comment : p::seq<p::string<'/', '/'>, single_line_comment_text, p::sor<newline, p::eof>> {
};
struct ws : p::sor<unicode_space, multi_line_comment> {};
struct linespace : p::sor<newline, ws, single_line_comment> {};
struct escline_end : p::sor<single_line_comment, newline> {};
struct escline : p::if_must<p::one<'\\'>, p::star<ws>, escline_end> {};
struct node_space : p::plus<p::sor<ws, escline>> {};
struct slashdash : p::string<'/', '-'> {};

struct non_identifier_char
    : p::sor<unicode_space, newline, p::range<0, 0x20>,
             p::one<'\\', '/', '(', ')', '{', '}', '<', '>', ';', '[', ']', '=', ',', '"'>> {};
struct identifier_char : p::seq<p::not_at<non_identifier_char>, p::utf8::any> {};
struct token_end : p::not_at<identifier_char> {};
struct keyword_true : p::seq<p::string<'t', 'r', 'u', 'e'>, token_end> {};
struct keyword_false : p::seq<p::string<'f', 'a', 'l', 's', 'e'>, token_end> {};
struct keyword_null : p::seq<p::string<'n', 'u', 'l', 'l'>, token_end> {};
struct keyword : p::sor<keyword_true, keyword_false, keyword_null> {};
struct identifier_chars : p::plus<identifier_char> {};
struct bare_identifier
    : p::seq<p::not_at<keyword>, p::not_at<p::opt<p::one<'+', '-'>>, p::digit>, identifier_chars> {};

struct open_quote : p::one<'"'> {};
struct string_characters : p::plus<p::seq<p::not_at<p::one<'"', '\\'>>, p::utf8::any>> {};
struct short_escape : p::one<'n', 'r', 't', '\\', '/', '"', 'b', 'f'> {};
struct hex_digits : p::rep_min_max<1, 6, p::xdigit> {};
struct hex_close : p::one<'}'> {};
struct hex_escape : p::if_must<p::string<'u', '{'>, hex_digits, hex_close> {};
struct escape_kind : p::sor<short_escape, hex_escape> {};
struct escape : p::if_must<p::one<'\\'>, escape_kind> {};
struct close_quote : p::one<'"'> {};
struct escaped_string : p::if_must<open_quote, p::star<p::sor<escape, string_characters>>, close_quote> {};

// r"...", r#"..."#: the closing quote is followed by as many # as precede the opening one.
struct raw_string {
  using rule_t = raw_string;
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
    if (end == std::string_view::npos) throw p::parse_error("the end of the raw string, " + close, in);
    if constexpr (Apply == p::apply_mode::action)
      state.string = std::string(rest.substr(at + 1, end - at - 1));
    in.bump(end + close.size());
    return true;
  }
};
struct string_literal : p::sor<raw_string, escaped_string> {};
struct identifier : p::sor<string_literal, bare_identifier> {};

struct type_close : p::one<')'> {};
struct type_name : p::seq<identifier> {};
struct type : p::if_must<p::one<'('>, type_name, type_close> {};

struct sign : p::opt<p::one<'+', '-'>> {};
struct decimal_digits : p::seq<p::digit, p::star<p::sor<p::digit, p::one<'_'>>>> {};
template <char Mark, class Digit>
struct radix_number : p::if_must<p::string<'0', Mark>, Digit, p::star<p::sor<Digit, p::one<'_'>>>> {};
struct hex_number : radix_number<'x', p::xdigit> {};
struct octal_number : radix_number<'o', p::range<'0', '7'>> {};
struct binary_number : radix_number<'b', p::one<'0', '1'>> {};
struct fraction : p::if_must<p::one<'.'>, decimal_digits> {};
struct exponent : p::if_must<p::one<'e', 'E'>, sign, decimal_digits> {};
struct decimal_number : p::seq<decimal_digits, p::opt<fraction>, p::opt<exponent>> {};
struct number_word : p::seq<sign, p::sor<hex_number, octal_number, binary_number, decimal_number>> {};
struct number_end : p::seq<token_end> {};
struct number : p::if_must<p::at<sign, p::digit>, number_word, number_end> {};

struct string_value : p::seq<string_literal> {};
struct untyped_value : p::sor<string_value, number, keyword> {};
struct typed_value : p::if_must<type, untyped_value> {};
struct value : p::sor<typed_value, untyped_value> {};
struct property_value : p::seq<value> {};

struct property_name : p::seq<identifier> {};
struct property
    : p::seq<p::at<identifier, p::one<'='>>, property_name, p::one<'='>, p::must<property_value>> {};
struct argument : p::seq<value> {};
struct property_or_argument : p::sor<property, argument> {};
struct slashed_property_or_argument
    : p::seq<slashdash, p::opt<node_space>, p::disable<property_or_argument>> {};
struct properties_and_arguments
    : p::star<node_space, p::sor<slashed_property_or_argument, property_or_argument>> {};

struct node;
struct children_end : p::one<'}'> {};
struct slashed_node : p::seq<slashdash, p::star<ws>, p::disable<node>> {};
struct nodes : p::star<p::star<linespace>, p::sor<slashed_node, node>> {};
struct children
    : p::if_must<p::one<'{'>, enter_nesting, nodes, p::star<linespace>, children_end, leave_nesting> {};
struct slashed_children : p::seq<slashdash, p::opt<node_space>, p::disable<children>> {};

struct node_terminator : p::sor<newline, p::one<';'>, single_line_comment, p::eof, p::at<p::one<'}'>>> {};
struct node_name : p::seq<identifier> {};
struct typed_name : p::if_must<type, node_name> {};
struct node_begin : p::sor<typed_name, node_name> {};
struct node : p::if_must<node_begin, properties_and_arguments,
                         p::star<p::seq<p::opt<node_space>, p::sor<slashed_children, children>>>,
                         p::opt<node_space>, node_terminator> {};

struct top_node : p::sor<slashed_node, node> {};
struct document_item : p::seq<p::star<linespace>, p::sor<p::eof, p::must<top_node>>> {};

// ---- Actions ----

template <class Input>
Place positionOf(const Input& in) {
  const auto position = in.position();
  return {position.line, position.column};
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
struct action<identifier_chars> {
  template <class Input>
  static void apply(const Input& in, State& state) {
    state.string = in.string();
  }
};
template <>
struct action<open_quote> {
  static void apply0(State& state) { state.string.clear(); }
};
template <>
struct action<string_characters> {
  template <class Input>
  static void apply(const Input& in, State& state) {
    state.string.append(in.begin(), in.end());
  }
};
template <>
struct action<short_escape> {
  template <class Input>
  static void apply(const Input& in, State& state) {
    const std::string_view from = "nrtbf";
    const std::string_view to = "\n\r\t\b\f";
    const std::size_t at = from.find(*in.begin());
    state.string += at == std::string_view::npos ? *in.begin() : to[at];
  }
};
template <>
struct action<hex_digits> {
  template <class Input>
  static void apply(const Input& in, State& state) {
    const unsigned long code = std::strtoul(in.string().c_str(), nullptr, 16);
    if (code > 0x10FFFF || (code >= 0xD800 && code < 0xE000))
      throw p::parse_error("a Unicode scalar value", in.position());
    appendUtf8(state.string, code);
  }
};
template <>
struct action<type_name> {
  static void apply0(State& state) { state.type = state.string; }
};
template <>
struct action<node_name> {
  template <class Input>
  static void apply(const Input& in, State& state) {
    Node node;
    node.name = state.string;
    node.type = std::exchange(state.type, "");
    node.place = positionOf(in);
    state.openNodes.push_back(std::move(node));
  }
};
template <>
struct action<property_name> {
  template <class Input>
  static void apply(const Input& in, State& state) {
    state.openNodes.back().properties.push_back({state.string, {}, positionOf(in)});
  }
};

// Completes a value with its type annotation.
void setValue(State& state, Value value) {
  value.type = std::exchange(state.type, "");
  state.value = std::move(value);
}
template <>
struct action<string_value> {
  template <class Input>
  static void apply(const Input& in, State& state) {
    Value v;
    v.kind = Value::Kind::Text;
    v.text = state.string;
    v.place = positionOf(in);
    setValue(state, std::move(v));
  }
};
template <>
struct action<number_word> {
  template <class Input>
  static void apply(const Input& in, State& state) {
    Value v;
    v.text = in.string();
    v.place = positionOf(in);
    std::string digits = v.text;
    digits.erase(std::remove(digits.begin(), digits.end(), '_'), digits.end());
    const bool negative = digits[0] == '-';
    if (negative || digits[0] == '+') digits.erase(0, 1);
    const char mark = digits.size() > 1 && digits[0] == '0' ? digits[1] : '0';
    const int base = mark == 'x' ? 16 : mark == 'o' ? 8 : mark == 'b' ? 2 : 10;
    const bool isInteger = base != 10 || digits.find_first_of(".eE") == std::string::npos;
    errno = 0;
    if (isInteger) {
      const std::string signedDigits = (negative ? "-" : "") + digits.substr(base == 10 ? 0 : 2);
      v.kind = Value::Kind::Integer;
      v.integer = std::strtoll(signedDigits.c_str(), nullptr, base);
      v.number = static_cast<double>(v.integer);
    } else {
      v.kind = Value::Kind::Float;
      v.number = std::strtod(((negative ? "-" : "") + digits).c_str(), nullptr);
    }
    if (errno == ERANGE) throw p::parse_error("a number within the range of 64 bits", in.position());
    setValue(state, std::move(v));
  }
};
template <Value::Kind Kind, bool IsTrue>
struct keyword_action {
  template <class Input>
  static void apply(const Input& in, State& state) {
    Value v;
    v.kind = Kind;
    v.text = in.string();
    v.boolean = IsTrue;
    v.place = positionOf(in);
    setValue(state, std::move(v));
  }
};
template <>
struct action<keyword_true> : keyword_action<Value::Kind::Boolean, true> {};
template <>
struct action<keyword_false> : keyword_action<Value::Kind::Boolean, false> {};
template <>
struct action<keyword_null> : keyword_action<Value::Kind::Null, false> {};
template <>
struct action<property_value> {
  static void apply0(State& state) {
    state.openNodes.back().properties.back().value = std::move(state.value);
  }
};
template <>
struct action<argument> {
  static void apply0(State& state) { state.openNodes.back().arguments.push_back(std::move(state.value)); }
};
template <>
struct action<node> {
  static void apply0(State& state) {
    Node node = std::move(state.openNodes.back());
    state.openNodes.pop_back();
    (state.openNodes.empty() ? state.topLevelNodes : state.openNodes.back().children)
        .push_back(std::move(node));
  }
};

// ---- Expected input for the error messages, by the rule that did not match ----

template <class Rule>
constexpr const char* expected = "valid KDL";
template <>
constexpr const char* expected<multi_line_comment_rest> = "the end of the comment, */";
template <>
constexpr const char* expected<escline_end> = "the end of the line after \\";
template <>
constexpr const char* expected<hex_digits> = "1 to 6 hex digits";
template <>
constexpr const char* expected<hex_close> = "} after the hex digits";
template <>
constexpr const char* expected<escape_kind> = "one of \\n \\r \\t \\\\ \\/ \\\" \\b \\f \\u{...}";
template <>
constexpr const char* expected<close_quote> = "the end of the string, \"";
template <>
constexpr const char* expected<type_name> = "the name of a type";
template <>
constexpr const char* expected<type_close> = ") after the type";
template <>
constexpr const char* expected<number_word> = "a number";
template <>
constexpr const char* expected<number_end> =
    "the end of the number (a string, or a number with its unit, must be quoted)";
template <>
constexpr const char* expected<decimal_digits> = "a digit";
template <>
constexpr const char* expected<p::xdigit> = "a hex digit";
template <>
constexpr const char* expected<p::range<'0', '7'>> = "an octal digit";
template <>
constexpr const char* expected<p::one<'0', '1'>> = "a binary digit";
template <>
constexpr const char* expected<untyped_value> = "a value";
template <>
constexpr const char* expected<property_value> = "a value (a string must be quoted)";
template <>
constexpr const char* expected<children_end> = "a node or }";
template <>
constexpr const char* expected<node_name> = "the name of a node";
template <>
constexpr const char* expected<node_terminator> =
    "a value, name=value, {, or the end of the node (a string must be quoted)";
template <>
constexpr const char* expected<top_node> = "a node";

template <class Rule>
struct control : p::normal<Rule> {
  template <class Input, class... States>
  [[noreturn]] static void raise(const Input& in, States&&...) {
    throw p::parse_error(expected<Rule>, in);
  }
};

// Describes the text at an offset for an error message: up to 24 bytes of the token there.
std::string describeFoundAt(const std::string& text, std::size_t at) {
  if (at >= text.size()) return "the end of the file";
  if (text[at] == '\n' || text[at] == '\r') return "the end of the line";
  std::size_t end = at + 1;
  while (end < text.size() && end - at < 24 &&
         std::string_view(" \t\r\n;{}").find(text[end]) == std::string::npos)
    ++end;
  return "'" + text.substr(at, end - at) + "'";
}

// Offset of the next line after `at` that begins a top-level node: one that is not indented and starts with
// neither a closing brace nor a comment.
std::size_t findNextTopLevelNode(const std::string& text, std::size_t at) {
  while ((at = text.find('\n', at)) != std::string::npos) {
    ++at;
    if (at < text.size() && std::string_view(" \t\r\n}/").find(text[at]) == std::string::npos) return at;
  }
  return text.size();
}

}  // namespace

Document parse(const std::string& text) {
  Document document;
  if (text.size() > kDocumentBytesMax) {
    document.problems.push_back({{}, std::to_string(text.size()) + " bytes", "at most 1 MiB"});
    return document;
  }
  State state;
  std::size_t begin = 0;
  std::size_t line = 1;
  while (begin < text.size()) {
    p::memory_input<> in(text.data() + begin, text.data() + text.size(), "", begin, line, 1);
    try {
      while (!in.empty()) p::parse<document_item, action, control>(in, state);
      break;
    } catch (const p::parse_error& e) {
      const p::position position = e.positions().front();
      document.problems.push_back(
          {{position.line, position.column}, describeFoundAt(text, position.byte), std::string(e.message())});
      state.openNodes.clear();
      state.type.clear();
      state.depth = 0;
      const std::size_t next = findNextTopLevelNode(text, position.byte);
      line =
          position.line + static_cast<std::size_t>(std::count(text.begin() + static_cast<long>(position.byte),
                                                              text.begin() + static_cast<long>(next), '\n'));
      begin = next;
    }
  }
  document.nodes = std::move(state.topLevelNodes);
  return document;
}

}  // namespace peargrade::kdl
