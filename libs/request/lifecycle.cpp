#include "request/lifecycle.h"

namespace marigold::request {

using base::Code;

Code
codeOf(AttemptEnd aEnd)
{
  switch (aEnd) {
    case AttemptEnd::NotSent:
      return Code::UpstreamRefused;
    case AttemptEnd::NotResident:
      return Code::NoUpstream;
    case AttemptEnd::TimedOut:
      return Code::UpstreamTimeout;
    case AttemptEnd::Crossed:
      return Code::AnswerCrossed;
    case AttemptEnd::Truncated:
      return Code::AnswerTruncated;
    case AttemptEnd::Broken:
      break;
  }
  return Code::UpstreamFailed;
}

void
Lifecycle::onAttempt(const base::UpstreamName& aUpstream)
{
  mTried.insert(aUpstream);
  ++mAttempts;
}

bool
Lifecycle::mayRetry(AttemptEnd aEnd, base::TimePoint aNow) const
{
  return (mTraits.idempotent || (provesNotRun(aEnd) && !mMayHaveRun)) &&
         mAttempts < kMostAttempts && aNow < mTraits.deadline;
}

Decision
Lifecycle::onAttemptEnded(AttemptEnd aEnd,
                          bool aDelivered,
                          bool aAnother,
                          base::TimePoint aNow,
                          RetryBudget& aBudget)
{
  mMayHaveRun = mMayHaveRun || !provesNotRun(aEnd);
  const bool retry = mayRetry(aEnd, aNow) && aAnother && aBudget.take(aNow);
  if (aDelivered) {
    return { retry && mTraits.streamed ? NextStep::Resume : NextStep::EndError,
             Code::AnswerTruncated };
  }
  if (retry) {
    return { NextStep::Retry, codeOf(aEnd) };
  }
  return { NextStep::Refuse, truthful(codeOf(aEnd)) };
}

void
Lifecycle::onNotResident(const base::UpstreamName& aUpstream)
{
  mTried.erase(aUpstream);
  --mAttempts;
}

Code
Lifecycle::truthful(Code aCode) const
{
  const bool saysNotRun =
    base::codeInfo(aCode).outcome == base::Outcome::NotRun;
  return mMayHaveRun && saysNotRun ? Code::OutcomeUnknown : aCode;
}

} // namespace marigold::request
