/** @file The model engine stand-in's HTTP side. */
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

/** A model that is loaded at the start. */
struct InitialModel
{
  std::string name;
  std::string version;
  int memoryMb = 0;
  std::vector<std::string> adapters;
};

/** What an engine stand-in is started with. */
struct EngineOptions
{
  std::string name;
  int memoryMb = 0;
  ChatSettings chat;
  OrderSettings orders;
  base::Duration reportLag = base::Duration::zero();
  base::Duration leaveTime =
    base::Duration::zero(); ///< from SIGTERM to the end
  std::string recordFile;
  std::optional<http::Address> weights; ///< the weights store
  std::vector<InitialModel> resident;
};

/** Serves docs/protocols.md, section model engine. */
class EngineService
{
public:
  EngineService(http::Loop& aLoop, EngineOptions aOptions);

  /** @param aAddress where to listen @return SettingsInvalid if taken */
  base::Result<void> listen(const http::Address& aAddress);

  /** Announces leaving, finishes what runs, then stops the loop. */
  void leave();

private:
  using Out = std::shared_ptr<http::Responder>;

  struct Snapshot
  {
    base::TimePoint takenAt;
    nlohmann::json content;
  };

  void handle(const http::Request& aRequest, const Out& aOut);
  void handleOrder(const http::Request& aRequest, const Out& aOut);
  void handleControl(const http::Request& aRequest, const Out& aOut);
  void handleCacheEvents(const http::Request& aRequest, const Out& aOut);
  void loadInitial();
  void advanceOrders();
  void fetch(const Order& aOrder);
  nlohmann::json report() const;
  nlohmann::json residents() const;
  nlohmann::json memory() const;
  nlohmann::json takeSnapshot();
  nlohmann::json laggingReport();
  void reportOvercommit();

  http::Loop& mLoop;
  EngineOptions mOptions;
  Accelerator mAccelerator;
  RunRecord mRecord;
  Orders mOrders;
  ChatService mChats;
  http::Client mClient;
  http::Server mServer;
  std::uint64_t mIncarnation;
  std::uint64_t mReports = 0;
  std::uint64_t mOvercommitsLogged = 0;
  std::deque<Snapshot> mSnapshots;
  std::map<std::string, std::unique_ptr<http::Call>> mFetches;
  http::EventHandle mOrderTimer;
  http::EventHandle mSnapshotTimer;
  http::EventHandle mLeaveTimer;
};

} // namespace marigold::standin
