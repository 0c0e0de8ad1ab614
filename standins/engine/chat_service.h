/** @file Chat completions of the engine stand-in. */
#pragma once

#include "http/http.h"
#include "standins/common/faults.h"
#include "standins/common/run_record.h"
#include "standins/engine/accelerator.h"
#include "standins/engine/batch.h"
#include "standins/engine/prefix_cache.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace marigold::standin {

struct ChatSettings
{
  BatchSpeed speed;
  /** Prefill time of one prompt token that is not cached. */
  base::Duration prefillPerToken = std::chrono::microseconds(20);
  PrefixCacheSettings cache;
};

/** Executes chat completions in a batch and sends the responses. */
class ChatService
{
public:
  using ResponderPtr = std::shared_ptr<http::Responder>;

  /** @param aLoop event loop @param aSettings speed and cache
   * @param aAccelerator resident models @param aRecord executed requests */
  ChatService(http::Loop& aLoop,
              const ChatSettings& aSettings,
              const Accelerator& aAccelerator,
              RunRecord& aRecord);

  /** @param aRequest chat completion request @param aResponder responder */
  void start(const http::Request& aRequest, const ResponderPtr& aResponder);

  /** @param aId X-Request-Id @return false if no such request is running or
   * queued */
  bool cancel(const std::string& aId);

  /** Controls whether responses carry X-Engine-State: leaving.
   * @param aLeaving true while the engine is shutting down */
  void setLeaving(bool aLeaving);

  RequestFaults& faults() { return mFaults; }
  PrefixCache& cache() { return mCache; }
  const Batch& batch() const { return mBatch; }
  bool leaving() const { return mLeaving; }
  bool idle() const { return mChats.empty(); }

private:
  struct Chat
  {
    http::Request request;
    std::string id;
    std::string model; ///< NAME or NAME:ADAPTER
    std::string version;
    bool stream = false;
    Fault fault = Fault::None;
    std::string reference;
    std::string text;
    int resumedFrom = 0;
    int promptTokens = 0;
    int produced = 0;
    int requestedTokens = 0;
    std::int64_t sinceLeavingMs = -1;
    ResponderPtr responder;
  };

  void enqueueChat(Chat aChat, int aPriority);
  void admit();
  void startRunning(std::uint64_t aSerial);
  void step();
  void scheduleStep();
  void deliverToken(const ProducedToken& aToken);
  void finish(const Chat& aChat);
  void finishStream(const Chat& aChat);
  void finishNonStreaming(const Chat& aChat);
  bool shouldAbortNow(const Chat& aChat) const;
  http::Headers responseHeaders(const Chat& aChat) const;

  http::Loop& mLoop;
  ChatSettings mSettings;
  const Accelerator& mAccelerator;
  RunRecord& mRecord;
  RequestFaults mFaults;
  PrefixCache mCache;
  Batch mBatch;
  std::map<std::uint64_t, Chat> mChats;
  std::uint64_t mNextSerial = 1;
  http::EventHandle mStepTimer;
  bool mStepScheduled = false;
  bool mLeaving = false;
  base::TimePoint mLeavingSince;
};

} // namespace marigold::standin
