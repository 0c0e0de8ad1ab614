/** @file Entry point of marigoldctl, the operators' command line tool. */
#include "apps/ctl/commands.h"
#include "observe/observe.h"

#include <docopt/docopt.h>

using namespace marigold;

namespace {

constexpr const char* kUsage = R"(Operates a marigoldtack deployment.

Usage:
  marigoldctl manifest check FILE
  marigoldctl --settings FILE manifest publish FILE
  marigoldctl --settings FILE manifest show
  marigoldctl --settings FILE manifest diff FILE
  marigoldctl --settings FILE keys grant TEAM
  marigoldctl --settings FILE keys withdraw ID
  marigoldctl --settings FILE keys list
  marigoldctl --settings FILE status
  marigoldctl --settings FILE dump VM
  marigoldctl (-h | --help)
  marigoldctl --version

Options:
  --settings FILE  YAML settings: platform, operator_key, vms.
  -h --help        Show this text.
  --version        Show the version.
)";

using Arguments = std::map<std::string, docopt::value>;

base::Result<void>
runWithSession(Arguments& aArguments)
{
  BOOST_LEAF_AUTO(settings,
                  ctl::readSettings(aArguments["--settings"].asString()));
  ctl::Session session(std::move(settings));
  if (aArguments["publish"].asBool()) {
    return ctl::publishManifest(session, aArguments["FILE"].asString());
  }
  if (aArguments["show"].asBool()) {
    return ctl::showManifest(session);
  }
  if (aArguments["diff"].asBool()) {
    return ctl::diffManifest(session, aArguments["FILE"].asString());
  }
  if (aArguments["grant"].asBool()) {
    return ctl::grantKey(session, aArguments["TEAM"].asString());
  }
  if (aArguments["withdraw"].asBool()) {
    return ctl::withdrawKey(session, aArguments["ID"].asString());
  }
  if (aArguments["list"].asBool()) {
    return ctl::listKeys(session);
  }
  if (aArguments["status"].asBool()) {
    return ctl::showStatus(session);
  }
  return ctl::dumpVm(session, aArguments["VM"].asString());
}

base::Result<void>
run(Arguments& aArguments)
{
  if (aArguments["check"].asBool()) {
    return ctl::checkManifest(aArguments["FILE"].asString());
  }
  return runWithSession(aArguments);
}

} // namespace

int
main(int aCount, char** aValues)
{
  auto arguments = docopt::docopt(kUsage,
                                  { aValues + 1, aValues + aCount },
                                  true,
                                  "marigoldctl " MARIGOLD_VERSION);
  return observe::runMain([&]() -> base::Result<int> {
    BOOST_LEAF_CHECK(run(arguments));
    return 0;
  });
}
