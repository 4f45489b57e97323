#include "zone_server/commands.h"

#include <rapidjson/ostreamwrapper.h>
#include <rapidjson/prettywriter.h>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <random>
#include <sstream>

#include "dns_zone/master_file.h"
#include "dns_zone/tsig.h"
#include "dns_zone/update.h"
#include "net/datagram.h"
#include "net/net.h"
#include "zone_server/disk.h"
#include "zone_server/key_file.h"
#include "zone_server/update_script.h"

namespace peargrade::zone_server {
namespace {

using Writer = rapidjson::PrettyWriter<rapidjson::OStreamWrapper>;

constexpr Micros kFirstWait = 400000;
constexpr std::size_t kUdpMost = 1232;       // bytes of a message; a larger one goes over TCP
constexpr std::size_t kMessageMost = 65535;  // over TCP (RFC 1035, section 4.2.2)

void text(Writer& out, const char* key, const std::string& value) {
  out.Key(key);
  out.String(value.c_str(), static_cast<rapidjson::SizeType>(value.size()));
}

dns_zone::Reading readFile(const ZoneCommand& asked, const std::string& file) {
  std::string folder = asked.folder, name = file;
  if (folder.empty()) {
    const auto slash = file.rfind('/');
    folder = slash == std::string::npos ? "." : file.substr(0, slash + 1);
    name = slash == std::string::npos ? file : file.substr(slash + 1);
  }
  return dns_zone::readMasterFile(name, asked.origin, readerOf(folder));
}

void mistakes(Writer& out, const char* key, const std::vector<dns_zone::Mistake>& all) {
  out.Key(key);
  out.StartArray();
  for (const dns_zone::Mistake& m : all) {
    out.StartObject();
    text(out, "file", m.file);
    out.Key("line");
    out.Uint64(m.line);
    out.Key("column");
    out.Uint64(m.column);
    text(out, "found", m.found);
    text(out, "expected", m.expected);
    out.EndObject();
  }
  out.EndArray();
}

void records(Writer& out, const char* key, const std::vector<dns_zone::Record>& all) {
  out.Key(key);
  out.StartArray();
  for (const dns_zone::Record& r : all) {
    out.StartObject();
    text(out, "name", r.name);
    out.Key("ttl");
    out.Uint(r.ttl);
    text(out, "type", dns_zone::nameOf(r.type));
    text(out, "data", dns_zone::textOf(r.type, r.data));
    out.EndObject();
  }
  out.EndArray();
}

int check(const ZoneCommand& asked) {
  const dns_zone::Reading r = readFile(asked, asked.files[0]);
  if (asked.json) {
    rapidjson::OStreamWrapper stream(std::cout);
    Writer out(stream);
    out.StartObject();
    out.Key("good");
    out.Bool(r.mistakes.empty());
    out.Key("serial");
    out.Uint(r.zone.serial());
    out.Key("records");
    out.Uint64(r.zone.records());
    mistakes(out, "mistakes", r.mistakes);
    mistakes(out, "doubts", r.doubts);
    out.EndObject();
    std::cout << '\n';
  } else {
    for (const dns_zone::Mistake& m : r.mistakes) std::cout << m.text() << '\n';
    for (const dns_zone::Mistake& m : r.doubts) std::cout << "doubt: " << m.text() << '\n';
    if (r.mistakes.empty())
      std::cout << asked.origin << ": good, serial " << r.zone.serial() << ", " << r.zone.records()
                << " records\n";
  }
  return r.mistakes.empty() ? 0 : 1;
}

int show(const ZoneCommand& asked) {
  const dns_zone::Reading r = readFile(asked, asked.files[0]);
  for (const dns_zone::Mistake& m : r.mistakes) std::cerr << m.text() << '\n';
  if (!r.mistakes.empty()) return 1;
  if (!asked.json) {
    std::cout << dns_zone::writeMasterFile(r.zone);
    return 0;
  }
  rapidjson::OStreamWrapper stream(std::cout);
  Writer out(stream);
  out.StartObject();
  text(out, "origin", r.zone.origin());
  out.Key("serial");
  out.Uint(r.zone.serial());
  records(out, "records", r.zone.all());
  out.EndObject();
  std::cout << '\n';
  return 0;
}

int diff(const ZoneCommand& asked) {
  const dns_zone::Reading from = readFile(asked, asked.files[0]), to = readFile(asked, asked.files[1]);
  for (const dns_zone::Reading* r : {&from, &to}) {
    for (const dns_zone::Mistake& m : r->mistakes) std::cerr << m.text() << '\n';
  }
  if (!from.mistakes.empty() || !to.mistakes.empty()) return 2;
  const dns_zone::Difference d = dns_zone::difference(from.zone, to.zone);
  if (asked.json) {
    rapidjson::OStreamWrapper stream(std::cout);
    Writer out(stream);
    out.StartObject();
    records(out, "removed", d.removed);
    records(out, "added", d.added);
    out.EndObject();
    std::cout << '\n';
  } else {
    for (const auto& [mark, all] : {std::pair("- ", &d.removed), std::pair("+ ", &d.added)}) {
      for (const dns_zone::Record& r : *all)
        std::cout << mark << r.name << ". " << r.ttl << " " << dns_zone::nameOf(r.type) << " "
                  << dns_zone::textOf(r.type, r.data) << '\n';
    }
  }
  return d.empty() ? 0 : 1;
}

// The same bytes again after each wait: whoever got them the first time answers as then.
class Asking {
 public:
  Asking(event_base* base, const net::Address& to, std::string message, bool tcp)
      : base_(base),
        to_(to),
        message_(std::move(message)),
        tcp_(tcp || message_.size() > kUdpMost),
        again_(base, [this] { send(); }) {
    send();
  }
  std::string answer;

 private:
  void send() {
    again_.schedule(wait_);
    wait_ *= 2;
    if (!tcp_) {
      if (!udp_) {
        net::Datagram::Handlers handlers;
        handlers.data = [this](const std::string& bytes) { answer = bytes; };
        udp_ = std::make_unique<net::Datagram>(
            base_, to_, [this] { return static_cast<std::uint32_t>(device_()); }, std::move(handlers));
      }
      udp_->send(message_);
      return;
    }
    input_.clear();
    net::Stream::Handlers handlers;
    handlers.up = [this] {
      stream_->send(
          std::string{static_cast<char>(message_.size() >> 8), static_cast<char>(message_.size() & 255)} +
          message_);
    };
    handlers.data = [this](evbuffer* in) {
      const std::size_t size = evbuffer_get_length(in), had = input_.size();
      input_.resize(had + size);
      evbuffer_remove(in, input_.data() + had, size);
      if (input_.size() < 2) return;
      const std::size_t due = static_cast<std::size_t>(static_cast<unsigned char>(input_[0])) << 8 |
                              static_cast<unsigned char>(input_[1]);
      if (input_.size() >= 2 + due) answer = input_.substr(2, due);
    };
    stream_ = std::make_unique<net::Stream>(base_, to_, 1000000, std::move(handlers));
  }

  event_base* base_;
  const net::Address to_;
  const std::string message_;
  const bool tcp_;
  Micros wait_ = kFirstWait;
  std::random_device device_;
  std::unique_ptr<net::Datagram> udp_;
  std::unique_ptr<net::Stream> stream_;
  std::string input_;
  net::Timer again_;
};

std::string readInput(const std::string& file, std::vector<std::string>& problems) {
  if (file == "-") return {std::istreambuf_iterator<char>(std::cin), {}};
  std::ifstream in(file, std::ios::binary);
  if (!in) problems.push_back(file + ": cannot be read");
  return {std::istreambuf_iterator<char>(in), {}};
}

// A signed update on its way, and what its answer has to fit.
struct SignedUpdate {
  std::uint16_t id = 0;
  std::string bytes, mac;
  dns_zone::Keys keys;
};

// From the files that the command line names; nothing, with a line on standard error for each problem.
std::optional<SignedUpdate> signedUpdate(const ZoneCommand& asked) {
  std::vector<std::string> problems;
  SignedUpdate update;
  update.keys = readKeys(asked.key, problems);
  const std::string script = readInput(asked.files[0], problems);
  dns_zone::Message m = readUpdateScript(script, asked.files[0], asked.origin, problems);
  const dns_zone::Key* key = asked.label.empty() ? update.keys.only() : update.keys.find(asked.label);
  if (problems.empty() && key == nullptr) problems.push_back("--name has to say which key of " + asked.key);
  for (const std::string& p : problems) std::cerr << "peargrade: " << p << '\n';
  if (!problems.empty()) return std::nullopt;
  std::random_device device;
  m.id = update.id = static_cast<std::uint16_t>(device());
  update.bytes = dns_zone::sign(dns_zone::encodeMessage(m), *key, std::time(nullptr), update.mac);
  if (update.bytes.size() <= kMessageMost) return update;
  std::cerr << "peargrade: more than one message holds\n";
  return std::nullopt;
}

// The answer that these bytes are; nothing where they are none, or lack the signature that they need: a
// refusal may come unsigned, that it was accepted has to be signed. `doubt` says what was left out.
std::optional<dns_zone::Message> answerFrom(const std::string& bytes, const SignedUpdate& update,
                                            std::string& doubt) {
  auto decoded = dns_zone::decodeMessage(bytes);
  if (!decoded || !decoded->response || decoded->id != update.id) return std::nullopt;
  const bool isSigned = decoded->tsigAt.has_value();
  const auto checked = isSigned
                           ? dns_zone::check(bytes, *decoded, update.keys, std::time(nullptr), update.mac)
                           : dns_zone::Checked{};
  if (decoded->rcode == dns_zone::Rcode::NoError &&
      (!isSigned || checked.rcode != dns_zone::Rcode::NoError)) {
    doubt = "an answer without a good signature was left out";
    return std::nullopt;
  }
  return decoded;
}

int update(const ZoneCommand& asked) {
  const auto server = net::Address::parse(asked.server);
  if (!server) {
    std::cerr << "peargrade: '" << asked.server << "' is no address of the form 127.0.0.1:5300\n";
    return 2;
  }
  const auto update = signedUpdate(asked);
  if (!update) return 2;
  const net::EventBase base = net::makeBase();
  Asking asking(base.get(), *server, update->bytes, asked.tcp);
  bool over = false;
  net::Timer limit(base.get(), [&over] { over = true; });
  limit.schedule(asked.within);
  std::optional<dns_zone::Message> answer;
  std::string doubt;
  while (!over && !answer) {
    event_base_loop(base.get(), EVLOOP_ONCE);
    if (!asking.answer.empty()) answer = answerFrom(std::exchange(asking.answer, ""), *update, doubt);
  }
  const bool accepted = answer && answer->rcode == dns_zone::Rcode::NoError;
  const std::string word = answer ? dns_zone::nameOf(answer->rcode) : "no answer";
  if (asked.json) {
    rapidjson::OStreamWrapper stream(std::cout);
    Writer out(stream);
    out.StartObject();
    text(out, "answer", word);
    out.Key("accepted");
    out.Bool(accepted);
    out.EndObject();
    std::cout << '\n';
  } else {
    std::cout << asked.origin << ": " << word << '\n';
  }
  if (!doubt.empty()) std::cerr << "peargrade: " << doubt << '\n';
  if (!answer) return 3;
  return accepted ? 0 : 1;
}

// Left in the folder of the state, where the supervisor finds it when it looks at the zone file next.
int accept(const ZoneCommand& asked) {
  const std::string path = acceptMarkerPath(asked.state, asked.label);
  std::ofstream out(path, std::ios::trunc);
  out << asked.serial << '\n';
  out.close();
  if (!out) {
    std::cerr << "peargrade: " << path << ": cannot be written\n";
    return 1;
  }
  std::cout << asked.label << ": serial " << asked.serial << " will be taken\n";
  return 0;
}

}  // namespace

int command(const ZoneCommand& asked, log::Log&) {
  if (asked.verb == "check") return check(asked);
  if (asked.verb == "show") return show(asked);
  if (asked.verb == "diff") return diff(asked);
  if (asked.verb == "update") return update(asked);
  return accept(asked);
}

}  // namespace peargrade::zone_server
