#include "scale/part.h"

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

constexpr std::size_t kLongestLine = 1 << 20;
constexpr char kTrouble[] = "trouble";  // the member of an answer that holds a text in place of figures

std::string written(const Figures& figures) {
  rapidjson::StringBuffer text;
  rapidjson::Writer<rapidjson::StringBuffer> json(text);
  json.StartObject();
  for (const auto& [name, values] : figures) {
    json.Key(name.c_str());
    json.StartArray();
    for (const double value : values) json.Double(std::isfinite(value) ? value : 0);
    json.EndArray();
  }
  json.EndObject();
  return text.GetString();
}

std::string trouble(const std::string& what) {
  rapidjson::StringBuffer text;
  rapidjson::Writer<rapidjson::StringBuffer> json(text);
  json.StartObject();
  json.Key(kTrouble);
  json.String(what.c_str());
  json.EndObject();
  return text.GetString();
}

Figures read(const std::string& line, const std::string& name) {
  rapidjson::Document doc;
  doc.Parse(line.c_str());
  if (!doc.IsObject()) throw Failed(name + ": an answer that cannot be read");
  if (const auto it = doc.FindMember(kTrouble); it != doc.MemberEnd())
    throw Failed(name + ": " + it->value.GetString());
  Figures figures;
  for (const auto& member : doc.GetObject()) {
    for (const auto& value : member.value.GetArray())
      figures[member.name.GetString()].push_back(value.GetDouble());
    if (member.value.Empty()) figures[member.name.GetString()];
  }
  return figures;
}

Words split(const std::string& line) {
  std::istringstream in(line);
  Words words;
  for (std::string word; in >> word;) words.push_back(word);
  return words;
}

// The life of a part's process: until the fleet closes its end.
void serve(int socket, const MakePart& make) {
  signal(SIGPIPE, SIG_IGN);
  const net::EventBase base = net::makeBase();
  std::unique_ptr<Part> part;
  std::string broken;  // why there is no part
  try {
    part = make(base.get());
  } catch (const std::exception& e) {
    broken = e.what();
  }
  bool over = false;
  net::LineSplitter lines(kLongestLine);
  std::unique_ptr<net::Stream> stream;
  const auto onLine = [&](const std::string& line) {
    if (!part) return stream->send(trouble(broken) + "\n");
    try {
      stream->send(written(part->on(split(line))) + "\n");
    } catch (const std::exception& e) {
      stream->send(trouble(e.what()) + "\n");
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
                            [&](log::CloseReason, const std::string&) { over = true; }});
  while (!over) {
    if (part) part->turn();
    event_base_loop(base.get(), EVLOOP_ONCE | (part && part->waiting() ? EVLOOP_NONBLOCK : 0));
  }
}

}  // namespace

Child::Child(std::string name, const MakePart& make, Micros deadline)
    : name_(std::move(name)), deadline_(deadline) {
  int ends[2];
  if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends) != 0)
    throw Failed(name_ + ": no socket: " + std::strerror(errno));
  const pid_t parent = getpid();
  process_ = fork();
  if (process_ < 0) throw Failed(name_ + ": no process: " + std::strerror(errno));
  if (process_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(1);
    close(ends[0]);
    serve(ends[1], make);
    _exit(0);
  }
  close(ends[1]);
  socket_ = ends[0];
}

Child::~Child() { kill(); }

void Child::kill() {
  if (process_ <= 0) return;
  ::kill(process_, SIGKILL);
  waitpid(process_, nullptr, 0);
  close(socket_);
  process_ = -1;
}

void Child::check() {
  if (process_ <= 0 || waitpid(process_, nullptr, WNOHANG) != process_) return;
  close(socket_);
  process_ = -1;
  throw Failed(name_ + ": has ended by itself");
}

Figures Child::ask(const std::string& words) {
  tell(words);
  return answer();
}

void Child::tell(const std::string& words) {
  if (process_ <= 0) throw Failed(name_ + ": has ended");
  const std::string line = words + "\n";
  for (std::size_t done = 0; done < line.size();) {
    const ssize_t size = ::send(socket_, line.data() + done, line.size() - done, MSG_NOSIGNAL);
    if (size < 0 && errno == EINTR) continue;
    if (size <= 0) throw Failed(name_ + ": has ended");
    done += static_cast<std::size_t>(size);
  }
}

Figures Child::answer() {
  std::size_t end;
  while ((end = input_.find('\n')) == std::string::npos) {
    const Micros left = deadline_ - net::steadyNow();
    if (left <= 0) throw OutOfTime(name_ + ": no answer by the end of the run's time");
    pollfd ready{socket_, POLLIN, 0};
    if (poll(&ready, 1, static_cast<int>(left / 1000 + 1)) <= 0) continue;
    char piece[65536];
    const ssize_t size = recv(socket_, piece, sizeof piece, 0);
    if (size < 0 && errno == EINTR) continue;
    if (size <= 0) throw Failed(name_ + ": has ended");
    input_.append(piece, static_cast<std::size_t>(size));
  }
  const std::string line = input_.substr(0, end);
  input_.erase(0, end + 1);
  return read(line, name_);
}

}  // namespace peargrade::scale
