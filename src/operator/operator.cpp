#include "operator/operator.h"

#include <algorithm>
#include <fstream>

#include "kdl/kdl.h"
#include "operator/sources_section.h"

namespace peargrade::op {
namespace {

// A line for each, in the order of the file.
std::string linesOf(std::vector<Complaint> complaints, const std::string& file) {
  std::stable_sort(complaints.begin(), complaints.end(), [](const Complaint& a, const Complaint& b) {
    return std::pair(a.place.line, a.place.column) < std::pair(b.place.line, b.place.column);
  });
  std::string lines;
  for (const Complaint& c : complaints) {
    lines += (lines.empty() ? "" : "\n") + file + ":" + std::to_string(c.place.line) + ":" +
             std::to_string(c.place.column) + ": " + c.where + ": found " + c.found + ", expected " +
             c.expected;
  }
  return lines;
}

}  // namespace

Operator parse(const std::string& text, const std::string& file, const discovery::Names* names) {
  std::vector<Complaint> complaints;
  const Section top = check(schema(), kdl::parse(text), complaints);
  Operator o = SourcesReader(names, complaints).read(top.block("sources"));
  o.settingsReload = top.block("configuration").one("settings-reload").yes;
  if (!complaints.empty())
    throw ParseError(ParseErrorCode::InvalidOperatorFile, "", linesOf(std::move(complaints), file));
  return o;
}

Operator load(const std::string& path, const discovery::Names* names) {
  std::ifstream file(path, std::ios::binary);
  if (!file)
    throw ParseError(ParseErrorCode::InvalidOperatorFile, "",
                     path + ":1:1: file: found nothing that can be read, expected the operator's file");
  std::string text(kdl::kLargest + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(std::max<std::streamsize>(0, file.gcount())));
  if (file.bad())
    throw ParseError(ParseErrorCode::InvalidOperatorFile, "",
                     path + ":1:1: file: found an error while reading, expected the operator's file");
  return parse(text, path, names);
}

}  // namespace peargrade::op
