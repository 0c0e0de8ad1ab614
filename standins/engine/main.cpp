/** @file Stand-in for a model engine. */
#include "standins/common/program.h"
#include "standins/engine/engine_service.h"

#include <csignal>
#include <sstream>

using namespace marigold;
using standin::Arguments;
using standin::intArgument;
using standin::millisecondsArgument;
using standin::stringArgument;

namespace {

constexpr const char* kUsage = R"(Stand-in for a model engine, for tests.

Usage:
  standin-engine --listen ADDRESS --name NAME [options]
  standin-engine (-h | --help)
  standin-engine --version

Options:
  --listen ADDRESS       IP:port to listen on.
  --name NAME            Name of the upstream.
  --memory MB            Accelerator memory [default: 80000].
  --resident MODELS      Models that are resident at startup, separated by
                         commas, each NAME=VERSION[=MB][:ADAPTER...].
  --capacity N           Maximum number of running requests [default: 32].
  --token-ms MS          Time for one token of a single request [default: 5].
  --token-growth-us US   Extra time per additional request [default: 50].
  --prefill-us US        Time for one prompt token not cached [default: 20].
  --load-ms MS           Load time without fetching weights [default: 500].
  --unload-ms MS         Unload time [default: 50].
  --role-ms MS           Time of a role change [default: 100].
  --adapter-limit N      Adapter loads in flight above which each load
                         slows down in proportion [default: 90].
  --ignore-fencing       Accept orders with a stale fencing token.
  --ignore-memory        Start loads that do not fit; count the overcommits.
  --weights ADDRESS      Fetch weights from this weights store.
  --report-lag-ms MS     Age of the load reports [default: 0].
  --cache-blocks N       Prefix cache, in blocks of 256 bytes [default: 1024].
  --cache-lag-ms MS      Delay of cache events [default: 200].
  --cache-loss PERCENT   Share of cache events that are lost [default: 0].
  --seed N               Seed that selects the lost events [default: 1].
  --leave-ms MS          Minimum time from SIGTERM to exit [default: 0].
  --record FILE          File that keeps executed requests across crashes.
  -h --help              Show this text.
  --version              Show the version.
)";

standin::InitialModel
readModel(const std::string& aText)
{
  std::istringstream parts(aText);
  std::string head;
  std::getline(parts, head, ':');
  standin::InitialModel model;
  std::string adapter;
  while (std::getline(parts, adapter, ':')) {
    model.adapters.push_back(adapter);
  }
  std::istringstream fields(head);
  std::string memory;
  std::getline(fields, model.name, '=');
  std::getline(fields, model.version, '=');
  if (std::getline(fields, memory, '=')) {
    model.memoryMb = std::stoi(memory);
  }
  return model;
}

std::vector<standin::InitialModel>
readModels(const std::string& aList)
{
  std::vector<standin::InitialModel> models;
  std::istringstream items(aList);
  std::string item;
  while (std::getline(items, item, ',')) {
    models.push_back(readModel(item));
  }
  return models;
}

standin::ChatSettings
readChatSettings(Arguments& aArguments)
{
  using std::chrono::microseconds;
  standin::ChatSettings settings;
  settings.speed = { intArgument(aArguments, "--capacity"),
                     millisecondsArgument(aArguments, "--token-ms"),
                     microseconds(
                       intArgument(aArguments, "--token-growth-us")) };
  settings.prefillPerToken =
    microseconds(intArgument(aArguments, "--prefill-us"));
  settings.cache.blocks =
    static_cast<std::size_t>(intArgument(aArguments, "--cache-blocks"));
  settings.cache.eventDelay =
    millisecondsArgument(aArguments, "--cache-lag-ms");
  settings.cache.eventLossRate =
    intArgument(aArguments, "--cache-loss") / 100.0;
  settings.cache.seed =
    static_cast<std::uint64_t>(intArgument(aArguments, "--seed"));
  return settings;
}

standin::OrderSettings
readOrderSettings(Arguments& aArguments)
{
  standin::OrderSettings settings;
  settings.enforcesFencing = !aArguments["--ignore-fencing"].asBool();
  settings.checksMemory = !aArguments["--ignore-memory"].asBool();
  settings.usesWeights = static_cast<bool>(aArguments["--weights"]);
  settings.loadTime = millisecondsArgument(aArguments, "--load-ms");
  settings.unloadTime = millisecondsArgument(aArguments, "--unload-ms");
  settings.roleTime = millisecondsArgument(aArguments, "--role-ms");
  settings.adapterLimit = intArgument(aArguments, "--adapter-limit");
  return settings;
}

base::Result<standin::EngineOptions>
readOptions(Arguments& aArguments)
{
  standin::EngineOptions options;
  options.name = aArguments["--name"].asString();
  options.memoryMb = intArgument(aArguments, "--memory");
  options.chat = readChatSettings(aArguments);
  options.orders = readOrderSettings(aArguments);
  options.reportDelay = millisecondsArgument(aArguments, "--report-lag-ms");
  options.minDrainTime = millisecondsArgument(aArguments, "--leave-ms");
  options.recordFile = stringArgument(aArguments, "--record");
  options.resident = readModels(stringArgument(aArguments, "--resident"));
  if (options.orders.usesWeights) {
    BOOST_LEAF_ASSIGN(options.weights,
                      http::parseAddress(aArguments["--weights"].asString()));
  }
  return options;
}

base::Result<void>
serve(http::Loop& aLoop, Arguments& aArguments)
{
  BOOST_LEAF_AUTO(options, readOptions(aArguments));
  standin::EngineService service(aLoop, options);
  BOOST_LEAF_AUTO(address, standin::listenAddress(aArguments));
  BOOST_LEAF_CHECK(service.listen(address));
  const http::EventHandle term =
    aLoop.onSignal(SIGTERM, [&] { service.drain(); });
  aLoop.run();
  return {};
}

} // namespace

int
main(int aCount, char** aValues)
{
  return standin::runProgram(
    { "standin-engine", kUsage, serve }, aCount, aValues);
}
