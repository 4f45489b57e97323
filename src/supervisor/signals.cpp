#include "supervisor/signals.h"

#include <csignal>
#include <new>

namespace peargrade::supervisor {
namespace {

constexpr std::array<int, 4> kSignals = {SIGTERM, SIGINT, SIGHUP, SIGUSR1};

/// Blocks or unblocks all handled signals; `how` is SIG_BLOCK or SIG_UNBLOCK.
void setMask(int how) {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int number : kSignals) sigaddset(&signals, number);
  pthread_sigmask(how, &signals, nullptr);
}

}  // namespace

void Signals::block() { setMask(SIG_BLOCK); }

Signals::Signals(event_base* base) {
  static_assert(kSignals.size() == kSignalCount);
  setMask(SIG_BLOCK);
  for (std::size_t k = 0; k < kSignals.size(); ++k) {
    handles_[k].reset(evsignal_new(base, kSignals[k], onSignal, this));
    if (!handles_[k]) throw std::bad_alloc();
    event_add(handles_[k].get(), nullptr);
  }
  setMask(SIG_UNBLOCK);
}

// libevent restores the default action of each signal, which would terminate the process during its shutdown,
// so the signals are blocked first.
Signals::~Signals() { setMask(SIG_BLOCK); }

void Signals::onSignal(evutil_socket_t number, short, void* self) {
  static_cast<Signals*>(self)->handle(number);
}

void Signals::handle(int number) {
  if (number == SIGTERM || number == SIGINT) stopping_ = true;
  if (number == SIGHUP && reload_) reload_();
  if (number == SIGUSR1 && explain_) explain_();
}

}  // namespace peargrade::supervisor
