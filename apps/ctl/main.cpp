/** @file Entry point of marigoldctl, the operators' command line tool. */
#include "apps/ctl/explain.h"
#include "apps/ctl/gateways.h"
#include "base/number.h"
#include "observe/observe.h"

#include <docopt/docopt.h>
#include <iostream>

using namespace marigold;

namespace {

constexpr const char* kUsage =
  R"(Shows the state of gateways and explains requests from their logs.

Usage:
  marigoldctl status (--store ADDRESS | OPERATOR...)
  marigoldctl dump --store ADDRESS VM
  marigoldctl dump OPERATOR
  marigoldctl explain REQUEST LOG...
  marigoldctl explain [--slowest N] [--refused] [--team T] LOG...
  marigoldctl (-h | --help)
  marigoldctl --version

Options:
  --store ADDRESS  Ask the VMs that are registered in the platform's store.
                   While it is away, name operator addresses.
  --slowest N      List the N requests that took longest.
  --refused        List the requests that were refused or failed.
  --team T         List the requests of a team.
  -h --help        Show this text.
  --version        Show the version.
)";

using Arguments = std::map<std::string, docopt::value>;

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
  ctl::Gateways gateways;
  const docopt::value& store = aArguments["--store"];
  if (aArguments["status"].asBool()) {
    BOOST_LEAF_AUTO(vms,
                    store
                      ? gateways.registered(store.asString())
                      : ctl::parseVms(aArguments["OPERATOR"].asStringList()));
    return gateways.showStatus(vms, std::cout);
  }
  if (store) {
    BOOST_LEAF_AUTO(vms, gateways.registered(store.asString()));
    BOOST_LEAF_AUTO(vm, ctl::findVm(vms, aArguments["VM"].asString()));
    return gateways.showDump(vm, std::cout);
  }
  BOOST_LEAF_AUTO(vms, ctl::parseVms(aArguments["OPERATOR"].asStringList()));
  return gateways.showDump(vms.front(), std::cout);
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
