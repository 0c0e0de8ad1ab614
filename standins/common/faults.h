/** @file Faults that tests inject into responses of an upstream. */
#pragma once

#include "base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace marigold::standin {

enum class Fault : std::uint8_t
{
  None,
  Crash,    ///< the process exits when the request starts to execute
  WrongId,  ///< the response carries a wrong request id and reference
  Truncate, ///< body shorter than Content-Length, stream without [DONE]
  Cut,      ///< the connection closes in the middle of the response
  Surplus,  ///< extra bytes after the end of the response
  Stall,    ///< no output until the request is cancelled
};

/** @param aName name in a marker or in POST /control
 * @return the fault, absent if the name is unknown */
std::optional<Fault>
parseFault(std::string_view aName);

/** Selects the fault to inject into each request. */
class RequestFaults
{
public:
  /** @param aFault fault @param aCount future requests to inject it into */
  void set(Fault aFault, int aCount) { mRemainingCounts[aFault] = aCount; }

  /**
   * A marker in the body takes precedence over the faults of set().
   * @param aBody request body; [[NAME]] in it selects a fault
   * @return the fault, or Fault::None
   */
  Fault choose(std::string_view aBody);

private:
  std::map<Fault, int> mRemainingCounts;
};

/**
 * @param aBody request body
 * @return extra processing time from a marker [[delay:N]], N in milliseconds;
 * zero without a marker
 */
base::Duration
parseDelayMarker(std::string_view aBody);

/**
 * @param aBody request body
 * @return the text of a marker [[ref:TEXT]], empty without a marker. Each token
 * of the response repeats it, so that a caller can verify that the response
 * belongs to its request.
 */
std::string
parseReferenceMarker(std::string_view aBody);

} // namespace marigold::standin
