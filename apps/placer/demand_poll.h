/** @file Demand that the entry processes of the data centre see. */
#pragma once

#include "http/http.h"
#include "placement/placement.h"

#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace marigold::placer {

/** Reads GET /demand of each entry process and adds it up. */
class DemandPoll
{
public:
  /** @param aLoop loop that runs the calls */
  explicit DemandPoll(http::Loop& aLoop);

  /** @param aEntries operator addresses of the entry processes */
  void setEntries(std::map<base::VmName, http::Address> aEntries);

  /** Asks each entry process unless an answer is still awaited. */
  void poll();

  /** @param aNow current time @return demand since the last call */
  placement::DemandByItem take(base::TimePoint aNow);

private:
  /** What one entry process said last. */
  struct Entry
  {
    http::Address address;
    std::map<placement::ItemName, std::uint64_t> arrived;
    placement::DemandByItem demand;
    base::TimePoint heardAt;
    bool heard = false;
    std::unique_ptr<http::Call> call;
  };

  static void read(Entry& aEntry, const nlohmann::json& aContent);

  http::Client mClient;
  std::map<base::VmName, Entry> mEntries;
};

} // namespace marigold::placer
