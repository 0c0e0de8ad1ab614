/** @file Faults that tests inject into the answers of an upstream. */
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
  Crash,    ///< the process exits when the request starts to run
  WrongId,  ///< the answer carries another request id and another text
  Truncate, ///< a body shorter than its length, a stream without its [DONE]
  Cut,      ///< the connection breaks in the middle of the answer
  Surplus,  ///< bytes after the end of the answer
  Stall,    ///< no token ever
};

/** @param aName name in a marker or in POST /control @return the fault */
std::optional<Fault>
faultNamed(std::string_view aName);

/** Chooses the fault of each request. */
class RequestFaults
{
public:
  /** @param aFault fault @param aCount requests to come that suffer it */
  void set(Fault aFault, int aCount) { mCounts[aFault] = aCount; }

  /**
   * @param aBody body of a request; [[NAME]] in it marks its fault
   * @return the marked fault, else the next one that set() asked for
   */
  Fault choose(std::string_view aBody);

private:
  std::map<Fault, int> mCounts;
};

/**
 * @param aBody body of a request
 * @return N of a marker [[delay:N]], or zero: the request takes longer by it
 */
base::Duration
markedDelay(std::string_view aBody);

/**
 * @param aBody body of a request
 * @return the text after "[[ref:" up to "]]", which each token of the answer
 * repeats so that a caller can tell its own answer; empty without one
 */
std::string
referenceIn(std::string_view aBody);

} // namespace marigold::standin
