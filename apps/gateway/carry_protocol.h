/** @file How a VM asks a peer to pass a request on to an upstream: it sends the
 * request as to the upstream, with these headers. */
#pragma once

#include <cstdint>

namespace marigold::gateway {

/** Name of the upstream. */
inline constexpr const char* kCarryToHeader = "Marigold-Carry-To";
/** Start of the upstream's process, as in its record. */
inline constexpr const char* kCarryProcessHeader = "Marigold-Carry-Process";
/** In an answer: it is the upstream's. */
inline constexpr const char* kCarriedHeader = "Marigold-Carried";
/** In an answer: the peer has not passed the request on, for this reason. */
inline constexpr const char* kCarryDeclinedHeader = "Marigold-Carry-Declined";

/** Why a peer has no answer of the upstream. */
enum class CarryDecline : std::uint8_t
{
  NotAsked,    ///< no upstream is named, or the sender is no VM of the fleet
  NotRead,     ///< the HTTP server of the peer has rejected the request
  NoPath,      ///< the peer has lost its own path to the upstreams
  Stopping,    ///< the process of the peer is about to end
  Busy,        ///< no memory for it, or no configuration yet
  Full,        ///< no connection to the upstream is free
  Unknown,     ///< the peer knows no such upstream that takes requests
  Unwanted,    ///< the upstream wants no requests from the peer
  Unreachable, ///< the peer can't connect to the upstream
  Broken,      ///< the upstream broke off before its answer; it may have run
  Malformed,   ///< the upstream's answer is not one of HTTP; it may have run
  Unanswered   ///< the peer has left the request without one; it may have run
};

/** @param aDecline reason @return its name in the header */
const char*
carryDeclineName(CarryDecline aDecline);

} // namespace marigold::gateway
