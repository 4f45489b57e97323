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

constexpr Micros kInitialRetransmitDelay = 400000;
constexpr std::size_t kMaxUdpBytes = 1232;       // larger messages are sent over TCP
constexpr std::size_t kMaxMessageBytes = 65535;  // over TCP (RFC 1035, section 4.2.2)

void writeString(Writer& out, const char* key, const std::string& value) {
  out.Key(key);
  out.String(value.c_str(), static_cast<rapidjson::SizeType>(value.size()));
}

dns_zone::Reading readFile(const ZoneCommand& arguments, const std::string& file) {
  std::string folder = arguments.folder, name = file;
  if (folder.empty()) {
    const auto slash = file.rfind('/');
    folder = slash == std::string::npos ? "." : file.substr(0, slash + 1);
    name = slash == std::string::npos ? file : file.substr(slash + 1);
  }
  return dns_zone::readMasterFile(name, arguments.origin, makeFileReader(folder));
}

void writeMistakes(Writer& out, const char* key, const std::vector<dns_zone::Mistake>& all) {
  out.Key(key);
  out.StartArray();
  for (const dns_zone::Mistake& m : all) {
    out.StartObject();
    writeString(out, "file", m.file);
    out.Key("line");
    out.Uint64(m.line);
    out.Key("column");
    out.Uint64(m.column);
    writeString(out, "found", m.found);
    writeString(out, "expected", m.expected);
    out.EndObject();
  }
  out.EndArray();
}

void writeRecords(Writer& out, const char* key, const std::vector<dns_zone::Record>& all) {
  out.Key(key);
  out.StartArray();
  for (const dns_zone::Record& r : all) {
    out.StartObject();
    writeString(out, "name", r.name);
    out.Key("ttl");
    out.Uint(r.ttl);
    writeString(out, "type", dns_zone::nameOf(r.type));
    writeString(out, "data", dns_zone::textOf(r.type, r.data));
    out.EndObject();
  }
  out.EndArray();
}

int check(const ZoneCommand& arguments) {
  const dns_zone::Reading r = readFile(arguments, arguments.files[0]);
  if (arguments.json) {
    rapidjson::OStreamWrapper stream(std::cout);
    Writer out(stream);
    out.StartObject();
    out.Key("good");
    out.Bool(r.mistakes.empty());
    out.Key("serial");
    out.Uint(r.zone.serial());
    out.Key("records");
    out.Uint64(r.zone.records());
    writeMistakes(out, "mistakes", r.mistakes);
    writeMistakes(out, "doubts", r.doubts);
    out.EndObject();
    std::cout << '\n';
  } else {
    for (const dns_zone::Mistake& m : r.mistakes) std::cout << m.text() << '\n';
    for (const dns_zone::Mistake& m : r.doubts) std::cout << "warning: " << m.text() << '\n';
    if (r.mistakes.empty())
      std::cout << arguments.origin << ": good, serial " << r.zone.serial() << ", " << r.zone.records()
                << " records\n";
  }
  return r.mistakes.empty() ? 0 : 1;
}

int show(const ZoneCommand& arguments) {
  const dns_zone::Reading r = readFile(arguments, arguments.files[0]);
  for (const dns_zone::Mistake& m : r.mistakes) std::cerr << m.text() << '\n';
  if (!r.mistakes.empty()) return 1;
  if (!arguments.json) {
    std::cout << dns_zone::writeMasterFile(r.zone);
    return 0;
  }
  rapidjson::OStreamWrapper stream(std::cout);
  Writer out(stream);
  out.StartObject();
  writeString(out, "origin", r.zone.origin());
  out.Key("serial");
  out.Uint(r.zone.serial());
  writeRecords(out, "records", r.zone.all());
  out.EndObject();
  std::cout << '\n';
  return 0;
}

int diff(const ZoneCommand& arguments) {
  const dns_zone::Reading from = readFile(arguments, arguments.files[0]),
                          to = readFile(arguments, arguments.files[1]);
  for (const dns_zone::Reading* r : {&from, &to}) {
    for (const dns_zone::Mistake& m : r->mistakes) std::cerr << m.text() << '\n';
  }
  if (!from.mistakes.empty() || !to.mistakes.empty()) return 2;
  const dns_zone::Difference d = dns_zone::difference(from.zone, to.zone);
  if (arguments.json) {
    rapidjson::OStreamWrapper stream(std::cout);
    Writer out(stream);
    out.StartObject();
    writeRecords(out, "removed", d.removed);
    writeRecords(out, "added", d.added);
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

/// Sends a request and retransmits it with exponential backoff until its owner destroys it. All transmissions
/// have the same bytes, so a server that has already processed the request repeats its answer.
class Request {
 public:
  Request(event_base* base, const net::Address& to, std::string message, bool tcp)
      : base_(base),
        to_(to),
        message_(std::move(message)),
        tcp_(tcp || message_.size() > kMaxUdpBytes),
        retransmitTimer_(base, [this] { send(); }) {
    send();
  }
  std::string answer;  // the last message received; empty if there is none

 private:
  void send() {
    retransmitTimer_.schedule(retransmitDelay_);
    retransmitDelay_ *= 2;
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
      const std::size_t messageBytes = static_cast<std::size_t>(static_cast<unsigned char>(input_[0])) << 8 |
                                       static_cast<unsigned char>(input_[1]);
      if (input_.size() >= 2 + messageBytes) answer = input_.substr(2, messageBytes);
    };
    stream_ = std::make_unique<net::Stream>(base_, to_, 1000000, std::move(handlers));
  }

  event_base* base_;
  const net::Address to_;
  const std::string message_;
  const bool tcp_;
  Micros retransmitDelay_ = kInitialRetransmitDelay;
  std::random_device device_;
  std::unique_ptr<net::Datagram> udp_;
  std::unique_ptr<net::Stream> stream_;
  std::string input_;
  net::Timer retransmitTimer_;
};

std::string readInput(const std::string& file, std::vector<std::string>& problems) {
  if (file == "-") return {std::istreambuf_iterator<char>(std::cin), {}};
  std::ifstream in(file, std::ios::binary);
  if (!in) problems.push_back(file + ": cannot be read");
  return {std::istreambuf_iterator<char>(in), {}};
}

/// A signed update, and what is needed to verify its answer.
struct SignedUpdate {
  std::uint16_t id = 0;
  std::string bytes;
  std::string mac;  // of the request; the MAC of the answer covers it
  dns_zone::Keys keys;
};

/// Builds the update from the files on the command line. Reports problems on standard error; nothing if there
/// are any.
std::optional<SignedUpdate> signedUpdate(const ZoneCommand& arguments) {
  std::vector<std::string> problems;
  SignedUpdate update;
  update.keys = readKeys(arguments.key, problems);
  const std::string script = readInput(arguments.files[0], problems);
  dns_zone::Message m = readUpdateScript(script, arguments.files[0], arguments.origin, problems);
  const dns_zone::Key* key = arguments.label.empty() ? update.keys.only() : update.keys.find(arguments.label);
  if (problems.empty() && key == nullptr)
    problems.push_back("no matching key: expected --name with the name of a key in " + arguments.key);
  for (const std::string& p : problems) std::cerr << "peargrade: " << p << '\n';
  if (!problems.empty()) return std::nullopt;
  std::random_device device;
  m.id = update.id = static_cast<std::uint16_t>(device());
  update.bytes = dns_zone::sign(dns_zone::encodeMessage(m), *key, std::time(nullptr), update.mac);
  if (update.bytes.size() <= kMaxMessageBytes) return update;
  std::cerr << "peargrade: the update has " << update.bytes.size() << " bytes, more than the limit of "
            << kMaxMessageBytes << "\n";
  return std::nullopt;
}

/// Decodes the answer to `update`. Returns nothing for other messages and for an unsigned or wrongly signed
/// NOERROR; `warning` then describes the latter. Other rcodes are accepted unsigned, as a server that does
/// not know the key cannot sign.
std::optional<dns_zone::Message> answerFrom(const std::string& bytes, const SignedUpdate& update,
                                            std::string& warning) {
  auto decoded = dns_zone::decodeMessage(bytes);
  if (!decoded || !decoded->response || decoded->id != update.id) return std::nullopt;
  const bool isSigned = decoded->tsigAt.has_value();
  const auto checked = isSigned
                           ? dns_zone::check(bytes, *decoded, update.keys, std::time(nullptr), update.mac)
                           : dns_zone::Checked{};
  if (decoded->rcode == dns_zone::Rcode::NoError &&
      (!isSigned || checked.rcode != dns_zone::Rcode::NoError)) {
    warning = "ignored an answer without a valid signature";
    return std::nullopt;
  }
  return decoded;
}

int update(const ZoneCommand& arguments) {
  const auto server = net::Address::parse(arguments.server);
  if (!server) {
    std::cerr << "peargrade: expected a server address such as 127.0.0.1:5300, found '" << arguments.server
              << "'\n";
    return 2;
  }
  const auto update = signedUpdate(arguments);
  if (!update) return 2;
  const net::EventBase base = net::makeBase();
  Request request(base.get(), *server, update->bytes, arguments.tcp);
  bool timedOut = false;
  net::Timer timeout(base.get(), [&timedOut] { timedOut = true; });
  timeout.schedule(arguments.within);
  std::optional<dns_zone::Message> answer;
  std::string warning;
  while (!timedOut && !answer) {
    event_base_loop(base.get(), EVLOOP_ONCE);
    if (!request.answer.empty()) answer = answerFrom(std::exchange(request.answer, ""), *update, warning);
  }
  const bool accepted = answer && answer->rcode == dns_zone::Rcode::NoError;
  const std::string answerName = answer ? dns_zone::nameOf(answer->rcode) : "no answer";
  if (arguments.json) {
    rapidjson::OStreamWrapper stream(std::cout);
    Writer out(stream);
    out.StartObject();
    writeString(out, "answer", answerName);
    out.Key("accepted");
    out.Bool(accepted);
    out.EndObject();
    std::cout << '\n';
  } else {
    std::cout << arguments.origin << ": " << answerName << '\n';
  }
  if (!warning.empty()) std::cerr << "peargrade: " << warning << '\n';
  if (!answer) return 3;
  return accepted ? 0 : 1;
}

/// Writes the accepted serial to the state folder. The supervisor reads it at its next check of the zone
/// file.
int accept(const ZoneCommand& arguments) {
  const std::string path = acceptMarkerPath(arguments.state, arguments.label);
  std::ofstream out(path, std::ios::trunc);
  out << arguments.serial << '\n';
  out.close();
  if (!out) {
    std::cerr << "peargrade: " << path << ": cannot be written\n";
    return 1;
  }
  std::cout << arguments.label << ": serial " << arguments.serial << " will be accepted\n";
  return 0;
}

}  // namespace

int command(const ZoneCommand& arguments, log::Log&) {
  if (arguments.verb == "check") return check(arguments);
  if (arguments.verb == "show") return show(arguments);
  if (arguments.verb == "diff") return diff(arguments);
  if (arguments.verb == "update") return update(arguments);
  return accept(arguments);
}

}  // namespace peargrade::zone_server
