/** @file Stand-in for a plain service. */
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
  --work-ms MS      Time that one request takes [default: 5].
  --record FILE     File that keeps the record of runs over a crash.
  -h --help         Show this text.
  --version         Show the version.
)";

base::Result<void>
serve(http::Loop& aLoop, Arguments& aArguments)
{
  standin::RecordingService service(
    aLoop,
    { aArguments["--name"].asString(),
      standin::millisecondsOf(aArguments, "--work-ms"),
      standin::textOf(aArguments, "--record") });
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
    { "standin-service", kUsage, serve }, aCount, aValues);
}
