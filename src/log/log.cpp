#include "log/log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <climits>
#include <ctime>
#include <iomanip>
#include <iterator>

namespace peargrade::log {
namespace {

constexpr std::size_t kBufferMax = std::size_t{256} << 10;  // bytes
constexpr std::size_t kLineMax = 2048;                      // bytes, including the line terminator
constexpr const char* kLevelNames[] = {"debug", "info", "warn", "error", "off"};

// Formats the current time in UTC with milliseconds, as in 2024-05-01T12:00:00.000Z.
std::string timestamp() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  const std::time_t seconds = static_cast<std::time_t>(milliseconds / 1000);
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::ostringstream text;
  text << std::put_time(&utc, "%Y-%m-%dT%H:%M:%S") << '.' << std::setw(3) << std::setfill('0')
       << milliseconds % 1000 << 'Z';
  return text.str();
}

bool isControl(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return byte < ' ' || byte == 127;
}

}  // namespace

std::optional<Level> levelNamed(const std::string& name) {
  const auto found = std::find(std::begin(kLevelNames), std::end(kLevelNames), name);
  if (found == std::end(kLevelNames)) return std::nullopt;
  return static_cast<Level>(found - std::begin(kLevelNames));
}

Line::Line(Log* log, Level level, const char* part) : log_(log) {
  if (log_ != nullptr)
    text_ << timestamp() << ' ' << kLevelNames[static_cast<int>(level)] << ' ' << part << ": ";
}

Line::~Line() {
  if (log_ != nullptr) log_->add(text_.str());
}

Log::Log(int fd, Level level) : fd_(fd), level_(level) {}

Log::~Log() { flush(); }

void Log::ended(const char* part, const std::string& peer, CloseReason reason, const std::string& detail) {
  Line text = info(part);
  text << "connection " << peer << " ended code=" << code(reason);
  if (!detail.empty()) text << " (" << detail << ")";
}

// Text from peers may contain control characters, such as line breaks. They are replaced, so that it cannot
// forge log lines.
void Log::add(const std::string& text) {
  if (buffer_.size() + kLineMax > kBufferMax) {
    ++dropped_;
    ++droppedNotYetLogged_;
    return;
  }
  const std::size_t length = std::min(text.size(), kLineMax - 2);
  std::replace_copy_if(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(length),
                       std::back_inserter(buffer_), isControl, '?');
  buffer_.push_back('\n');
}

// Writes at most PIPE_BUF bytes at a time: a pipe that poll() reports as writable accepts that many without
// blocking.
void Log::flush() {
  std::size_t written = 0;
  while (written < buffer_.size()) {
    pollfd ready{fd_, POLLOUT, 0};
    if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) break;
    const std::size_t size = std::min<std::size_t>(buffer_.size() - written, PIPE_BUF);
    const ssize_t accepted = write(fd_, buffer_.data() + written, size);
    if (accepted < 0 && errno == EINTR) continue;
    if (accepted <= 0) break;
    written += static_cast<std::size_t>(accepted);
  }
  buffer_.erase(0, written);
  reportDroppedLines();
}

void Log::reportDroppedLines() {
  if (droppedNotYetLogged_ == 0 || buffer_.size() >= kBufferMax / 2) return;
  const std::uint64_t lines = droppedNotYetLogged_;
  droppedNotYetLogged_ = 0;
  warn("log") << lines << " lines lost to a slow reader";
}

}  // namespace peargrade::log
