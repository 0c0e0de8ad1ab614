#include "placement/account.h"

#include <algorithm>
#include <set>

namespace marigold::placement {
namespace {

/** Adds up loads, each item once however many orders ask for it. */
class Sum
{
public:
  explicit Sum(std::map<Item, int> aPresent)
    : mItems(std::move(aPresent))
  {
  }

  void add(const Order& aOrder)
  {
    if (aOrder.item.model.empty()) {
      mAny += aOrder.memoryMb;
      return;
    }
    int& memory = mItems[aOrder.item];
    memory = std::max(memory, aOrder.memoryMb);
  }

  int total() const
  {
    int sum = mAny;
    for (const auto& [item, memory] : mItems) {
      sum += memory;
    }
    return sum;
  }

private:
  std::map<Item, int> mItems;
  int mAny = 0;
};

bool
canTakeEffect(const Engine& aEngine, const Report& aReport, const Order& aOrder)
{
  if (!aEngine.honoursFencing || aOrder.fence >= aReport.fence) {
    return true;
  }
  const auto listed = aReport.orders.find(aOrder.id);
  return listed != aReport.orders.end() && listed->second == Progress::Pending;
}

} // namespace

int
worstCaseMb(const Engine& aEngine,
            const Report& aReport,
            const std::vector<Record>& aRecords)
{
  Sum running(aReport.resident);
  Sum restarted({});
  for (const Record& record : aRecords) {
    const Order& order = record.order;
    if (order.engine != aEngine.name || order.op != Op::Load) {
      continue;
    }
    restarted.add(order);
    if (canTakeEffect(aEngine, aReport, order)) {
      running.add(order);
    }
  }
  return std::max(running.total(), restarted.total());
}

bool
provesNewer(const Engine& aEngine, const Report& aReport, const Record& aRecord)
{
  return aReport.orders.contains(aRecord.order.id) ||
         (aEngine.honoursFencing && aReport.fence >= aRecord.order.fence);
}

} // namespace marigold::placement
