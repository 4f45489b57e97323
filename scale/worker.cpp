#include "scale/worker.h"

#include <poll.h>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cmath>
#include <cstring>
#include <sstream>

#include "net/line_splitter.h"

namespace peargrade::scale {
namespace {

constexpr std::size_t kMaxLineBytes = 1 << 20;
constexpr char kErrorKey[] = "trouble";  // the member of a reply that holds an error message

std::string formatReply(const Measurements& measurements) {
  rapidjson::StringBuffer text;
  rapidjson::Writer<rapidjson::StringBuffer> json(text);
  json.StartObject();
  for (const auto& [name, values] : measurements) {
    json.Key(name.c_str());
    json.StartArray();
    for (const double value : values) json.Double(std::isfinite(value) ? value : 0);
    json.EndArray();
  }
  json.EndObject();
  return text.GetString();
}

std::string formatError(const std::string& message) {
  rapidjson::StringBuffer text;
  rapidjson::Writer<rapidjson::StringBuffer> json(text);
  json.StartObject();
  json.Key(kErrorKey);
  json.String(message.c_str());
  json.EndObject();
  return text.GetString();
}

Measurements parseReply(const std::string& line, const std::string& name) {
  rapidjson::Document doc;
  doc.Parse(line.c_str());
  if (!doc.IsObject()) throw WorkerError(name + ": found an invalid reply, expected a JSON object");
  if (const auto it = doc.FindMember(kErrorKey); it != doc.MemberEnd())
    throw WorkerError(name + ": " + it->value.GetString());
  Measurements measurements;
  for (const auto& member : doc.GetObject()) {
    for (const auto& value : member.value.GetArray())
      measurements[member.name.GetString()].push_back(value.GetDouble());
    if (member.value.Empty()) measurements[member.name.GetString()];
  }
  return measurements;
}

Command splitWords(const std::string& line) {
  std::istringstream in(line);
  Command command;
  for (std::string word; in >> word;) command.push_back(word);
  return command;
}

/// Main function of a worker process. Returns when the fleet closes its end of the socket.
void runWorker(int socket, const WorkerFactory& makeWorker) {
  signal(SIGPIPE, SIG_IGN);
  const net::EventBase base = net::makeBase();
  std::unique_ptr<Worker> worker;
  std::string creationError;  // message of the exception of makeWorker
  try {
    worker = makeWorker(base.get());
  } catch (const std::exception& e) {
    creationError = e.what();
  }
  bool closed = false;
  net::LineSplitter lines(kMaxLineBytes);
  std::unique_ptr<net::Stream> stream;
  const auto onLine = [&](const std::string& line) {
    if (!worker) return stream->send(formatError(creationError) + "\n");
    try {
      stream->send(formatReply(worker->handle(splitWords(line))) + "\n");
    } catch (const std::exception& e) {
      stream->send(formatError(e.what()) + "\n");
    }
  };
  stream = std::make_unique<net::Stream>(
      base.get(), socket,
      net::Stream::Handlers{nullptr,
                            [&](evbuffer* input) {
                              std::string bytes(evbuffer_get_length(input), '\0');
                              evbuffer_remove(input, bytes.data(), bytes.size());
                              lines.add(bytes.data(), bytes.size());
                              for (std::string line; lines.next(line);) onLine(line);
                            },
                            [&](log::CloseReason, const std::string&) { closed = true; }});
  while (!closed) {
    if (worker) worker->beforeLoopIteration();
    event_base_loop(base.get(), EVLOOP_ONCE | (worker && worker->hasPendingWork() ? EVLOOP_NONBLOCK : 0));
  }
}

}  // namespace

WorkerProcess::WorkerProcess(std::string name, const WorkerFactory& makeWorker, Micros deadline)
    : name_(std::move(name)), deadline_(deadline) {
  int sockets[2];
  if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, sockets) != 0)
    throw WorkerError(name_ + ": socketpair failed: " + std::strerror(errno));
  const pid_t parent = getpid();
  process_ = fork();
  if (process_ < 0) throw WorkerError(name_ + ": fork failed: " + std::strerror(errno));
  if (process_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(1);
    close(sockets[0]);
    runWorker(sockets[1], makeWorker);
    _exit(0);
  }
  close(sockets[1]);
  socket_ = sockets[0];
}

WorkerProcess::~WorkerProcess() { kill(); }

void WorkerProcess::kill() {
  if (process_ <= 0) return;
  ::kill(process_, SIGKILL);
  waitpid(process_, nullptr, 0);
  close(socket_);
  process_ = -1;
}

void WorkerProcess::checkRunning() {
  if (process_ <= 0 || waitpid(process_, nullptr, WNOHANG) != process_) return;
  close(socket_);
  process_ = -1;
  throw WorkerError(name_ + ": process has exited by itself");
}

Measurements WorkerProcess::request(const std::string& command) {
  sendCommand(command);
  return receiveReply();
}

void WorkerProcess::sendCommand(const std::string& command) {
  if (process_ <= 0) throw WorkerError(name_ + ": process has exited");
  const std::string line = command + "\n";
  for (std::size_t sent = 0; sent < line.size();) {
    const ssize_t size = ::send(socket_, line.data() + sent, line.size() - sent, MSG_NOSIGNAL);
    if (size < 0 && errno == EINTR) continue;
    if (size <= 0) throw WorkerError(name_ + ": process has exited");
    sent += static_cast<std::size_t>(size);
  }
}

Measurements WorkerProcess::receiveReply() {
  std::size_t end;
  while ((end = input_.find('\n')) == std::string::npos) {
    const Micros remaining = deadline_ - net::steadyNow();
    if (remaining <= 0) throw TimeLimitExceeded(name_ + ": no reply before the deadline of the run");
    pollfd readable{socket_, POLLIN, 0};
    if (poll(&readable, 1, static_cast<int>(remaining / 1000 + 1)) <= 0) continue;
    char buffer[65536];
    const ssize_t size = recv(socket_, buffer, sizeof buffer, 0);
    if (size < 0 && errno == EINTR) continue;
    if (size <= 0) throw WorkerError(name_ + ": process has exited");
    input_.append(buffer, static_cast<std::size_t>(size));
  }
  const std::string line = input_.substr(0, end);
  input_.erase(0, end + 1);
  return parseReply(line, name_);
}

}  // namespace peargrade::scale
