/** @file Stand-in for a service that is not a model engine. */
#include "standins/common/program.h"
#include "standins/service/recording_service.h"

#include <csignal>

using namespace marigold;
using standin::Arguments;

namespace {

constexpr const char* kUsage = R"(Stand-in for a plain service, for tests.

Usage:
  standin-service --listen ADDRESS --name NAME [options]
  standin-service (-h | --help)
  standin-service --version

Options:
  --listen ADDRESS  IP:port to listen on.
  --name NAME       Name of the upstream.
  --work-ms MS      Processing time of one request [default: 5].
  --record FILE     File that keeps executed requests across crashes.
  -h --help         Show this text.
  --version         Show the version.
)";

base::Result<void>
serve(http::Loop& aLoop, Arguments& aArguments)
{
  standin::RecordingService service(
    aLoop,
    { aArguments["--name"].asString(),
      standin::millisecondsArgument(aArguments, "--work-ms"),
      standin::stringArgument(aArguments, "--record") });
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
    { "standin-service", kUsage, serve }, aCount, aValues);
}
