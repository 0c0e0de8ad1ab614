/** @file Lifetimes and bounds of evidence on crashes. */
#pragma once

#include "base/base.h"

namespace marigold::dispatch {

/** Lifetime of a crash without a verdict; longer than the intervals at which
 * callers retry. */
constexpr base::Duration kCrashLifetime = std::chrono::seconds(120);
/** Lifetime of a certain verdict after its latest crash. */
constexpr base::Duration kCertainLifetime = std::chrono::minutes(10);
/** Lifetime of any other verdict, after which requests show whether it was
 * right. A sound part that was convicted by chance is back soon. */
constexpr base::Duration kUncertainLifetime = std::chrono::seconds(20);
/** Crashes within this time are one moment: upstreams that share a cause end
 * together, those that a part of prompts ends do so as requests arrive. */
constexpr base::Duration kCrashMoment = std::chrono::milliseconds(250);
/** Time in which other upstreams show that they survive a part which used to be
 * sound. Below the time in which all VMs have to know a part that crashes
 * upstreams, with the delay of reports. */
constexpr base::Duration kSurvivalTime = std::chrono::milliseconds(2500);
/** Time within which a crashed upstream is found unreachable, by the next
 * request to it or by three missed heartbeats of its record. */
constexpr base::Duration kConfirmTimeout = std::chrono::seconds(5);
/** Within this time a trial that crashes its upstream is known to have. */
constexpr base::Duration kTrialInterval = kConfirmTimeout;
/** Trials of a trait within the lifetime of a verdict, if none gives a result.
 */
constexpr std::uint32_t kMaxTrials = 2;
/** Bounds of memory and messages. */
constexpr std::size_t kMaxCrashes = 64;
constexpr std::size_t kMaxSuspects = 16;
constexpr std::size_t kMaxTraits = 16;
constexpr std::size_t kMaxCleared = 32;
/** Bounds of a record in the store. */
constexpr std::size_t kMaxRecordedCrashes = 16;
constexpr std::size_t kMaxRecordedFinished =
  kMaxRecordedCrashes * kMaxSuspects * kMaxTraits;

} // namespace marigold::dispatch
