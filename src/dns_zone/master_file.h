// Reads and writes zone files in the master format (RFC 1035, section 5; $TTL: RFC 2308, section 4). A zone
// with any mistake is rejected as a whole; each mistake is reported with file, line and column. The caller
// passes a function that reads files, so this module does no I/O itself.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "dns_zone/zone.h"

namespace peargrade::dns_zone {

/// One mistake in a zone file; line and column count from 1.
struct Mistake {
  std::string file;
  std::size_t line = 1;
  std::size_t column = 1;
  std::string found;
  std::string expected;
  std::string text() const {
    return file + ":" + std::to_string(line) + ":" + std::to_string(column) + ": found " + found +
           ", expected " + expected;
  }
};

/// The result of reading a zone file.
struct Reading {
  Zone zone;
  std::vector<Mistake> mistakes;   // in file order; `zone` is valid only if empty
  std::vector<Mistake> doubts;     // warnings: allowed, but probably not intended
  std::vector<std::string> files;  // all files read, in reading order
};

/// Reads the file at `path`, which is relative to the folder that $INCLUDE is confined to, into `text`.
/// Returns false and sets `why` if the file cannot be read.
using ReadFile = std::function<bool(const std::string& path, std::string& text, std::string& why)>;

/// Limits of one zone file together with all files that it includes.
struct MasterFileBounds {
  std::size_t records = 1000000;
  int includes = 8;            // nesting depth
  std::size_t mistakes = 100;  // reading stops at this number
};

/// Reads the zone `origin`. Names are relative to `origin` until a $ORIGIN directive changes that.
Reading readMasterFile(const std::string& path, const std::string& origin, const ReadFile& read,
                       const MasterFileBounds& bounds = {});

/// Formats the zone as a master file; reading that file yields an equal zone.
std::string writeMasterFile(const Zone& zone);

}  // namespace peargrade::dns_zone
