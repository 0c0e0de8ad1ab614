/** @file Stand-in for a model engine. */
#include "observe/observe.h"
#include "standins/engine/engine_service.h"

#include <csignal>
#include <docopt/docopt.h>
#include <iostream>
#include <sstream>

using namespace marigold;

namespace {

constexpr const char* kUsage = R"(Stand-in for a model engine, for tests.

Usage:
  standin-engine --listen ADDRESS --name NAME [options]
  standin-engine (-h | --help)
  standin-engine --version

Options:
  --listen ADDRESS   IP:port to listen on.
  --name NAME        Name of the upstream.
  --memory MB        Accelerator memory [default: 80000].
  --resident MODELS  Models that are loaded at the start, as NAME=VERSION,...
  --token-ms MS      Time for one token [default: 5].
  --ignore-fencing   Accept orders with an old fencing number.
  -h --help          Show this text.
  --version          Show the version.
)";

standin::EngineOptions
readOptions(std::map<std::string, docopt::value>& aArguments)
{
  standin::EngineOptions options;
  options.name = aArguments["--name"].asString();
  options.memoryMb = static_cast<int>(aArguments["--memory"].asLong());
  options.tokenPeriod =
    std::chrono::milliseconds(aArguments["--token-ms"].asLong());
  options.honoursFencing = !aArguments["--ignore-fencing"].asBool();
  if (aArguments["--resident"]) {
    std::istringstream models(aArguments["--resident"].asString());
    std::string model;
    while (std::getline(models, model, ',')) {
      const auto equals = model.find('=');
      options.resident[model.substr(0, equals)] =
        equals == std::string::npos ? "" : model.substr(equals + 1);
    }
  }
  return options;
}

base::Result<void>
serve(std::map<std::string, docopt::value>& aArguments)
{
  http::Loop loop;
  standin::EngineService service(loop, readOptions(aArguments));
  BOOST_LEAF_AUTO(address,
                  http::parseAddress(aArguments["--listen"].asString()));
  BOOST_LEAF_CHECK(service.listen(address));
  const http::Watch term = loop.onSignal(SIGTERM, [&] { loop.stop(); });
  loop.run();
  return {};
}

} // namespace

int
main(int aCount, char** aValues)
{
  auto arguments = docopt::docopt(kUsage,
                                  { aValues + 1, aValues + aCount },
                                  true,
                                  "standin-engine " MARIGOLD_VERSION);
  const auto outcome = base::capture([&] { return serve(arguments); });
  if (const base::Error* error = base::errorOf(outcome)) {
    std::cerr << error->message << "\n";
    return 1;
  }
  return 0;
}
