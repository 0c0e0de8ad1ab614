/** @file What calls to the store were for and how they ended. */
#pragma once

#include "base/base.h"

#include <cstdint>
#include <map>
#include <string>

namespace marigold::platform {

/** Kind of a call, by which the platform limits and prices it. */
enum class CallKind : std::uint8_t
{
  Read,    ///< of a key, or of the list of VMs
  List,    ///< one page
  Watch,   ///< wait for changes
  Write,   ///< of a key, or its removal
  Lease,   ///< grant or end of a lease
  Renewal, ///< of a lease
};

/** How a call ended. */
enum class CallOutcome : std::uint8_t
{
  Answered,   ///< as asked; not for watches
  News,       ///< watch with changes
  NoNews,     ///< watch whose time passed without changes
  Negative,   ///< answered, but the key, lease or history is not as expected
  Refused,    ///< the store did nothing, or could not be reached
  Unanswered, ///< no answer in time, a broken one, or one of a former era
  Dropped,    ///< no longer needed, its repetition was answered before
};

/** Who calls, and why. */
struct CallReason
{
  std::string subject; ///< prefix, key or name of a lease
  std::string cause;   ///< what made the caller call

  auto operator<=>(const CallReason&) const = default;
};

/** A call that has ended. */
struct CallRecord
{
  CallKind kind = CallKind::Read;
  CallOutcome outcome = CallOutcome::Answered;
  CallReason reason;

  auto operator<=>(const CallRecord&) const = default;
};

/** @param aKind kind @return its name, for metrics and logs */
const char*
nameOf(CallKind aKind);

/** @param aOutcome outcome @return its name, for metrics and logs */
const char*
nameOf(CallOutcome aOutcome);

/** Counts calls between two lines of the log. */
class CallSummary
{
public:
  /** @param aRecord call that has ended */
  void add(const CallRecord& aRecord) { ++mCounts[aRecord]; }

  /** @return true if no call was added since the latest text */
  bool empty() const { return mCounts.empty(); }

  /** @return all counts as one text, kind/outcome/subject/cause=count,
   * separated by spaces; starts over */
  std::string takeText();

private:
  std::map<CallRecord, std::uint64_t> mCounts;
};

} // namespace marigold::platform
