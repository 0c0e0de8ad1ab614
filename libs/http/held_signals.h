/** @file Holds signals back until their handlers are installed. */
#pragma once

#include <initializer_list>

namespace marigold::http {

/**
 * Blocks signals, whose default action would end the process, until
 * Loop::onSignal() installs their handlers. A program calls it first in main();
 * threads that it starts before then leave these signals to the loop.
 * @param aSignals POSIX signal numbers
 */
void
holdSignals(std::initializer_list<int> aSignals);

/** Delivers a signal again, also if it came meanwhile.
 * @param aSignal POSIX signal number */
void
releaseSignal(int aSignal);

} // namespace marigold::http
