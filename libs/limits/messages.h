/** @file Messages about loans between VMs. */
#pragma once

#include "base/base.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace marigold::limits {

/** Names a loan: unique over all VMs and their restarts. */
using LoanId = std::string;

/** Asks a peer for a loan, or to prolong one. */
struct LoanRequest
{
  LoanId id;
  base::TeamName team;
  double tokens = 0;
  double rate = 0; ///< tokens per second
  /** 0 asks for a new loan; otherwise the number of this renewal, so that a
   * late answer to an earlier renewal is not taken for one to the last. */
  std::uint32_t renewal = 0;
  bool urgent = false; ///< a request waits for the tokens
};

/** Answers a request; all amounts are zero if there is nothing to lend. */
struct LoanGrant
{
  LoanId id;
  base::TeamName team;
  double rate = 0;
  double capacity = 0;
  double tokens = 0;
  base::Duration term{};
  std::uint32_t renewal = 0;
};

/** Ends a loan early; its budget is the lender's again. */
struct LoanReturn
{
  LoanId id;
  base::TeamName team;
  double tokens = 0;
};

/** Asks the borrower to return a loan, because the lender needs it. */
struct LoanRecall
{
  LoanId id;
  base::TeamName team;
};

/** Tells a peer that a leaving VM can spare this; the peer asks for it like
 * for any loan, so that its term is bounded. */
struct LoanOffer
{
  base::TeamName team;
  double tokens = 0;
  double rate = 0; ///< tokens per second
};

using Message =
  std::variant<LoanRequest, LoanGrant, LoanReturn, LoanRecall, LoanOffer>;

/** A message with its receiver. */
struct Outgoing
{
  base::VmName to;
  Message message;
};

/** What was charged for a request; needed to refund the unused part. */
struct Charge
{
  base::TeamName team;
  double cost = 0; ///< tokens
  base::TimePoint at;
};

/** Names a request that waits for tokens. */
using Ticket = std::uint64_t;

/** The end of a request's wait. */
struct Decided
{
  Ticket ticket = 0;
  bool admitted = false;
  Charge charge; ///< if admitted
};

/** What the caller of a decision has to do. */
struct Actions
{
  std::vector<Outgoing> send;
  std::vector<Decided> decided;
};

} // namespace marigold::limits
