/// Logging with a level filter. Lines are kept in a bounded buffer and written without blocking. If the
/// reader of the log stalls, lines are dropped; the program is never delayed.
#pragma once

#include <cstdint>
#include <optional>
#include <sstream>
#include <string>

#include "log/close_reason.h"

namespace peargrade::log {

/// Levels in ascending order. Off is only for the filter: it suppresses all lines.
enum class Level { Debug, Info, Warn, Error, Off };

/// Parses the name of a level, for example "warn". Returns nullopt for an unknown name.
std::optional<Level> levelNamed(const std::string& name);

class Log;

/// Builder of one log line. Text is appended with `<<`; the destructor adds the line to the log.
class Line {
 public:
  /// `log`: null if the level filter suppresses the line. `part`: name of the component that logs.
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
  Log* log_;
  std::ostringstream text_;
};

/// The program's log. Used on the event loop's thread only.
class Log {
 public:
  /// Writes lines of `level` and above to the file descriptor `fd`, which remains owned by the caller.
  explicit Log(int fd, Level level = Level::Info);
  /// Flushes the buffer.
  ~Log();
  Log(const Log&) = delete;
  Log& operator=(const Log&) = delete;

  /// Whether the filter passes lines of `level`.
  bool shows(Level level) const { return level >= level_; }
  Line debug(const char* part) { return line(Level::Debug, part); }
  Line info(const char* part) { return line(Level::Info, part); }
  Line warn(const char* part) { return line(Level::Warn, part); }
  Line error(const char* part) { return line(Level::Error, part); }
  Line line(Level level, const char* part) { return Line(shows(level) ? this : nullptr, level, part); }

  /// Logs the end of a connection; to be called once for each connection. `peer`: address and role of the
  /// peer. `detail`: additional text, may be empty.
  void ended(const char* part, const std::string& peer, CloseReason reason, const std::string& detail);

  /// Writes as much of the buffer as is possible without blocking. The event loop calls it after each
  /// iteration.
  void flush();
  /// Number of lines dropped so far because the buffer was full.
  std::uint64_t dropped() const { return dropped_; }

 private:
  friend class Line;
  void add(const std::string& text);
  void reportDroppedLines();

  int fd_;
  Level level_;
  std::string buffer_;
  std::uint64_t dropped_ = 0;
  std::uint64_t droppedNotYetLogged_ = 0;
};

}  // namespace peargrade::log
