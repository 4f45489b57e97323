// Zone files in the master format (RFC 1035, section 5; $TTL: RFC 2308, section 4). A file is read whole or
// not at all; every mistake is told with file, line and column. Files come through a function, so that this
// is free of I/O.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "dns_zone/zone.h"

namespace peargrade::dns_zone {

// One mistake in a zone file; line and column count from 1.
struct Mistake {
  std::string file;
  std::size_t line = 1, column = 1;
  std::string found, expected;
  std::string text() const {
    return file + ":" + std::to_string(line) + ":" + std::to_string(column) + ": found " + found +
           ", expected " + expected;
  }
};

// What became of reading a zone file.
struct Reading {
  Zone zone;
  std::vector<Mistake> mistakes;   // in the order of the files; the zone counts only where there are none
  std::vector<Mistake> doubts;     // what is allowed and likely not meant
  std::vector<std::string> files;  // that were read, the first one first
};

// What a path holds; the path is relative to the folder that includes are kept within. False, with why, where
// it cannot be read.
using ReadFile = std::function<bool(const std::string& path, std::string& text, std::string& why)>;

// What a zone file may hold at most, over all files that it includes.
struct MasterFileBounds {
  std::size_t records = 1000000;
  int includes = 8;            // one within another
  std::size_t mistakes = 100;  // told; reading ends there
};

// `origin`: of the zone; names are relative to it until $ORIGIN says otherwise.
Reading readMasterFile(const std::string& path, const std::string& origin, const ReadFile& read,
                       const MasterFileBounds& bounds = {});

// The zone as a file that reads back the same.
std::string writeMasterFile(const Zone& zone);

}  // namespace peargrade::dns_zone
