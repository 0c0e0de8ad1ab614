#include "wire/closed_caller.h"

namespace marigold::wire {

const char*
callerEndName(CallerEnd aEnd)
{
  switch (aEnd) {
    case CallerEnd::ClosedByCaller:
      return "closed by the caller";
    case CallerEnd::ResetByCaller:
      return "reset by the caller";
    case CallerEnd::TimedOut:
      return "timed out";
    case CallerEnd::Failed:
      return "failed";
    case CallerEnd::Idle:
      return "idle";
    case CallerEnd::Completed:
      return "after its last response";
    case CallerEnd::Aborted:
      return "aborted";
    case CallerEnd::Overdue:
      return "overdue";
  }
  return "unknown";
}

CallerEnd
callerEndOf(TransportEnd aEnd)
{
  switch (aEnd) {
    case TransportEnd::Reset:
      return CallerEnd::ResetByCaller;
    case TransportEnd::TimedOut:
      return CallerEnd::TimedOut;
    case TransportEnd::Orderly:
      return CallerEnd::ClosedByCaller;
    case TransportEnd::Refused:
    case TransportEnd::Failed:
      break;
  }
  return CallerEnd::Failed;
}

CallerLoss
callerLoss(const ClosedCaller& aClosed)
{
  const bool closed = aClosed.end == CallerEnd::ClosedByCaller;
  if (aClosed.crossingRefused) {
    return aClosed.unansweredBytes > 0 ? CallerLoss::Refused : CallerLoss::None;
  }
  const bool left = closed || aClosed.end == CallerEnd::ResetByCaller;
  if (left && aClosed.requestOpen) {
    return closed ? CallerLoss::None : CallerLoss::LeftEarly;
  }
  if (left && aClosed.leftBeforeResponse) {
    return CallerLoss::None;
  }
  if (aClosed.unansweredBytes > 0) {
    return aClosed.deliveredBytes > 0 ? CallerLoss::BrokenOff
                                      : CallerLoss::Unanswered;
  }
  if (aClosed.unacknowledgedBytes > 0) {
    return left ? CallerLoss::LeftEarly : CallerLoss::Undelivered;
  }
  return CallerLoss::None;
}

} // namespace marigold::wire
