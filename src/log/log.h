// Logging on iostreams with a level filter. Lines are kept in a bounded buffer and written only as far as the
// reader takes them, so a stalled reader costs lines, never time.
#pragma once

#include <cstdint>
#include <optional>
#include <sstream>
#include <string>

#include "log/reason.h"

namespace peargrade::log {

enum class Level { Debug, Info, Warn, Error, Off };
std::optional<Level> levelNamed(const std::string& name);

class Log;

// One line in the making; it is written when it goes out of scope.
class Line {
 public:
  Line(Log* log, Level level, const char* part);
  ~Line();
  Line(const Line&) = delete;
  Line& operator=(const Line&) = delete;

  template <class T>
  Line& operator<<(const T& value) {
    if (log_ != nullptr) text_ << value;
    return *this;
  }

 private:
  Log* log_;  // none: filtered out
  std::ostringstream text_;
};

class Log {
 public:
  explicit Log(int fd, Level level = Level::Info);
  ~Log();
  Log(const Log&) = delete;
  Log& operator=(const Log&) = delete;

  bool shows(Level level) const { return level >= level_; }
  Line debug(const char* part) { return line(Level::Debug, part); }
  Line info(const char* part) { return line(Level::Info, part); }
  Line warn(const char* part) { return line(Level::Warn, part); }
  Line error(const char* part) { return line(Level::Error, part); }
  Line line(Level level, const char* part) { return Line(shows(level) ? this : nullptr, level, part); }

  // The one line that a connection leaves when it ends.
  void ended(const char* part, const std::string& peer, Reason reason, const std::string& detail);

  // Writes what the reader takes without waiting.
  void flush();
  std::uint64_t dropped() const { return dropped_; }

 private:
  friend class Line;
  void add(const std::string& text);

  int fd_;
  Level level_;
  std::string buffer_;
  std::uint64_t dropped_ = 0, unsaid_ = 0;
};

}  // namespace peargrade::log
