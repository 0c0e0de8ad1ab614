/** @file A plain service that records every request that it ran. */
#pragma once

#include "http/http.h"
#include "standins/common/faults.h"
#include "standins/common/run_record.h"

#include <list>
#include <string>

namespace marigold::standin {

struct ServiceOptions
{
  std::string name;
  base::Duration work = std::chrono::milliseconds(5); ///< of one request
  std::string recordFile;
};

/** Runs each request after recording it, and answers or fails as marked. */
class RecordingService
{
public:
  RecordingService(http::Loop& aLoop, ServiceOptions aOptions);

  /** @param aAddress where to listen @return SettingsInvalid if taken */
  base::Result<void> listen(const http::Address& aAddress);

  /** Finishes what runs, then stops the loop. */
  void leave();

private:
  using Out = std::shared_ptr<http::Responder>;

  void handle(const http::Request& aRequest, const Out& aOut);
  void handleControl(const http::Request& aRequest, const Out& aOut);
  void run(const http::Request& aRequest, const Out& aOut);
  void answer(const http::Request& aRequest, Fault aFault, const Out& aOut);

  http::Loop& mLoop;
  ServiceOptions mOptions;
  RunRecord mRecord;
  RequestFaults mFaults;
  std::list<http::EventHandle> mTimers;
  std::list<Out> mStalled;
  http::EventHandle mLeaveTimer;
  http::Server mServer;
};

} // namespace marigold::standin
