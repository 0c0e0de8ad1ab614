#include "standins/common/program.h"

#include "observe/observe.h"

#include <csignal>

namespace marigold::standin {

int
runProgram(const Program& aProgram, int aCount, char** aValues)
{
  const std::string version =
    std::string(aProgram.name) + " " + MARIGOLD_VERSION;
  Arguments arguments = docopt::docopt(
    aProgram.usage, { aValues + 1, aValues + aCount }, true, version);
  observe::startLog(aProgram.name, "info");
  http::Loop loop;
  return observe::runMain([&]() -> base::Result<int> {
    BOOST_LEAF_CHECK(aProgram.serve(loop, arguments));
    return 0;
  });
}

base::Result<http::Address>
listenAddress(Arguments& aArguments)
{
  return http::parseAddress(aArguments["--listen"].asString());
}

int
intArgument(Arguments& aArguments, const std::string& aName)
{
  return static_cast<int>(aArguments[aName].asLong());
}

base::Duration
millisecondsArgument(Arguments& aArguments, const std::string& aName)
{
  return std::chrono::milliseconds(aArguments[aName].asLong());
}

std::string
stringArgument(Arguments& aArguments, const std::string& aName)
{
  const docopt::value& value = aArguments[aName];
  return value ? value.asString() : "";
}

void
runUntilTerminated(http::Loop& aLoop)
{
  const http::EventHandle term = aLoop.onSignal(SIGTERM, [&] { aLoop.stop(); });
  aLoop.run();
}

} // namespace marigold::standin
