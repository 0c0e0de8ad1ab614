/** @file Slot records, leases and the list of VMs as the platform keeps them.
 */
#pragma once

#include "limits/limits.h"

#include <map>
#include <string>

namespace marigold::limits::model {

/** The platform of one fleet; its clock is true time in seconds. */
class PlatformModel
{
public:
  /** Takes effect at once. @param aDataCentre data centre of the caller
   * @param aCall call @param aNow platform time @return its answer */
  SlotAnswer apply(int aDataCentre, const SlotCall& aCall, double aNow);

  /** @param aVm VM that exists from now on */
  void list(const base::VmName& aVm);

  /** @param aVm VM that is gone */
  void unlist(const base::VmName& aVm);

  const ListedVms& listed() const { return mListed; }

private:
  struct Record
  {
    SlotRecord record;
    std::uint64_t revision = 0;
    std::string lease;
  };

  void expire(double aNow);
  SlotAnswer write(int aDataCentre, const SlotCall& aCall);

  std::map<int, std::map<int, Record>> mSlots;
  std::map<std::string, double> mLeases; ///< end by lease
  std::uint64_t mRevision = 0;
  ListedVms mListed;
};

} // namespace marigold::limits::model
