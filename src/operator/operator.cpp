#include "operator/operator.h"

#include <algorithm>
#include <fstream>

#include "kdl/kdl.h"
#include "operator/sources_section.h"

namespace peargrade::op {
namespace {

// Formats the errors, a line for each, in the order of the file.
std::string formatErrors(std::vector<Complaint> errors, const std::string& file) {
  std::stable_sort(errors.begin(), errors.end(), [](const Complaint& a, const Complaint& b) {
    return std::pair(a.place.line, a.place.column) < std::pair(b.place.line, b.place.column);
  });
  std::string lines;
  for (const Complaint& error : errors) {
    lines += (lines.empty() ? "" : "\n") + file + ":" + std::to_string(error.place.line) + ":" +
             std::to_string(error.place.column) + ": " + error.where + ": found " + error.found +
             ", expected " + error.expected;
  }
  return lines;
}

}  // namespace

Operator parse(const std::string& text, const std::string& file, const discovery::Names* names) {
  std::vector<Complaint> errors;
  const Section top = check(schema(), kdl::parse(text), errors);
  Operator settings = SourcesReader(names, errors).read(top.block("sources"));
  settings.settingsReload = top.block("configuration").one("settings-reload").yes;
  if (!errors.empty())
    throw ParseError(ParseErrorCode::InvalidOperatorFile, "", formatErrors(std::move(errors), file));
  return settings;
}

Operator load(const std::string& path, const discovery::Names* names) {
  std::ifstream file(path, std::ios::binary);
  if (!file)
    throw ParseError(ParseErrorCode::InvalidOperatorFile, "",
                     path + ":1:1: file: found no readable file, expected the operator's file");
  std::string text(kdl::kDocumentBytesMax + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(std::max<std::streamsize>(0, file.gcount())));
  if (file.bad())
    throw ParseError(ParseErrorCode::InvalidOperatorFile, "",
                     path + ":1:1: file: found a read error, expected the operator's file");
  return parse(text, path, names);
}

}  // namespace peargrade::op
