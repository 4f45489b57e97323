#include "wire/action_writer.h"

#include <cstdint>
#include <string>

#include "wire/hex.h"

namespace peargrade::wire {
namespace {

// Visitor that writes one action: opens the object under the action's wire name and writes its fields in the
// order of the protocol.
class ActionWriter {
 public:
  explicit ActionWriter(JsonWriter& writer) : writer_(writer) {}

  void operator()(const SetTimer& action) {
    begin("schedule");
    integer("waitUs", action.delay);
    text("handle", action.token);
  }
  void operator()(const WatchEndpoints& action) {
    begin("track");
    boolean("on", action.enabled);
  }
  void operator()(const PollEndpoints&) { begin("lookup"); }
  void operator()(const HealthCheck& action) {
    begin("ping");
    text("server", action.server);
  }
  void operator()(const SendGossip& action) {
    begin("say");
    text("to", "*");
    text("octets", toHex(action.payload));
  }
  void operator()(const SetRoute& action) {
    begin("setLine");
    integer("tbl", action.table);
    text("server", action.server);
    number("w", action.weight);
  }
  void operator()(const ClearTable& action) {
    begin("truncate");
    integer("tbl", action.table);
  }
  void operator()(const SetEjection& action) {
    begin("pull");
    boolean("on", action.state == EjectionState::Ejected);
    text("server", action.server);
  }
  void operator()(const SetAdmission& action) {
    begin("throttle");
    integer("tbl", action.table);
    integer("secondTry", static_cast<int>(action.retryPolicy));
    integer("classes", action.classMask);
    number("limit", action.ratio);
  }
  void operator()(const AcknowledgementRequest& action) {
    begin("nonce");
    boolean("on", action.everyProxy);
    integer("rev", action.updateId);
  }
  void operator()(const Log& action) {
    begin("print");
    text("text", action.text);
  }

 private:
  // Opens the object of the action's fields; writeAction() closes it.
  void begin(const char* name) {
    writer_.Key(name);
    writer_.StartObject();
  }
  void text(const char* name, const std::string& value) {
    writer_.Key(name);
    writer_.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  }
  void integer(const char* name, std::int64_t value) {
    writer_.Key(name);
    writer_.Int64(value);
  }
  void number(const char* name, double value) {
    writer_.Key(name);
    writer_.Double(value);
  }
  void boolean(const char* name, bool value) {
    writer_.Key(name);
    writer_.Bool(value);
  }

  JsonWriter& writer_;
};

}  // namespace

void writeAction(JsonWriter& writer, const Action& action) {
  writer.StartObject();
  std::visit(ActionWriter(writer), action);
  writer.EndObject();
  writer.EndObject();
}

}  // namespace peargrade::wire
