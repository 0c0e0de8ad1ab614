/** @file HTTP interface of the platform stand-in: protocol, limits, faults. */
#pragma once

#include "http/http.h"
#include "standins/platform/kv_store.h"

#include <list>
#include <map>
#include <nlohmann/json.hpp>

namespace marigold::standin {

/** Availability of the platform. */
enum class PlatformMode : std::uint8_t
{
  Up,
  Down,   ///< answers each call with 503
  Silent, ///< accepts connections but never responds
};

/** Faults and limits that tests set with POST /control. */
struct PlatformControl
{
  PlatformMode mode = PlatformMode::Up;
  base::Duration delay = base::Duration::zero();
  int loseAnswers = 0;    ///< number of next writes to apply without a response
  std::string losePrefix; ///< loseAnswers affects only keys with this prefix
  base::Duration listDelay = std::chrono::seconds(1);
  int readsPerSecond = 2000;
  int writesPerSecond = 400;
};

/** Implements docs/protocols.md, section platform. */
class PlatformService
{
public:
  explicit PlatformService(http::Loop& aLoop);

  /** @param aAddress address to listen on @return SettingsInvalid if in use */
  base::Result<void> listen(const http::Address& aAddress);

private:
  using ResponderPtr = std::shared_ptr<http::Responder>;

  struct Watcher
  {
    std::string prefix;
    std::uint64_t after;
    ResponderPtr responder;
    http::EventHandle timer;
  };

  /** A version of the VM list, visible after listDelay. */
  struct VmListVersion
  {
    base::TimePoint visibleAt;
    std::uint64_t revision;
    nlohmann::json vms;
  };

  void handle(const http::Request& aRequest, const ResponderPtr& aResponder);
  void dispatch(const http::Request& aRequest, const ResponderPtr& aResponder);
  bool handleControl(const http::Request& aRequest,
                     const ResponderPtr& aResponder);
  void handleKv(const http::Request& aRequest, const ResponderPtr& aResponder);
  void handleLease(const http::Request& aRequest,
                   const ResponderPtr& aResponder);
  void handleWatch(const http::Request& aRequest,
                   const ResponderPtr& aResponder);
  void setControl(const nlohmann::json& aContent);
  void updateVms(const std::string& aName, const nlohmann::json* aVm);
  nlohmann::json visibleVms() const;
  nlohmann::json items(const std::string& aPrefix, std::uint64_t aAfter) const;
  void answerWrite(const std::string& aKey,
                   const WriteResult& aResult,
                   const ResponderPtr& aResponder);
  void notifyWatchers();
  bool isWithinRateLimit(bool aIsWrite);
  void dispatchLater(const http::Request& aRequest,
                     const ResponderPtr& aResponder);
  void abortPendingCalls();

  http::Loop& mLoop;
  http::Server mServer;
  KvStore mStore;
  PlatformControl mControl;
  std::list<Watcher> mWatchers;
  std::list<VmListVersion> mVmLists;
  std::map<std::string, nlohmann::json> mVms;
  std::uint64_t mListRevision = 0;
  base::TimePoint mSecondStart;
  int mReadsThisSecond = 0;
  int mWritesThisSecond = 0;
  std::map<std::string, std::uint64_t> mStats;
  std::list<http::EventHandle> mDelayedCalls;
  std::list<ResponderPtr> mUnanswered; ///< calls received in silent mode
  http::EventHandle mExpiryTimer;
};

} // namespace marigold::standin
