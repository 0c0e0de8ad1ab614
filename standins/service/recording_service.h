/** @file A service that records every request that it executes. */
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
  base::Duration workTime = std::chrono::milliseconds(5); ///< per request
  std::string recordFile;
};

/** Records each request, then answers it or injects its fault. */
class RecordingService
{
public:
  RecordingService(http::Loop& aLoop, ServiceOptions aOptions);

  /** @param aAddress address to listen on @return SettingsInvalid if in use */
  base::Result<void> listen(const http::Address& aAddress);

  /** Waits for open requests except stalled ones, then stops the loop. */
  void drain();

private:
  using ResponderPtr = std::shared_ptr<http::Responder>;

  void handle(const http::Request& aRequest, const ResponderPtr& aResponder);
  void handleControl(const http::Request& aRequest,
                     const ResponderPtr& aResponder);
  void execute(const http::Request& aRequest, const ResponderPtr& aResponder);
  void answer(const http::Request& aRequest,
              Fault aFault,
              const ResponderPtr& aResponder);

  http::Loop& mLoop;
  ServiceOptions mOptions;
  RunRecord mRecord;
  RequestFaults mFaults;
  std::list<http::EventHandle> mWorkTimers;
  std::list<ResponderPtr> mStalled;
  http::EventHandle mDrainTimer;
  http::Server mServer;
};

} // namespace marigold::standin
