/** @file Choice of the peer that passes requests on to upstreams. */
#pragma once

#include "base/base.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace marigold::dispatch {

/** A VM that may pass requests on. */
struct Carrier
{
  /** How far requests travel to it. */
  enum class Distance : std::uint8_t
  {
    SameDataCentre,
    SameRegion,
    OtherRegion
  };

  base::VmName vm;
  Distance distance = Distance::SameDataCentre;
  double capacity = 0; ///< CPU cores
};

/**
 * Spreads the requests of a VM that has lost its path to the upstreams over the
 * nearest peers by their processors. Whole data centres lose their path
 * together, so that a few peers which decline speak for the others there.
 */
class CarrierChoice
{
public:
  /** @param aPeers the other VMs */
  void setPeers(std::vector<Carrier> aPeers);

  /** @param aRandom random bits that spread requests over equal peers
   * @param aNow time @return the peer, or nothing if all have declined */
  std::optional<base::VmName> choose(std::uint64_t aRandom,
                                     base::TimePoint aNow) const;

  /** The peer can't be reached, is silent or passes nothing on. It gets single
   * requests until it has answered one. @param aVm peer @param aNow time */
  void onDeclined(const base::VmName& aVm, base::TimePoint aNow);

  /** The peer has answered. @param aVm peer */
  void onAnswered(const base::VmName& aVm) { mDeclinesUntil.erase(aVm); }

  /** @param aVm peer that gets a request @param aNow time */
  void onStarted(const base::VmName& aVm, base::TimePoint aNow);

  /** @param aVm peer whose request has ended */
  void onEnded(const base::VmName& aVm);

private:
  bool declines(const Carrier& aPeer, base::TimePoint aNow) const;
  double load(const Carrier& aPeer) const;

  std::vector<Carrier> mPeers;
  std::map<base::VmName, base::TimePoint> mDeclinesUntil;
  std::map<base::VmName, unsigned> mOpen; ///< requests of this VM
};

} // namespace marigold::dispatch
