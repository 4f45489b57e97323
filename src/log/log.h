/// Logging with a level filter. Lines go into a bounded buffer and are written only as far as the reader
/// takes them: a stalled reader loses lines but never delays the program.
#pragma once

#include <cstdint>
#include <optional>
#include <sstream>
#include <string>

#include "log/close_reason.h"

namespace peargrade::log {

/// In ascending order; Off is a filter that no line passes.
enum class Level { Debug, Info, Warn, Error, Off };

/// The level that an option names, for example "warn"; nothing for an unknown name.
std::optional<Level> levelNamed(const std::string& name);

class Log;

/// One log line under construction, filled with `<<`; its destructor hands it to the log.
class Line {
 public:
  /// `log`: null for a line that the level filter drops. `part`: the component that logs.
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

/// The log of the program; used on the event loop's thread.
class Log {
 public:
  /// Writes to `fd`, which it does not own, the lines of `level` and above.
  explicit Log(int fd, Level level = Level::Info);
  /// Flushes.
  ~Log();
  Log(const Log&) = delete;
  Log& operator=(const Log&) = delete;

  /// Whether lines of `level` pass the filter.
  bool shows(Level level) const { return level >= level_; }
  Line debug(const char* part) { return line(Level::Debug, part); }
  Line info(const char* part) { return line(Level::Info, part); }
  Line warn(const char* part) { return line(Level::Warn, part); }
  Line error(const char* part) { return line(Level::Error, part); }
  Line line(Level level, const char* part) { return Line(shows(level) ? this : nullptr, level, part); }

  /// Writes the line that every connection leaves when it ends. `peer`: its address and role. `detail`: may
  /// be empty.
  void ended(const char* part, const std::string& peer, CloseReason reason, const std::string& detail);

  /// Writes what the reader takes without waiting. Called by the loop after each turn.
  void flush();
  /// Lines dropped so far because the buffer was full.
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
