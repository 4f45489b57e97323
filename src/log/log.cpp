#include "log/log.h"

#include <poll.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <climits>
#include <ctime>
#include <iomanip>

namespace peargrade::log {
namespace {

constexpr std::size_t kBufferMax = std::size_t{256} << 10;
constexpr std::size_t kLineMax = 2048;
const char* const kLevels[] = {"debug", "info", "warn", "error", "off"};

std::string stamp() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  const std::time_t seconds = static_cast<std::time_t>(ms / 1000);
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::ostringstream text;
  text << std::put_time(&utc, "%Y-%m-%dT%H:%M:%S") << '.' << std::setw(3) << std::setfill('0') << ms % 1000
       << 'Z';
  return text.str();
}

}  // namespace

const char* code(Reason reason) {
  switch (reason) {
    case Reason::PeerClosed:
      return "peer-closed";
    case Reason::Reset:
      return "reset";
    case Reason::Refused:
      return "refused";
    case Reason::ConnectTimeout:
      return "connect-timeout";
    case Reason::Silent:
      return "silent";
    case Reason::IdleClosed:
      return "idle-closed";
    case Reason::NoAnswer:
      return "no-answer";
    case Reason::BadLength:
      return "bad-length";
    case Reason::BadMessage:
      return "bad-message";
    case Reason::BadAnswer:
      return "bad-answer";
    case Reason::TooLong:
      return "too-long";
    case Reason::SlowReader:
      return "slow-reader";
    case Reason::ConnectionLimit:
      return "connection-limit";
    case Reason::Unidentified:
      return "unidentified";
    case Reason::NotJoined:
      return "not-joined";
    case Reason::IncompleteMessage:
      return "incomplete-message";
    case Reason::HeartbeatsOnly:
      return "heartbeats-only";
    case Reason::Moved:
      return "moved";
    case Reason::RevisionRegressed:
      return "revision-regressed";
    case Reason::Discarded:
      return "discarded";
    case Reason::Stopping:
      return "stopping";
  }
  return "unknown";
}

std::optional<Level> levelNamed(const std::string& name) {
  for (int k = 0; k < 5; ++k) {
    if (name == kLevels[k]) return static_cast<Level>(k);
  }
  return std::nullopt;
}

Line::Line(Log* log, Level level, const char* part) : log_(log) {
  if (log_ != nullptr) text_ << stamp() << ' ' << kLevels[static_cast<int>(level)] << ' ' << part << ": ";
}

Line::~Line() {
  if (log_ != nullptr) log_->add(text_.str());
}

Log::Log(int fd, Level level) : fd_(fd), level_(level) {}

Log::~Log() { flush(); }

void Log::ended(const char* part, const std::string& peer, Reason reason, const std::string& detail) {
  Line text = info(part);
  text << "connection " << peer << " ended code=" << code(reason);
  if (!detail.empty()) text << " (" << detail << ")";
}

// What comes from outside may hold anything: control bytes are replaced so that a line stays one line.
void Log::add(const std::string& text) {
  if (buffer_.size() + kLineMax > kBufferMax) {
    ++dropped_;
    ++unsaid_;
    return;
  }
  for (std::size_t i = 0; i < text.size() && i < kLineMax - 2; ++i) {
    const unsigned char c = static_cast<unsigned char>(text[i]);
    buffer_.push_back(c < ' ' || c == 127 ? '?' : text[i]);
  }
  buffer_.push_back('\n');
}

// A pipe that poll calls writable takes PIPE_BUF bytes without blocking.
void Log::flush() {
  std::size_t done = 0;
  while (done < buffer_.size()) {
    pollfd ready{fd_, POLLOUT, 0};
    if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) break;
    const std::size_t size = std::min<std::size_t>(buffer_.size() - done, PIPE_BUF);
    const ssize_t wrote = write(fd_, buffer_.data() + done, size);
    if (wrote < 0 && errno == EINTR) continue;
    if (wrote <= 0) break;
    done += static_cast<std::size_t>(wrote);
  }
  buffer_.erase(0, done);
  if (unsaid_ > 0 && buffer_.size() < kBufferMax / 2) {
    const std::uint64_t lost = unsaid_;
    unsaid_ = 0;
    warn("log") << lost << " lines lost to a slow reader";
  }
}

}  // namespace peargrade::log
