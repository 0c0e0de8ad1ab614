/** @file Stand-in for a model engine. */
#include "standins/common/program.h"
#include "standins/engine/engine_service.h"

#include <csignal>
#include <sstream>

using namespace marigold;
using standin::Arguments;
using standin::millisecondsOf;
using standin::numberOf;
using standin::textOf;

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
  --resident MODELS      Models that are loaded at the start, separated by
                         commas, each NAME=VERSION[=MB][:ADAPTER...].
  --capacity N           Requests that run at once [default: 32].
  --token-ms MS          Time for one token of a single request [default: 5].
  --token-growth-us US   Longer for each further request [default: 50].
  --prefill-us US        Time for one prompt token not cached [default: 20].
  --load-ms MS           Time of a load without the weights [default: 500].
  --unload-ms MS         Time of an unload [default: 50].
  --role-ms MS           Time of a change of role [default: 100].
  --adapter-limit N      Adapter loads in flight above which each becomes
                         slower in proportion [default: 90].
  --ignore-fencing       Accept orders with an old fencing number.
  --ignore-memory        Start loads that do not fit, and count the overcommit.
  --weights ADDRESS      Fetch weights from this weights store.
  --report-lag-ms MS     Age of the load reports [default: 0].
  --cache-blocks N       Prefix cache, in blocks of 256 bytes [default: 1024].
  --cache-lag-ms MS      Delay of cache events [default: 200].
  --cache-loss PERCENT   Share of cache events that are lost [default: 0].
  --seed N               Seed of the lost events [default: 1].
  --leave-ms MS          Shortest time from SIGTERM to the end [default: 0].
  --record FILE          File that keeps the record of runs over a crash.
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
  settings.speed = { numberOf(aArguments, "--capacity"),
                     millisecondsOf(aArguments, "--token-ms"),
                     microseconds(numberOf(aArguments, "--token-growth-us")) };
  settings.prefillPerToken = microseconds(numberOf(aArguments, "--prefill-us"));
  settings.cache.blocks =
    static_cast<std::size_t>(numberOf(aArguments, "--cache-blocks"));
  settings.cache.eventLag = millisecondsOf(aArguments, "--cache-lag-ms");
  settings.cache.eventLoss = numberOf(aArguments, "--cache-loss") / 100.0;
  settings.cache.seed =
    static_cast<std::uint64_t>(numberOf(aArguments, "--seed"));
  return settings;
}

standin::OrderSettings
readOrderSettings(Arguments& aArguments)
{
  standin::OrderSettings settings;
  settings.honoursFencing = !aArguments["--ignore-fencing"].asBool();
  settings.checksMemory = !aArguments["--ignore-memory"].asBool();
  settings.usesWeights = static_cast<bool>(aArguments["--weights"]);
  settings.loadTime = millisecondsOf(aArguments, "--load-ms");
  settings.unloadTime = millisecondsOf(aArguments, "--unload-ms");
  settings.roleTime = millisecondsOf(aArguments, "--role-ms");
  settings.adapterLimit = numberOf(aArguments, "--adapter-limit");
  return settings;
}

base::Result<standin::EngineOptions>
readOptions(Arguments& aArguments)
{
  standin::EngineOptions options;
  options.name = aArguments["--name"].asString();
  options.memoryMb = numberOf(aArguments, "--memory");
  options.chat = readChatSettings(aArguments);
  options.orders = readOrderSettings(aArguments);
  options.reportLag = millisecondsOf(aArguments, "--report-lag-ms");
  options.leaveTime = millisecondsOf(aArguments, "--leave-ms");
  options.recordFile = textOf(aArguments, "--record");
  options.resident = readModels(textOf(aArguments, "--resident"));
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
    aLoop.onSignal(SIGTERM, [&] { service.leave(); });
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
