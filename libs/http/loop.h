/** @file Event loop for timers, signals and file descriptors. */
#pragma once

#include "base/time.h"

#include <functional>
#include <memory>

struct event_base;
struct event;

namespace marigold::http {

struct EventDeleter
{
  void operator()(event* aEvent) const;
};

/** Owns a timer, signal handler or descriptor event; the destructor cancels it.
 */
class EventHandle
{
public:
  /** The event and its callback, at a stable address for libevent. */
  struct State
  {
    std::function<void()> callback;
    std::unique_ptr<event, EventDeleter> handle;
    std::unique_ptr<State> retry; ///< timer that adds the event again
  };

  EventHandle() = default;
  explicit EventHandle(std::unique_ptr<State> aState)
    : mState(std::move(aState))
  {
  }

  /** @return true if the handle owns an event, even if it has already fired */
  explicit operator bool() const { return mState != nullptr; }

  /** Cancels the event. */
  void reset() { mState.reset(); }

private:
  friend class Loop;
  std::unique_ptr<State> mState;
};

/** Single-threaded event loop; owns the libevent base. */
class Loop
{
public:
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  /** Runs until stop() is called. */
  void run();

  /** Makes run() return after the callbacks that are already pending. */
  void stop();

  /**
   * Starts a one-shot timer.
   * @param aDelay time until the callback runs
   * @param aCallback runs once
   * @return handle that cancels the timer when destroyed
   */
  [[nodiscard]] EventHandle after(base::Duration aDelay,
                                  std::function<void()> aCallback);

  /**
   * Starts a periodic timer.
   * @param aPeriod time between two runs
   * @param aCallback runs once per period
   * @return handle that cancels the timer when destroyed
   */
  [[nodiscard]] EventHandle every(base::Duration aPeriod,
                                  std::function<void()> aCallback);

  /**
   * Installs a signal handler.
   * @param aSignal POSIX signal number
   * @param aCallback runs on the event loop for each signal
   * @return handle that removes the handler when destroyed
   */
  [[nodiscard]] EventHandle onSignal(int aSignal,
                                     std::function<void()> aCallback);

  /**
   * Monitors a file descriptor for input.
   * @param aDescriptor file descriptor
   * @param aCallback runs whenever the descriptor is readable
   * @return handle that stops monitoring when destroyed
   */
  [[nodiscard]] EventHandle onReadable(int aDescriptor,
                                       std::function<void()> aCallback);

  /**
   * Detects that the peer closed its sending side, without reading from the
   * socket.
   * @param aDescriptor connected socket
   * @param aCallback runs once
   * @return handle that stops monitoring when destroyed
   */
  [[nodiscard]] EventHandle onPeerClosed(int aDescriptor,
                                         std::function<void()> aCallback);

  /** Queues a callback to run once, after the current callback has returned. */
  void post(std::function<void()> aCallback);

  /** @return the libevent base, for libraries built on libevent */
  event_base* native() const { return mBase; }

private:
  event_base* mBase;
};

} // namespace marigold::http
