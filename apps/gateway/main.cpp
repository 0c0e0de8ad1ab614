/** @file Gateway process: forwards requests of callers to upstreams. */
#include "apps/gateway/gateway.h"
#include "config/config.h"
#include "http/http.h"

#include <csignal>
#include <docopt/docopt.h>
#include <iostream>
#include <malloc.h>

using namespace marigold;

namespace {

constexpr const char* kUsage = R"(Serves callers of the users' platform.

Usage:
  marigold-gateway --settings FILE [--check]
  marigold-gateway (-h | --help)
  marigold-gateway --version

Options:
  --settings FILE  YAML settings; docs/OPERATIONS.md lists the keys.
  --check          Check the settings and exit.
  -h --help        Show this text.
  --version        Show the version.
)";

/** Blocks from this size on go back to the VM when they are freed. By default
 * the size grows with the blocks, and freed bodies and answers stay with the
 * process in pieces. */
constexpr int kOwnMappingBytes = 128 * 1024;

base::Result<void>
serve(const std::string& aFile, bool aCheckOnly)
{
  BOOST_LEAF_AUTO(text, config::readFile(aFile));
  BOOST_LEAF_AUTO(settings, gateway::parseSettings(text, aFile));
  if (aCheckOnly) {
    std::cout << aFile << ": settings are valid\n";
    return {};
  }
  observe::startLog(
    settings.vm, settings.logLevel, observe::LogOutput::StandardOutput);
  gateway::Gateway process(std::move(settings), aFile);
  return process.run();
}

} // namespace

int
main(int aCount, char** aValues)
{
  http::holdSignals({ SIGTERM, SIGHUP });
  mallopt(M_MMAP_THRESHOLD, kOwnMappingBytes);
  auto arguments = docopt::docopt(kUsage,
                                  { aValues + 1, aValues + aCount },
                                  true,
                                  "marigold-gateway " MARIGOLD_VERSION);
  return observe::runMain([&]() -> base::Result<int> {
    BOOST_LEAF_CHECK(
      serve(arguments["--settings"].asString(), arguments["--check"].asBool()));
    return 0;
  });
}
