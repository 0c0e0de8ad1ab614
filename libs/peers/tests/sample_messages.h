/** @file Messages of which each field has a value, for tests. */
#pragma once

#include "peers/peers.h"

namespace marigold::peers {

inline Status
sampleStatus(std::uint64_t aSequence)
{
  using namespace std::chrono_literals;
  Status status;
  status.vm = "vm1";
  status.dataCentre = "dc1";
  status.incarnation = 7;
  status.sequence = aSequence;
  status.catalogVersion = 12;
  status.draining = true;
  status.usage = { { "t", 100.5 } };
  status.loads["u"] = { 2, 30, 4, 5000, { 3, 9, 1 }, { 8, 6, 2 }, { 7, 5 } };
  status.demand["m/a1"] = { 12, 3, 1, { { 7, 2 } } };
  status.crashes[31] = {
    250ms, { { 4, 7 }, { 6 } }, { 8 }, { { 4, { 1, 3s } } }, { 4 }
  };
  status.drainingUpstreams["u2"] = 9;
  status.gossip.limitStatements[33] = { 3, 700ms, true };
  status.gossip.limitAsks[35] = { 5, 1300ms };
  status.gossip.brittleServices["chat"] = { 4, 600ms };
  status.gossip.storeLoads = StoreLoadReport{ 300ms, { 400ms, 2s } };
  status.unregistered = { "vm9" };
  return status;
}

inline Summary
sampleSummary(const char* aRelay, std::uint64_t aSequence, unsigned aRunning)
{
  using namespace std::chrono_literals;
  Summary summary;
  summary.dataCentre = "dc2";
  summary.relay = aRelay;
  summary.incarnation = 5;
  summary.sequence = aSequence;
  summary.catalogVersion = 3;
  summary.members["vm7"] = { 4, 9, true, { { "t", 20 } } };
  summary.loads["u"] = { aRunning, 0, 0, 100, {}, {}, { 9, 1 } };
  summary.demand["m"] = { 50, 2, 1, {} };
  summary.crashes[32] = { 1s, { { 2 } }, {}, {}, {} };
  summary.drainingUpstreams["u3"] = 2;
  summary.gossip.limitStatements[34] = { 8, 1200ms, false };
  summary.gossip.limitAsks[36] = { 6, 1400ms };
  summary.gossip.storeLoads = StoreLoadReport{ 100ms, {} };
  summary.unregistered = { "vm8" };
  summary.complete = true;
  return summary;
}

inline PlacementUpdate
samplePlacementUpdate()
{
  using namespace std::chrono_literals;
  PlacementUpdate update;
  update.owner = "vm1";
  update.fencingToken = 44;
  update.sequence = 5;
  update.complete = true;
  update.engines["u"] = { { { "m", { "a1", "a2" } } }, { "n" } };
  update.loadAges = { 1500ms };
  return update;
}

} // namespace marigold::peers
