/** @file What this VM knows of the upstreams. */
#pragma once

#include "base/base.h"
#include "http/http.h"
#include "membership/membership.h"

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace marigold::entry {

/** A model that an engine has loaded, by its last report. */
struct ResidentModel
{
  std::string version;
  std::vector<std::string> adapters;
};

/** An upstream with the views that routing decides on. */
struct Upstream
{
  membership::Vm vm;
  http::Address address;
  bool reported = false;
  base::TimePoint reportedAt;
  std::uint64_t incarnation = 0; ///< of the engine process
  int running = 0;               ///< by the last report, all VMs together
  int queued = 0;
  int capacity = 1;
  int sentSinceReport = 0; ///< requests of this VM that the report lacks
  int inflight = 0;        ///< requests of this VM
  bool leaving = false;
  int failures = 0; ///< consecutive failed connections
  base::TimePoint ejectedUntil;
  std::map<base::ModelName, ResidentModel> resident;
};

/** The upstreams of the list, with reports that are polled from engines. */
class UpstreamTable
{
public:
  /** @param aLoop loop @param aClient client for reports */
  UpstreamTable(http::Loop& aLoop, http::Client& aClient);

  /** Starts to poll reports. */
  void start();

  /** @param aList newest list of VMs */
  void update(const membership::VmList& aList);

  /** @param aName upstream @return it or nullptr */
  Upstream* find(const base::UpstreamName& aName);

  /** @return all upstreams by name */
  const std::map<base::UpstreamName, Upstream>& all() const
  {
    return mUpstreams;
  }

  /** Notes that a request goes to an upstream. @param aName upstream */
  void onSent(const base::UpstreamName& aName);

  /** Notes the end of a request. @param aName upstream
   * @param aConnected false if no connection could be made */
  void onEnded(const base::UpstreamName& aName, bool aConnected);

  /** Notes that an upstream said it is leaving. @param aName upstream */
  void onLeaving(const base::UpstreamName& aName);

  /** @return state for the dump */
  nlohmann::json dump() const;

private:
  void poll();
  void read(const base::UpstreamName& aName, const http::Answer& aAnswer);

  http::Loop& mLoop;
  http::Client& mClient;
  std::map<base::UpstreamName, Upstream> mUpstreams;
  std::map<base::UpstreamName, std::unique_ptr<http::Call>> mCalls;
  http::Watch mPoll;
};

} // namespace marigold::entry
