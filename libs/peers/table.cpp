#include "peers/peers.h"

namespace marigold::peers {
namespace {

using namespace std::chrono_literals;

/** Requests of a VM that has been silent this long have ended or will not
 * be reported any more. */
constexpr base::Duration kForgetAfter = 3s;

} // namespace

bool
Table::update(Status aStatus, base::TimePoint aNow)
{
  Row& row = mRows[aStatus.vm];
  if (row.status.incarnation == aStatus.incarnation &&
      row.status.sequence >= aStatus.sequence) {
    return false;
  }
  row.status = std::move(aStatus);
  row.heardAt = aNow;
  return true;
}

void
Table::expire(base::TimePoint aNow)
{
  std::erase_if(mRows, [aNow](const auto& aItem) {
    return aNow - aItem.second.heardAt > kForgetAfter;
  });
}

UpstreamLoad
Table::loadOf(const base::UpstreamName& aUpstream) const
{
  UpstreamLoad sum;
  for (const auto& [name, row] : mRows) {
    const auto found = row.status.loads.find(aUpstream);
    if (found == row.status.loads.end()) {
      continue;
    }
    sum.running += found->second.running;
    sum.queuedMs += found->second.queuedMs;
    sum.patientMs += found->second.patientMs;
    sum.memoryTokens += found->second.memoryTokens;
  }
  return sum;
}

} // namespace marigold::peers
