/** @file How the connection of a caller ended, and what the caller lost. */
#pragma once

#include "base/time.h"
#include "http/message.h"
#include "wire/transport.h"

#include <cstddef>
#include <cstdint>

namespace marigold::wire {

/** Why the connection of a caller ended. */
enum class CallerEnd : std::uint8_t
{
  ClosedByCaller,
  ResetByCaller,
  TimedOut,  ///< the caller or the network was silent for too long
  Failed,    ///< another error of the socket
  Idle,      ///< no further request within the idle timeout
  Completed, ///< closed after its last response, or by a stop
  Aborted,   ///< closed to show the caller an incomplete response
  Overdue    ///< the handler did not end the request in time
};

/** @param aEnd reason @return its name for logs and metrics */
const char*
callerEndName(CallerEnd aEnd);

/** @param aEnd of the transport, other than an orderly one @return the reason
 */
CallerEnd
callerEndOf(TransportEnd aEnd);

/** How the connection of a caller ended. */
struct ClosedCaller
{
  CallerEnd end = CallerEnd::ClosedByCaller;
  bool requestOpen = false; ///< a request was waiting for its response
  /** Received bytes of requests that got no complete response. */
  std::size_t unansweredBytes = 0;
  /** Bytes of the response to the open request that the caller has. */
  std::size_t deliveredBytes = 0;
  std::size_t unsentBytes = 0; ///< of responses
  /** Bytes of responses that the caller may not have, the unsent ones included.
   */
  std::size_t unacknowledgedBytes = 0;
  base::Duration sinceInput{};  ///< time since the latest bytes arrived
  base::Duration sinceOpened{}; ///< age of the connection
  /** The caller had ended its input when its last response started. */
  bool leftBeforeResponse = false;
  /** Headers of the request that was waiting, valid while the handler of the
   * end runs; nullptr if none was. */
  const http::Headers* openRequest = nullptr;
  /** Its last response refuses what crosses the close of an idle connection:
   * the bytes without a response. */
  bool crossingRefused = false;
};

/** What a caller lost by the end of its connection. */
enum class CallerLoss : std::uint8_t
{
  None,
  Refused,    ///< a request crossed the close of the idle connection
  LeftEarly,  ///< the caller ended it before it had a whole response
  Unanswered, ///< a request got no part of a response
  BrokenOff,  ///< a response ended after a part of it
  Undelivered ///< bytes of a complete response may not have arrived
};

/** @param aClosed how the connection ended
 * @return the loss; None for a caller that closes during its request, which
 * the handler is told */
CallerLoss
callerLoss(const ClosedCaller& aClosed);

} // namespace marigold::wire
