/** @file Constants of the limits between VMs and why they have their values. */
#pragma once

#include "base/base.h"

namespace marigold::limits {

/** Length of a loan, measured by the borrower from its request. Long enough
 * for few renewals, short enough that a lost grant soon comes back. */
inline constexpr base::Duration kLoanTerm = std::chrono::seconds(2);

/** The lender reclaims after this multiple of the term, measured from its
 * grant: a clock that is 1% slow at the borrower and one that is 1% fast at the
 * lender differ by less than 3%. */
inline constexpr double kReclaimFactor = 1.03;

/** A new holder of a slot uses its share only after this time, because the
 * loans of the holder before it run until their terms end. Term and 1% drift on
 * both sides need 2.041 s. */
inline constexpr base::Duration kSettleTime = std::chrono::milliseconds(2100);

/** Time that a share stays usable after the last renewal was sent: an hour's
 * partition plus five minutes. */
inline constexpr base::Duration kSlotValidity = std::chrono::seconds(3900);

/** Lease of a slot at the platform; covers kSlotValidity with 1% drift on both
 * sides. */
inline constexpr base::Duration kSlotLease = std::chrono::seconds(4000);

/** Part of the rate that is handed out: a clock that is 1% fast earns 1% more
 * tokens than the rate allows. */
inline constexpr double kClockMargin = 0.99;

/** Longest time that a request waits for tokens of peers. */
inline constexpr base::Duration kHold = std::chrono::milliseconds(100);

/** Period of Holder::tick. */
inline constexpr base::Duration kTickPeriod = std::chrono::milliseconds(50);

/** Peers asked at once for one team; keeps messages linear in the fleet. */
inline constexpr std::size_t kMostAsked = 16;

/** Peers asked first; each further round without success asks twice as many. */
inline constexpr std::size_t kFirstAsked = 2;
inline constexpr std::size_t kFirstAskedUrgent = 5;

/** Shortest time between two rounds of requests for one team. */
inline constexpr base::Duration kAskPeriod = std::chrono::milliseconds(50);

/** A peer that had nothing to lend is left alone for this time at first, and
 * twice as long after each further empty answer. */
inline constexpr base::Duration kDryMin = std::chrono::milliseconds(100);
inline constexpr base::Duration kDryMax = std::chrono::milliseconds(800);

/** A request without an answer is taken for lost after this time. */
inline constexpr base::Duration kAnswerTimeout = std::chrono::milliseconds(150);

/** A loan is renewed when less than this is left of its term. */
inline constexpr base::Duration kRenewAhead = std::chrono::milliseconds(800);

/** Shortest time between two renewals or recalls of one loan. */
inline constexpr base::Duration kRenewRetry = std::chrono::milliseconds(250);

/** A loan that ends sooner than this is returned, so that its tokens are not
 * lost with its capacity. */
inline constexpr base::Duration kReturnAhead = std::chrono::milliseconds(100);

/** A loan is kept at least this long, so that loans do not oscillate. */
inline constexpr base::Duration kLeastKept = std::chrono::milliseconds(300);

/** Rate that a borrower asks for, as a multiple of its recent demand. */
inline constexpr double kRateMargin = 1.5;

/** Rate that a lender keeps, as a multiple of its recent demand; its reserve of
 * tokens covers the fluctuation. */
inline constexpr double kLendMargin = 1.05;

/** A loan is not renewed when this multiple of the demand remains. */
inline constexpr double kRenewMargin = 1.3;

/** A loan goes back before its term when this multiple of the demand remains.
 */
inline constexpr double kReturnMargin = 2.0;

/** Tokens that a borrower wants to hold, in seconds of its demand. */
inline constexpr double kTokenTarget = 1.0;

/** Tokens that a lender keeps for itself, in seconds of its demand. */
inline constexpr double kTokenReserve = 0.5;

/** The same for a peer with a request that waits: a request at hand counts
 * more than one that may come. */
inline constexpr double kUrgentReserve = 0.1;

/** Borrowing ahead starts when the level is below this many seconds of
 * demand. */
inline constexpr double kLowLevel = 0.15;

} // namespace marigold::limits
