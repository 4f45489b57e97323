#include "supervisor/signals.h"

#include <csignal>
#include <new>

namespace peargrade::supervisor {
namespace {

constexpr int kSignals[] = {SIGTERM, SIGINT, SIGHUP, SIGUSR1};

void mask(int how) {
  sigset_t all;
  sigemptyset(&all);
  for (const int number : kSignals) sigaddset(&all, number);
  pthread_sigmask(how, &all, nullptr);
}

}  // namespace

void Signals::hold() { mask(SIG_BLOCK); }

Signals::Signals(event_base* base) {
  hold();
  for (std::size_t k = 0; k < std::size(kSignals); ++k) {
    handles_[k].reset(evsignal_new(base, kSignals[k], onSignal, this));
    if (!handles_[k]) throw std::bad_alloc();
    event_add(handles_[k].get(), nullptr);
  }
  mask(SIG_UNBLOCK);
}

// libevent puts the default back, and that would end the process amid its own end.
Signals::~Signals() { hold(); }

void Signals::onSignal(evutil_socket_t number, short, void* self) {
  auto* signals = static_cast<Signals*>(self);
  if (number == SIGTERM || number == SIGINT) signals->stopping_ = true;
  if (number == SIGHUP && signals->reload_) signals->reload_();
  if (number == SIGUSR1 && signals->explain_) signals->explain_();
}

}  // namespace peargrade::supervisor
