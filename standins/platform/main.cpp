/** @file Stand-in for the platform: key-value service and list of VMs. */
#include "observe/observe.h"
#include "standins/platform/platform_service.h"

#include <csignal>
#include <docopt/docopt.h>
#include <iostream>

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
serve(const std::string& aAddress)
{
  http::Loop loop;
  standin::PlatformService service(loop);
  BOOST_LEAF_AUTO(address, http::parseAddress(aAddress));
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
                                  "standin-platform " MARIGOLD_VERSION);
  const auto outcome =
    base::capture([&] { return serve(arguments["--listen"].asString()); });
  if (const base::Error* error = base::errorOf(outcome)) {
    std::cerr << error->message << "\n";
    return 1;
  }
  return 0;
}
