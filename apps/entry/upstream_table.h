/** @file What this VM knows of the upstreams. */
#pragma once

#include "base/base.h"
#include "http/http.h"
#include "membership/membership.h"
#include "request/request.h"
#include "routing/routing.h"

#include <algorithm>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <sigc++/sigc++.h>
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
  base::TimePoint reportedAt;    ///< when this report was seen first
  std::uint64_t sequence = 0;    ///< of the report
  std::uint64_t incarnation = 0; ///< of the engine process
  int running = 0;               ///< by the last report, all VMs together
  int queued = 0;
  int capacity = 1;
  int inflight = 0;           ///< requests of this VM
  int inflightAtPoll = 0;     ///< the same when the last poll was sent
  routing::OthersLoad others; ///< what other VMs contribute
  base::Duration meanTime{};  ///< of requests that completed
  double meanCost = 0;        ///< tokens, of the same requests
  request::UpstreamHealth health;
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

  /** @return entry VMs in the list, at least 1 */
  int entryVms() const { return std::max(1, mEntryVms); }

  /** Notes that a request goes to an upstream. @param aName upstream */
  void onSent(const base::UpstreamName& aName);

  /** Notes the end of a request. @param aName upstream
   * @param aConnected false if no connection could be made */
  void onEnded(const base::UpstreamName& aName, bool aConnected);

  /** Notes the time of a request that completed. @param aName upstream
   * @param aTime from sending it to the end of its answer
   * @param aCost tokens that were charged for it */
  void onCompleted(const base::UpstreamName& aName,
                   base::Duration aTime,
                   double aCost);

  /** Notes that an engine does not hold a model, against its last report.
   * @param aName engine @param aModel model @param aAdapter adapter or empty */
  void onNotResident(const base::UpstreamName& aName,
                     const base::ModelName& aModel,
                     const std::string& aAdapter);

  /** @return what the engines have probably cached */
  routing::PrefixIndex& prefixes() { return mPrefixes; }

  /** Emitted when an upstream may have room that it did not have before. */
  sigc::signal<void()>& freed() { return mFreed; }

  /** @return state for the dump */
  nlohmann::json dump() const;

private:
  void poll();
  void pollCacheEvents(const base::UpstreamName& aName,
                       const http::Address& aAddress);
  void readCacheEvents(const base::UpstreamName& aName,
                       const http::Response& aAnswer);
  void read(const base::UpstreamName& aName, const http::Response& aAnswer);

  http::Loop& mLoop;
  http::Client& mClient;
  std::map<base::UpstreamName, Upstream> mUpstreams;
  std::map<base::UpstreamName, std::unique_ptr<http::Call>> mCalls;
  std::map<base::UpstreamName, std::unique_ptr<http::Call>> mEventCalls;
  routing::PrefixIndex mPrefixes;
  int mEntryVms = 1;
  sigc::signal<void()> mFreed;
  http::EventHandle mPoll;
};

} // namespace marigold::entry
