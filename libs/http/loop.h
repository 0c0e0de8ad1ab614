/** @file The event loop of a process: timers, signals, readable descriptors. */
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

/** A timer, signal or descriptor watch; it ends when the handle is destroyed.
 */
class EventHandle
{
public:
  /** Keeps the callback alive as long as the event. */
  struct State
  {
    std::function<void()> callback;
    std::unique_ptr<event, EventDeleter> handle;
  };

  EventHandle() = default;
  explicit EventHandle(std::unique_ptr<State> aState)
    : mState(std::move(aState))
  {
  }

  /** @return true while the watch is armed or was armed and not destroyed */
  explicit operator bool() const { return mState != nullptr; }

  /** Ends the watch. */
  void reset() { mState.reset(); }

private:
  std::unique_ptr<State> mState;
};

/** Owns the libevent base; everything in a process runs on its one thread. */
class Loop
{
public:
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  /** Runs until stop() is called. */
  void run();

  /** Makes run() return after the callbacks that are already due. */
  void stop();

  /**
   * @param aDelay time until the callback runs
   * @param aCallback runs once
   * @return handle; destroying it cancels the timer
   */
  [[nodiscard]] EventHandle after(base::Duration aDelay,
                                  std::function<void()> aCallback);

  /**
   * @param aPeriod time between two runs
   * @param aCallback runs until the handle is destroyed
   * @return handle
   */
  [[nodiscard]] EventHandle every(base::Duration aPeriod,
                                  std::function<void()> aCallback);

  /**
   * @param aSignal POSIX signal number
   * @param aCallback runs on the loop's thread at each signal
   * @return handle
   */
  [[nodiscard]] EventHandle onSignal(int aSignal,
                                     std::function<void()> aCallback);

  /**
   * @param aDescriptor file descriptor to poll
   * @param aCallback runs whenever it is readable
   * @return handle
   */
  [[nodiscard]] EventHandle onReadable(int aDescriptor,
                                       std::function<void()> aCallback);

  /**
   * Detects that the peer of a socket closed its side, without reading from it.
   * @param aDescriptor connected socket
   * @param aCallback runs once
   * @return handle
   */
  [[nodiscard]] EventHandle onPeerClosed(int aDescriptor,
                                         std::function<void()> aCallback);

  /** Runs a callback once, after the current one returned. */
  void post(std::function<void()> aCallback);

  /** @return the libevent base, for libraries that need it */
  event_base* native() const { return mBase; }

private:
  event_base* mBase;
};

} // namespace marigold::http
