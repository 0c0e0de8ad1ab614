/** @file Steps of a fuzzed sequence and what may be switched off. */
#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace marigold::limits::model {

enum class Op : std::uint8_t
{
  Advance,     ///< let amount/2 milliseconds pass
  AdvanceLong, ///< let amount * 10 seconds pass
  Soak,        ///< VMs of the mask take all they can for amount milliseconds
  Admit,       ///< one request of amount/10 tokens
  Drain,       ///< one request for the whole level
  Refund,      ///< end the oldest request; amount/1000 of it was used
  Pause,
  Resume,
  Cut, ///< cut a data centre from the others and the platform
  Heal,
  PlatformDown,
  PlatformUp,
  Restart, ///< a new process on the same VM
  Replace, ///< the VM is lost; a new one takes its place
  Stop,    ///< planned stop, then a new process
  Limits,  ///< new rate and burst by manifest
};
inline constexpr int kOps = 16;

struct Step
{
  Op op = Op::Advance;
  int vm = 0;
  int amount = 0; ///< 0 to 1000
};

std::ostream&
operator<<(std::ostream& aOut, const Step& aStep);

/** Safety mechanisms that a test can switch off, to show that they matter. */
struct Without
{
  bool deduct = false;
  bool grantIds = false;
  bool validity = false;
  bool reclaimMargin = false;
  bool refundClipping = false;
  bool zeroTokens = false;
  bool settling = false;
};

/** Faults of the network between VMs. */
struct Network
{
  double loss = 0.1;
  double duplicates = 0.1;
  double late = 0.1; ///< up to 3 s instead of 1 to 30 ms
};

/** A sequence to run. */
struct Scenario
{
  std::uint64_t seed = 1;
  std::vector<Step> steps;
  Without without;
  Network network;
  /** Speeds of the VMs' clocks; drawn from 0.99, 1 and 1.01 if empty. */
  std::vector<double> clocks;
};

/** @param aScenario sequence @return empty, or how the bound was broken */
std::string
run(const Scenario& aScenario);

} // namespace marigold::limits::model
