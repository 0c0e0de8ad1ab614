/** @file The claim of a non-idempotent request during its exchange. */
#include "apps/entry/exchange.h"

namespace marigold::entry {
namespace {

using base::Code;

} // namespace

void
Exchange::claim()
{
  // A further attempt of the same request goes on under the same claim.
  if (mCaller.idempotent || mCaller.idempotencyKey.empty() ||
      mClaim == ClaimStep::Granted) {
    place();
    return;
  }
  mClaim = ClaimStep::Asked;
  mContext.claims.begin(
    { mCaller.id,
      mCaller.team,
      mCaller.route,
      mCaller.idempotencyKey,
      mCaller.deadline },
    guarded([this](const claims::Decision& aDecision) { onClaim(aDecision); }));
}

void
Exchange::onClaim(const claims::Decision& aDecision)
{
  switch (aDecision.verdict) {
    case claims::Verdict::Granted:
      mClaim = ClaimStep::Granted;
      place();
      return;
    case claims::Verdict::Repeat:
      replyStored(*aDecision.answer);
      return;
    case claims::Verdict::InProgress:
      stop(Code::ClaimInProgress,
           "another request with this idempotency key is running");
      return;
    case claims::Verdict::Unknown:
      stop(Code::OutcomeUnknown,
           "an earlier request with this idempotency key may have run");
      return;
    case claims::Verdict::NoQuorum:
      stop(Code::ClaimQuorumMissing,
           "the idempotency key could not be claimed; the request was not "
           "run");
      return;
  }
}

void
Exchange::replyStored(const claims::StoredAnswer& aStored)
{
  http::Response answer{ aStored.status, aStored.headers, aStored.body };
  answer.headers.emplace_back(kIdHeader, mCaller.id);
  answer.headers.emplace_back(kOutcomeHeader, "ran");
  mOut->reply(answer);
  end(Code::Ok);
}

void
Exchange::settleClaim(const http::Response& aAnswer)
{
  if (mClaim == ClaimStep::Granted) {
    mClaim = ClaimStep::None;
    mContext.claims.settle(
      mCaller.id,
      claims::StoredAnswer{ aAnswer.status, aAnswer.headers, aAnswer.body });
  }
}

void
Exchange::endClaim(Code aCode)
{
  const bool mayHaveRun = mLife.mayHaveRun() || base::codeInfo(aCode).outcome !=
                                                  base::Outcome::NotRun;
  if (mClaim == ClaimStep::Granted && mayHaveRun) {
    mContext.claims.settle(mCaller.id, std::nullopt);
  } else if (mClaim != ClaimStep::None) {
    mContext.claims.release(mCaller.id);
  }
  mClaim = ClaimStep::None;
}

} // namespace marigold::entry
