/** @file Values that voters, coordinators and claim groups exchange. */
#pragma once

#include "base/base.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace marigold::claims {

/** Digest of team, route and idempotency key. */
using ClaimKey = std::string;

/** Names one attempt; the id of the request that makes it. */
using AttemptId = std::string;

using Epoch = std::uint64_t;

/** Members of a group. Any quorum of an epoch contains a given member or the
 * platform only while there are two of them; the argument needs that. */
inline constexpr std::size_t kGroupMembers = 2;

/** The periods of the protocol and the size of a quorum. */
struct Terms
{
  std::size_t quorum = 2; ///< votes of the members and the platform
  /** A repeat is recognised for this long. */
  base::Duration lifetime = std::chrono::hours(24);
  /** From the first vote request to the last moment to start forwarding. */
  base::Duration grant = std::chrono::seconds(3);
  /** From the first vote request to the refusal for lack of a quorum. */
  base::Duration voteTimeout = std::chrono::milliseconds(1500);
  /** Unanswered vote requests are sent again after this. */
  base::Duration resend = std::chrono::milliseconds(100);
  /** The platform is asked as well if a member has not answered after this.
   * Regions are a couple of dozen milliseconds apart. */
  base::Duration hedge = std::chrono::milliseconds(80);
  /** Silence of a member after which another VM takes its place. */
  base::Duration replaceAfter = std::chrono::seconds(3);
  /** Silence of all members after which their claims count as lost. */
  base::Duration lossAfter = std::chrono::seconds(10);
  /** A member that was sealed for a joiner goes on by itself after this. */
  base::Duration sealFor = std::chrono::seconds(2);

  /** @return how long a member votes without reading the group's record */
  base::Duration membership() const { return lifetime / 2; }

  /** @return how long a group that lost its claims does not vote for keys that
   * it does not know: until the last member of the lost epoch has stopped to
   * vote and its last claim has run out */
  base::Duration lossWindow() const
  {
    return lifetime + membership() + grant + lossAfter;
  }
};

/** A run of a member's process. */
struct Member
{
  base::Incarnation incarnation = 0;
  Epoch since = 0; ///< epoch in which this run joined

  bool operator==(const Member&) const = default;
};

/** The record claim-group/DC at the platform. */
struct GroupRecord
{
  Epoch epoch = 0;
  std::map<base::VmName, Member> members;

  bool operator==(const GroupRecord&) const = default;
};

/** An answer that is given again to a repeated key. */
struct StoredAnswer
{
  /** Larger answers are not kept, so that few claims cannot fill the table. */
  static constexpr std::size_t kMostBytes = 64UL * 1024;

  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  /** @return size that counts against the limits */
  std::size_t bytes() const;
};

enum class ClaimState : std::uint8_t
{
  InProgress,
  Done,
  Unknown, ///< it may or may not have run, and nobody will find out
};

/** What a voter holds for a key. */
struct Claim
{
  ClaimKey key;
  AttemptId attempt;
  ClaimState state = ClaimState::InProgress;
  std::optional<StoredAnswer> answer; ///< only of a claim that is done
  /** False once it is known that the platform holds no record of it. */
  bool atPlatform = true;
};

enum class VoteKind : std::uint8_t
{
  Granted,
  InProgress, ///< another attempt holds the key
  Done,       ///< another attempt ran; the answer is attached if it was kept
  Unknown,    ///< another attempt may have run
  Full,       ///< no memory for another claim
  NotVoting,  ///< not a member of the epoch that was asked for
};

/** Answer of a voter. */
struct Vote
{
  ClaimKey key;
  AttemptId attempt;
  VoteKind kind = VoteKind::NotVoting;
  Epoch epoch = 0; ///< under which it was given
  std::optional<StoredAnswer> answer;
  /** Group as the VM knows it, if it does not vote: what was asked for may be
   * out of date, and the platform may not answer. */
  std::optional<GroupRecord> record;
};

} // namespace marigold::claims
