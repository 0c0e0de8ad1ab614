/** @file Entry point of marigoldctl, the operators' command line tool. */
#include "apps/ctl/commands.h"
#include "apps/ctl/explain.h"
#include "base/number.h"
#include "observe/observe.h"

#include <docopt/docopt.h>
#include <iostream>

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
  marigoldctl explain REQUEST LOG...
  marigoldctl explain [--slowest N] [--refused] [--team T] LOG...
  marigoldctl (-h | --help)
  marigoldctl --version

Options:
  --settings FILE  YAML settings: platform, operator_key, vms.
  --slowest N      List the N requests that took longest.
  --refused        List the requests that were refused or failed.
  --team T         List the requests of a team.
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

base::Result<ctl::RequestFilter>
readFilter(Arguments& aArguments)
{
  ctl::RequestFilter filter;
  filter.refused = aArguments["--refused"].asBool();
  if (aArguments["--team"]) {
    filter.team = aArguments["--team"].asString();
  }
  if (aArguments["--slowest"]) {
    const std::string& count = aArguments["--slowest"].asString();
    filter.slowest = base::parseNumber<std::size_t>(count);
    if (!filter.slowest) {
      return base::fail(base::Code::BadRequest,
                        "--slowest needs a number, not \"" + count + "\"");
    }
  }
  return filter;
}

base::Result<void>
explain(Arguments& aArguments)
{
  BOOST_LEAF_AUTO(filter, readFilter(aArguments));
  BOOST_LEAF_AUTO(logs, ctl::readLogFiles(aArguments["LOG"].asStringList()));
  if (aArguments["REQUEST"]) {
    BOOST_LEAF_AUTO(
      text, ctl::explainRequest(logs, aArguments["REQUEST"].asString()));
    std::cout << text;
  } else {
    std::cout << ctl::listRequests(logs, filter);
  }
  if (logs.skipped > 0) {
    std::cerr << logs.skipped << " lines skipped that are no log lines\n";
  }
  return {};
}

base::Result<void>
run(Arguments& aArguments)
{
  if (aArguments["explain"].asBool()) {
    return explain(aArguments);
  }
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
