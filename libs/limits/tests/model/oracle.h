/** @file The exact bucket that no fleet may exceed. */
#pragma once

#include <map>
#include <string>
#include <vector>

namespace marigold::limits::model {

/** Times in seconds, amounts in tokens. */
struct Bound
{
  double from = 0;
  double until = 0; ///< last time at which it may still be in force somewhere
  double rate = 0;
  double burst = 0;
};

/** Compares everything that was admitted with one exact token bucket. */
class Oracle
{
public:
  /** @return index of the admission @param aAt time @param aCost tokens */
  std::size_t admitted(double aAt, double aCost);

  /** @param aIndex admission @param aTokens tokens that came back */
  void refunded(std::size_t aIndex, double aTokens);

  /** @param aBounds bounds in order of their start; where several are in
   * force, the larger rate and burst count @return empty or the violation */
  std::string violation(const std::vector<Bound>& aBounds) const;

  /** The largest amount by which the fleet was ahead of the exact bucket. */
  struct Excess
  {
    double at = 0;
    double tokens = 0;
  };

  /** @param aBounds as for violation @return the excess; 0 tokens if none */
  Excess excess(const std::vector<Bound>& aBounds) const;

  /** @return tokens admitted, net of refunds */
  double total() const;

private:
  struct Admission
  {
    double at = 0;
    double net = 0;
  };
  std::vector<Admission> mAdmissions;
};

} // namespace marigold::limits::model
