#include "standins/service/recording_service.h"

#include "observe/observe.h"

#include <nlohmann/json.hpp>
#include <unistd.h>

namespace marigold::standin {
namespace {

using nlohmann::json;

constexpr int kCrashExitCode = 70;
constexpr base::Duration kDrainCheckPeriod = std::chrono::milliseconds(10);

/** @return text to search for markers: path, query and body, because a GET
 * request has no body */
std::string
textWithMarkers(const http::Request& aRequest)
{
  return aRequest.path + " " + http::percentDecode(aRequest.query) + " " +
         aRequest.body;
}

} // namespace

RecordingService::RecordingService(http::Loop& aLoop, ServiceOptions aOptions)
  : mLoop(aLoop)
  , mOptions(std::move(aOptions))
  , mRecord(mOptions.recordFile)
  , mServer(
      aLoop,
      {},
      [this](const http::Request& aRequest, const ResponderPtr& aResponder) {
        handle(aRequest, aResponder);
      })
{
}

base::Result<void>
RecordingService::listen(const http::Address& aAddress)
{
  return mServer.listen(aAddress);
}

void
RecordingService::drain()
{
  mDrainTimer = mLoop.every(kDrainCheckPeriod, [this] {
    if (mServer.openRequests() == mStalled.size()) {
      mLoop.stop();
    }
  });
}

void
RecordingService::handle(const http::Request& aRequest,
                         const ResponderPtr& aResponder)
{
  if (aRequest.path == "/_ran") {
    aResponder->reply(observe::jsonAnswer(200, mRecord.entries()));
  } else if (aRequest.path == "/control") {
    handleControl(aRequest, aResponder);
  } else {
    execute(aRequest, aResponder);
  }
}

void
RecordingService::handleControl(const http::Request& aRequest,
                                const ResponderPtr& aResponder)
{
  const json content = json::parse(aRequest.body, nullptr, false);
  if (!content.is_object() || !content.contains("faults")) {
    aResponder->reply(observe::jsonAnswer(400, { { "error", "no faults" } }));
    return;
  }
  for (const auto& [name, count] : content["faults"].items()) {
    if (const auto fault = parseFault(name)) {
      mFaults.set(*fault, count);
    }
  }
  aResponder->reply(observe::jsonAnswer(200, json::object()));
}

void
RecordingService::execute(const http::Request& aRequest,
                          const ResponderPtr& aResponder)
{
  mRecord.add(aRequest, json::object());
  const std::string marked = aRequest.path + " " +
                             http::percentDecode(aRequest.query) + " " +
                             aRequest.body;
  const Fault fault = mFaults.choose(marked);
  if (fault == Fault::Crash) {
    observe::logError("crash injected by a test");
    _exit(kCrashExitCode);
  }
  if (fault == Fault::Stall) {
    mStalled.push_back(aResponder);
    return;
  }
  const auto timer = mWorkTimers.emplace(mWorkTimers.end());
  *timer = mLoop.after(mOptions.workTime + parseDelayMarker(marked),
                       [this, timer, aRequest, fault, aResponder] {
                         answer(aRequest, fault, aResponder);
                         mWorkTimers.erase(timer);
                       });
}

void
RecordingService::answer(const http::Request& aRequest,
                         Fault aFault,
                         const ResponderPtr& aResponder)
{
  if (aFault == Fault::Cut) {
    aResponder->abort();
    return;
  }
  std::string id(http::findHeader(aRequest.headers, "X-Request-Id"));
  if (aFault == Fault::WrongId) {
    id = "wrong-" + id;
  }
  http::Response answer = observe::jsonAnswer(
    200,
    { { "service", mOptions.name },
      { "request", id },
      { "reference",
        aFault == Fault::WrongId
          ? "foreign"
          : parseReferenceMarker(textWithMarkers(aRequest)) } });
  answer.headers.emplace_back("X-Request-Id", id);
  const std::string length = std::to_string(answer.body.size());
  if (aFault == Fault::Truncate) {
    answer.headers.emplace_back("Content-Length", length);
    answer.headers.emplace_back("Connection", "close");
    answer.body.resize(answer.body.size() / 2);
  } else if (aFault == Fault::Surplus) {
    answer.headers.emplace_back("Content-Length", length);
    answer.body += "surplus bytes";
  }
  aResponder->reply(answer);
}

} // namespace marigold::standin
