#include "standins/service/recording_service.h"

#include "observe/observe.h"

#include <unistd.h>

namespace marigold::standin {
namespace {

using nlohmann::json;

constexpr int kCrashExitCode = 70;
constexpr base::Duration kLeaveCheckPeriod = std::chrono::milliseconds(10);

/** Where markers are looked for: a GET has no body. */
std::string
markedText(const http::Request& aRequest)
{
  return aRequest.path + " " + http::percentDecode(aRequest.query) + " " +
         aRequest.body;
}

} // namespace

RecordingService::RecordingService(http::Loop& aLoop, ServiceOptions aOptions)
  : mLoop(aLoop)
  , mOptions(std::move(aOptions))
  , mRecord(mOptions.recordFile)
  , mServer(aLoop, {}, [this](const http::Request& aRequest, const Out& aOut) {
    handle(aRequest, aOut);
  })
{
}

base::Result<void>
RecordingService::listen(const http::Address& aAddress)
{
  return mServer.listen(aAddress);
}

void
RecordingService::leave()
{
  mLeaveTimer = mLoop.every(kLeaveCheckPeriod, [this] {
    if (mServer.openRequests() == mStalled.size()) {
      mLoop.stop();
    }
  });
}

void
RecordingService::handle(const http::Request& aRequest, const Out& aOut)
{
  if (aRequest.path == "/_ran") {
    aOut->reply(observe::jsonAnswer(200, mRecord.entries()));
  } else if (aRequest.path == "/control") {
    handleControl(aRequest, aOut);
  } else {
    run(aRequest, aOut);
  }
}

void
RecordingService::handleControl(const http::Request& aRequest, const Out& aOut)
{
  const json content = json::parse(aRequest.body, nullptr, false);
  if (!content.is_object() || !content.contains("faults")) {
    aOut->reply(observe::jsonAnswer(400, { { "error", "no faults" } }));
    return;
  }
  for (const auto& [name, count] : content["faults"].items()) {
    if (const auto fault = faultNamed(name)) {
      mFaults.set(*fault, count);
    }
  }
  aOut->reply(observe::jsonAnswer(200, json::object()));
}

void
RecordingService::run(const http::Request& aRequest, const Out& aOut)
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
    mStalled.push_back(aOut);
    return;
  }
  const auto timer = mTimers.emplace(mTimers.end());
  *timer = mLoop.after(mOptions.work + markedDelay(marked),
                       [this, timer, aRequest, fault, aOut] {
                         answer(aRequest, fault, aOut);
                         mTimers.erase(timer);
                       });
}

void
RecordingService::answer(const http::Request& aRequest,
                         Fault aFault,
                         const Out& aOut)
{
  if (aFault == Fault::Cut) {
    aOut->abort();
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
        aFault == Fault::WrongId ? "foreign"
                                 : referenceIn(markedText(aRequest)) } });
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
  aOut->reply(answer);
}

} // namespace marigold::standin
