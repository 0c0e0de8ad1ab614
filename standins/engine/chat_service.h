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
  /** Time for one prompt token that is not cached. */
  base::Duration prefillPerToken = std::chrono::microseconds(20);
  PrefixCacheSettings cache;
};

/** Runs chat completions in a batch and answers them. */
class ChatService
{
public:
  using Out = std::shared_ptr<http::Responder>;

  /** @param aLoop loop @param aSettings speed and cache
   * @param aAccelerator resident models @param aRecord what ran */
  ChatService(http::Loop& aLoop,
              const ChatSettings& aSettings,
              const Accelerator& aAccelerator,
              RunRecord& aRecord);

  /** @param aRequest POST of a chat @param aOut its answer */
  void start(const http::Request& aRequest, const Out& aOut);

  /** @param aId X-Request-Id @return false if no such request runs or waits */
  bool cancel(const std::string& aId);

  /** Answers carry X-Engine-State: leaving from now on or no longer.
   * @param aLeaving state */
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
    std::string model; ///< with adapter
    std::string version;
    bool stream = false;
    Fault fault = Fault::None;
    std::string reference;
    std::string text;
    int resumedFrom = 0;
    int promptTokens = 0;
    int produced = 0;
    int wanted = 0;
    std::int64_t sinceLeavingMs = -1;
    Out out;
  };

  void enqueue(Chat aChat, int aPriority);
  void admit();
  void begin(std::uint64_t aSerial);
  void step();
  void arm();
  void deliver(const ProducedToken& aToken);
  void finish(const Chat& aChat);
  void finishStream(const Chat& aChat);
  void finishPlain(const Chat& aChat);
  bool cutsNow(const Chat& aChat) const;
  http::Headers headersOf(const Chat& aChat) const;

  http::Loop& mLoop;
  ChatSettings mSettings;
  const Accelerator& mAccelerator;
  RunRecord& mRecord;
  RequestFaults mFaults;
  PrefixCache mCache;
  Batch mBatch;
  std::map<std::uint64_t, Chat> mChats;
  std::uint64_t mNextSerial = 1;
  http::EventHandle mStep;
  bool mStepArmed = false;
  bool mLeaving = false;
  base::TimePoint mLeavingSince;
};

} // namespace marigold::standin
