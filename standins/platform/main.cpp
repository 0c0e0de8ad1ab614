/** @file Stand-in for the platform: key-value service and VM list. */
#include "standins/common/program.h"
#include "standins/platform/platform_service.h"

using namespace marigold;

namespace {

constexpr const char* kUsage = R"(Stand-in for the platform, for tests.

Usage:
  standin-platform --listen ADDRESS
  standin-platform (-h | --help)
  standin-platform --version

Options:
  --listen ADDRESS  IP:port to listen on.
  -h --help         Show this text.
  --version         Show the version.
)";

base::Result<void>
serve(http::Loop& aLoop, standin::Arguments& aArguments)
{
  standin::PlatformService service(aLoop);
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
    { "standin-platform", kUsage, serve }, aCount, aValues);
}
