#include "wire/codec.h"

#include <utility>

#include "wire/action_writer.h"
#include "wire/event_parser.h"
#include "wire/fields.h"

namespace peargrade::wire {
namespace {

InputGroup parseGroup(const Value& value, const std::string& batch) {
  InputGroup group;
  group.supervisor = static_cast<int>(Fields(value, batch + ": group").integer("supervisor", 0, kIntMax));
  const std::string where = batch + ": supervisor " + std::to_string(group.supervisor);
  const Fields fields(value, where);
  for (const Value& input : fields.array("input").GetArray())
    group.inputs.push_back(parseInput(input, where));
  return group;
}

void writeGroup(JsonWriter& writer, const ReplyGroup& group) {
  writer.StartObject();
  writer.Key("supervisor");
  writer.Int(group.supervisor);
  writer.Key("out");
  writer.StartArray();
  for (const Action& action : group.actions) writeAction(writer, action);
  writer.EndArray();
  writer.EndObject();
}

}  // namespace

Batch parseBatch(const std::string& line) {
  rapidjson::Document document;
  parseJson(document, line, "batch");
  Batch batch;
  batch.sequenceNumber = Fields(document, "batch").integer("turn", 0, kMicrosMax);
  const std::string where = "batch " + std::to_string(batch.sequenceNumber);
  const Fields fields(document, where);
  batch.now = fields.integer("wallUs", 0, kMicrosMax);
  for (const Value& group : fields.array("groups").GetArray())
    batch.groups.push_back(parseGroup(group, where));
  return batch;
}

std::string writeReply(const Reply& reply) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  writer.Key("turn");
  writer.Int64(reply.sequenceNumber);
  writer.Key("groups");
  writer.StartArray();
  for (const ReplyGroup& group : reply.groups) writeGroup(writer, group);
  writer.EndArray();
  writer.EndObject();
  return buffer.GetString();
}

}  // namespace peargrade::wire
