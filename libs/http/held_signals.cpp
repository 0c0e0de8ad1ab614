#include "http/held_signals.h"

#include <csignal>
#include <pthread.h>

namespace marigold::http {

void
holdSignals(std::initializer_list<int> aSignals)
{
  sigset_t set;
  sigemptyset(&set);
  for (const int signal : aSignals) {
    sigaddset(&set, signal);
  }
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

void
releaseSignal(int aSignal)
{
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, aSignal);
  pthread_sigmask(SIG_UNBLOCK, &set, nullptr);
}

} // namespace marigold::http
