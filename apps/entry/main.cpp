/** @file Entry process: serves callers from upstreams. */
#include "apps/entry/node.h"
#include "observe/observe.h"

#include <docopt/docopt.h>
#include <iostream>

using namespace marigold;

namespace {

constexpr const char* kUsage = R"(Serves callers from upstreams on an entry VM.

Usage:
  marigold-entry --settings FILE [--check]
  marigold-entry (-h | --help)
  marigold-entry --version

Options:
  --settings FILE  YAML settings; docs/OPERATIONS.md lists the keys.
  --check          Check the settings and exit.
  -h --help        Show this text.
  --version        Show the version.
)";

base::Result<void>
serve(const std::string& aFile, bool aCheckOnly)
{
  BOOST_LEAF_AUTO(text, config::readFile(aFile));
  BOOST_LEAF_AUTO(settings, entry::parseSettings(text, aFile));
  if (aCheckOnly) {
    std::cout << aFile << ": settings are valid\n";
    return {};
  }
  observe::startLog(settings.vm, settings.logLevel);
  entry::Node node(std::move(settings));
  return node.run();
}

} // namespace

int
main(int aCount, char** aValues)
{
  auto arguments = docopt::docopt(kUsage,
                                  { aValues + 1, aValues + aCount },
                                  true,
                                  "marigold-entry " MARIGOLD_VERSION);
  return observe::runMain([&]() -> base::Result<int> {
    BOOST_LEAF_CHECK(
      serve(arguments["--settings"].asString(), arguments["--check"].asBool()));
    return 0;
  });
}
