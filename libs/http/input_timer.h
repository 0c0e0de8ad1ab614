/** @file Timer that judges only after the input that had arrived is handled. */
#pragma once

#include "http/loop.h"

#include <cstdint>
#include <optional>

namespace marigold::http {

/** Input of a connection in bytes, counted from a fixed moment. */
struct InputCount
{
  std::uint64_t arrived = 0; ///< includes what waits in the socket
  std::uint64_t handled = 0;
};

/**
 * One-shot timer of a connection or call. After a suspension, or if the loop is
 * late, it is due although what it waits for has arrived. So it lets the loop
 * handle what had arrived when it expired; later input doesn't extend it.
 */
class InputTimer
{
public:
  /** @return the input, or nothing if no input needs to be waited for */
  using Counter = std::function<std::optional<InputCount>()>;

  /** Rounds of the loop in which each socket is handled once: libevent asks for
   * 32 sockets in the first one and for twice as many in each next one, up to
   * 4096. Also covers events without bytes, such as a close. */
  static constexpr int kMaxIdleRounds = 8;

  InputTimer() = default;
  InputTimer(const InputTimer&) = delete;
  InputTimer& operator=(const InputTimer&) = delete;

  /**
   * Starts the timer, or starts it again.
   * @param aLoop event loop
   * @param aDelay time until the timer expires
   * @param aCounter counts the input; may be empty
   * @param aCallback runs once, after the input is handled; it may destroy the
   * timer
   */
  void start(Loop& aLoop,
             base::Duration aDelay,
             Counter aCounter,
             std::function<void()> aCallback);

  /** Cancels the timer. */
  void reset() { mTimer.reset(); }

private:
  void arm(base::Duration aDelay);
  void expired();
  bool mustWait();

  Loop* mLoop = nullptr;
  EventHandle mTimer;
  Counter mCounter;
  std::function<void()> mCallback;
  std::optional<std::uint64_t> mArrived; ///< when the timer expired
  std::uint64_t mHandled = 0;            ///< at the latest check
  int mIdleRounds = 0; ///< rounds of the loop since input was handled
};

} // namespace marigold::http
