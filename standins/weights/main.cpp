/** @file Stand-in for the rate-limited weights store. */
#include "observe/observe.h"
#include "standins/common/program.h"
#include "standins/weights/store.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

using namespace marigold;
using nlohmann::json;
using standin::Arguments;

namespace {

constexpr const char* kUsage = R"(Stand-in for the weights store, for tests.

Usage:
  standin-weights --listen ADDRESS [options]
  standin-weights (-h | --help)
  standin-weights --version

Options:
  --listen ADDRESS    IP:port to listen on.
  --per-second N      Model fetches started per second [default: 1].
  --concurrent N      Maximum concurrent model fetches [default: 10].
  --fetch-ms MS       Duration of one model fetch [default: 1000].
  --adapter-limit N   Adapter fetches in flight above which each slows down in
                      proportion [default: 90].
  -h --help           Show this text.
  --version           Show the version.
)";

/** Serves fetches of weights over HTTP. */
class WeightsService
{
public:
  WeightsService(http::Loop& aLoop, standin::WeightsSettings aSettings)
    : mLoop(aLoop)
    , mStore(aSettings)
    , mServer(aLoop,
              {},
              [this](const http::Request& aRequest, auto aResponder) {
                handle(aRequest, aResponder);
              })
  {
  }

  base::Result<void> listen(const http::Address& aAddress)
  {
    return mServer.listen(aAddress);
  }

private:
  using ResponderPtr = std::shared_ptr<http::Responder>;

  void handle(const http::Request& aRequest, const ResponderPtr& aResponder)
  {
    if (aRequest.path == "/stats") {
      aResponder->reply(observe::jsonAnswer(200, stats()));
      return;
    }
    const json content = json::parse(aRequest.body, nullptr, false);
    if (aRequest.path != "/v1/fetch" || !content.is_object()) {
      aResponder->reply(observe::jsonAnswer(404, json::object()));
      return;
    }
    const std::uint64_t serial = mNextSerial++;
    mWaiting[serial] = aResponder;
    aResponder->onDisconnect([this, serial] {
      mStore.cancel(serial, base::monotonicNow());
      mWaiting.erase(serial);
      advance();
    });
    mStore.requestFetch({ serial, content.value("adapter", "") },
                        base::monotonicNow());
    advance();
  }

  void advance()
  {
    const base::TimePoint now = base::monotonicNow();
    for (const std::uint64_t serial : mStore.advance(now)) {
      const auto waiting = mWaiting.extract(serial);
      waiting.mapped()->reply(observe::jsonAnswer(200, json::object()));
    }
    if (const auto due = mStore.nextDueTime()) {
      mTimer = mLoop.after(std::max(base::Duration::zero(), *due - now),
                           [this] { advance(); });
    }
  }

  json stats() const
  {
    const standin::WeightsStats& stats = mStore.stats();
    return { { "models", stats.models },
             { "adapters", stats.adapters },
             { "highest_requested", stats.highestRequested },
             { "highest_running", stats.highestRunning },
             { "highest_adapters", stats.highestAdapters },
             { "highest_asked_in_second", stats.highestAskedInSecond } };
  }

  http::Loop& mLoop;
  standin::WeightsStore mStore;
  http::Server mServer;
  std::map<std::uint64_t, ResponderPtr> mWaiting;
  std::uint64_t mNextSerial = 1;
  http::EventHandle mTimer;
};

base::Result<void>
serve(http::Loop& aLoop, Arguments& aArguments)
{
  standin::WeightsSettings settings;
  settings.fetchesPerSecond = standin::intArgument(aArguments, "--per-second");
  settings.maxConcurrent = standin::intArgument(aArguments, "--concurrent");
  settings.fetchTime = standin::millisecondsArgument(aArguments, "--fetch-ms");
  settings.adapterLimit = standin::intArgument(aArguments, "--adapter-limit");
  WeightsService service(aLoop, settings);
  BOOST_LEAF_AUTO(address, standin::listenAddress(aArguments));
  BOOST_LEAF_CHECK(service.listen(address));
  standin::runUntilTerminated(aLoop);
  return {};
}

} // namespace

int
main(int aCount, char** aValues)
{
  return standin::runProgram(
    { "standin-weights", kUsage, serve }, aCount, aValues);
}
