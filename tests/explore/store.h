/** @file A store, its copy at a relay, and the links to both, for the explorer
 * of watches. The definitions of http::Client in store.cpp replace those of the
 * library at link time, so the classes above it run unchanged. */
#pragma once

#include "base/base.h"
#include "http/http.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace marigold::explore {

/** Keys with their history. */
struct StoreContent
{
  /** A write or, without a value, a removal. */
  struct Change
  {
    std::string key;
    std::optional<std::string> value;
    std::uint64_t revision = 0;
  };

  std::uint64_t era = 0;
  std::uint64_t revision = 1;
  std::uint64_t compacted = 0; ///< history up to it is gone
  std::map<std::string, Change> keys;
  std::deque<Change> history; ///< oldest first

  void apply(const std::string& aKey, std::optional<std::string> aValue);
  void compact();

  /** @return true if the history holds all changes after the revision */
  bool knows(std::uint64_t aRevision) const
  {
    return aRevision >= compacted && aRevision <= revision;
  }
};

/** Servers, connections and calls of one run; at most one exists at a time. */
class Network
{
public:
  using CallId = std::uint64_t;
  using LinkId = std::size_t;

  /** A call that the process waits for. */
  struct PendingCall
  {
    http::Address server;
    http::Request request;
    LinkId link = 0;
    base::TimePoint sentAt{};
    http::CallEvents events;
    std::optional<http::Response> answer; ///< made, still on its way
    http::EventHandle timeout;
    std::function<void(bool)> giveLinkBack; ///< true if it may be used again
  };

  Network();
  ~Network();
  Network(const Network&) = delete;
  Network& operator=(const Network&) = delete;

  /** @return the existing network */
  static Network& current();

  std::map<CallId, PendingCall>& calls() { return mCalls; }
  const std::map<CallId, PendingCall>& calls() const { return mCalls; }

  /** Ends a call with the answer, or without one. */
  void end(CallId aCall, http::CallEnd aEnd, const http::Response& aAnswer);

  /** Open links lose whatever is sent on them from now on. */
  void silenceLinks();
  bool isSilent(LinkId aLink) const { return mSilent.at(aLink); }

  // Used by the replaced definitions.
  LinkId openLink();
  CallId start(PendingCall aCall);
  void cancel(CallId aCall);

private:
  std::map<CallId, PendingCall> mCalls;
  CallId mNextCall = 0;
  std::vector<bool> mSilent; ///< by link
};

} // namespace marigold::explore
