#include "files/files.h"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace peargrade::files {
namespace {

constexpr char kLockFile[] = "lock";

/// Owns a file descriptor.
class FileDescriptor {
 public:
  explicit FileDescriptor(int fd) : fd_(fd) {}
  ~FileDescriptor() {
    if (fd_ >= 0) close(fd_);
  }
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;
  int get() const { return fd_; }

 private:
  int fd_;
};

/// The failure that `errno` describes, of the operation `what`.
Outcome systemError(const std::string& what) {
  return {false, errno == ENOENT, what + ": " + std::strerror(errno)};
}

class Folder : public Files {
 public:
  Folder(int fd, int lockFd) : folder_(fd), lock_(lockFd) {}

  Outcome read(const std::string& name, std::string& bytes) override {
    const FileDescriptor fd(openat(folder_.get(), name.c_str(), O_RDONLY | O_CLOEXEC | O_NOFOLLOW));
    if (fd.get() < 0) return systemError("cannot open " + name);
    bytes.clear();
    char buffer[65536];
    for (;;) {
      const ssize_t bytesRead = ::read(fd.get(), buffer, sizeof buffer);
      if (bytesRead < 0 && errno == EINTR) continue;
      if (bytesRead < 0) return systemError("cannot read " + name);
      if (bytesRead == 0) return {};
      bytes.append(buffer, static_cast<std::size_t>(bytesRead));
    }
  }
  Outcome write(const std::string& name, const std::string& bytes) override {
    return writeAll(name, bytes, O_TRUNC);
  }
  Outcome append(const std::string& name, const std::string& bytes) override {
    return writeAll(name, bytes, O_APPEND);
  }
  Outcome truncate(const std::string& name, std::size_t size) override {
    const FileDescriptor fd(openat(folder_.get(), name.c_str(), O_WRONLY | O_CLOEXEC | O_NOFOLLOW));
    if (fd.get() < 0) return systemError("cannot open " + name);
    return ftruncate(fd.get(), static_cast<off_t>(size)) == 0 ? Outcome{}
                                                              : systemError("cannot truncate " + name);
  }
  Outcome sync(const std::string& name) override {
    const FileDescriptor fd(openat(folder_.get(), name.c_str(), O_WRONLY | O_CLOEXEC | O_NOFOLLOW));
    if (fd.get() < 0) return systemError("cannot open " + name);
    return fdatasync(fd.get()) == 0 ? Outcome{} : systemError("cannot sync " + name);
  }
  Outcome rename(const std::string& from, const std::string& to) override {
    const bool done = renameat(folder_.get(), from.c_str(), folder_.get(), to.c_str()) == 0;
    return done ? Outcome{} : systemError("cannot rename " + from);
  }
  Outcome remove(const std::string& name) override {
    return unlinkat(folder_.get(), name.c_str(), 0) == 0 ? Outcome{} : systemError("cannot remove " + name);
  }
  Outcome syncFolder() override {
    return fsync(folder_.get()) == 0 ? Outcome{} : systemError("cannot sync the folder");
  }
  Outcome list(std::vector<std::string>& names) override {
    names.clear();
    const int copy = openat(folder_.get(), ".", O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    DIR* dir = copy < 0 ? nullptr : fdopendir(copy);
    if (dir == nullptr) return systemError("cannot list the folder");
    while (const dirent* entry = readdir(dir)) {
      const std::string name = entry->d_name;
      if (name != "." && name != ".." && name != kLockFile) names.push_back(name);
    }
    closedir(dir);
    return {};
  }

 private:
  Outcome writeAll(const std::string& name, const std::string& bytes, int flags) {
    const FileDescriptor fd(
        openat(folder_.get(), name.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC | O_NOFOLLOW | flags, 0600));
    if (fd.get() < 0) return systemError("cannot open " + name);
    for (std::size_t done = 0; done < bytes.size();) {
      const ssize_t bytesWritten = ::write(fd.get(), bytes.data() + done, bytes.size() - done);
      if (bytesWritten < 0 && errno == EINTR) continue;
      if (bytesWritten <= 0) return systemError("cannot write " + name);
      done += static_cast<std::size_t>(bytesWritten);
    }
    return {};
  }

  const FileDescriptor folder_;
  const FileDescriptor lock_;  // -1 if the folder is not locked
};

}  // namespace

std::unique_ptr<Files> openFolder(const std::string& path, bool lock, Outcome& outcome) {
  const int fd = open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0) {
    outcome = systemError("cannot open folder " + path);
    return nullptr;
  }
  struct stat status {};
  if (fstat(fd, &status) != 0 || status.st_uid != geteuid() || (status.st_mode & (S_IWGRP | S_IWOTH)) != 0) {
    close(fd);
    outcome = {false, false,
               "folder " + path + ": must be owned by this user and not be writable by group or others"};
    return nullptr;
  }
  int lockFd = -1;
  if (lock) {
    lockFd = openat(fd, kLockFile, O_RDWR | O_CREAT | O_CLOEXEC | O_NOFOLLOW, 0600);
    // The kernel releases the lock when the process ends, also after SIGKILL.
    if (lockFd < 0 || flock(lockFd, LOCK_EX | LOCK_NB) != 0) {
      const bool lockedElsewhere = lockFd >= 0 && errno == EWOULDBLOCK;
      outcome = lockedElsewhere ? Outcome{false, false, "folder " + path + ": another process holds its lock"}
                                : systemError("cannot lock folder " + path);
      if (lockFd >= 0) close(lockFd);
      close(fd);
      return nullptr;
    }
  }
  outcome = {};
  return std::make_unique<Folder>(fd, lockFd);
}

}  // namespace peargrade::files
