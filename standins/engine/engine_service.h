/** @file HTTP interface of the model engine stand-in. */
#pragma once

#include "http/http.h"
#include "standins/common/run_record.h"
#include "standins/engine/accelerator.h"
#include "standins/engine/chat_service.h"
#include "standins/engine/orders.h"

#include <deque>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace marigold::standin {

/** A model that is resident at startup. */
struct InitialModel
{
  std::string name;
  std::string version;
  int memoryMb = 0;
  std::vector<std::string> adapters;
};

/** Startup options of an engine stand-in. */
struct EngineOptions
{
  std::string name;
  int memoryMb = 0;
  ChatSettings chat;
  OrderSettings orders;
  base::Duration reportDelay = base::Duration::zero();
  base::Duration minDrainTime =
    base::Duration::zero(); ///< from SIGTERM to exit
  std::string recordFile;
  std::optional<http::Address> weights; ///< address of the weights store
  std::vector<InitialModel> resident;
};

/** Implements docs/protocols.md, section model engine. */
class EngineService
{
public:
  EngineService(http::Loop& aLoop, EngineOptions aOptions);

  /** @param aAddress address to listen on @return SettingsInvalid if in use */
  base::Result<void> listen(const http::Address& aAddress);

  /** Reports the state "leaving", waits for open requests, then stops the loop.
   */
  void drain();

private:
  using ResponderPtr = std::shared_ptr<http::Responder>;

  struct Snapshot
  {
    base::TimePoint takenAt;
    nlohmann::json content;
  };

  void handle(const http::Request& aRequest, const ResponderPtr& aResponder);
  void handleOrder(const http::Request& aRequest,
                   const ResponderPtr& aResponder);
  void handleControl(const http::Request& aRequest,
                     const ResponderPtr& aResponder);
  void handleCacheEvents(const http::Request& aRequest,
                         const ResponderPtr& aResponder);
  void loadInitialModels();
  void advanceOrders();
  void fetchWeights(const Order& aOrder);
  nlohmann::json report() const;
  nlohmann::json residentModelsJson() const;
  nlohmann::json memory() const;
  nlohmann::json takeSnapshot();
  nlohmann::json delayedReport();
  void logNewOvercommits();

  http::Loop& mLoop;
  EngineOptions mOptions;
  Accelerator mAccelerator;
  RunRecord mRecord;
  Orders mOrders;
  ChatService mChats;
  http::Client mClient;
  http::Server mServer;
  std::uint64_t mIncarnation;
  std::uint64_t mReportSequence = 0;
  std::uint64_t mOvercommitsLogged = 0;
  std::deque<Snapshot> mSnapshots;
  std::map<std::string, std::unique_ptr<http::Call>> mFetches;
  http::EventHandle mOrderTimer;
  http::EventHandle mSnapshotTimer;
  http::EventHandle mDrainTimer;
};

} // namespace marigold::standin
