/** @file Command line parsing and startup shared by all stand-ins. */
#pragma once

#include "http/http.h"

#include <docopt/docopt.h>
#include <functional>
#include <map>
#include <string>

namespace marigold::standin {

using Arguments = std::map<std::string, docopt::value>;

/** Runs a stand-in until its event loop stops. */
using Serve = std::function<base::Result<void>(http::Loop&, Arguments&)>;

/** Name, usage text and entry point of a stand-in. */
struct Program
{
  const char* name;  ///< shown by --version and in logs
  const char* usage; ///< docopt text
  Serve serve;
};

/**
 * Parses the command line, starts logging and runs the program.
 * @param aProgram program to run
 * @param aCount number of arguments
 * @param aValues arguments
 * @return exit code of the process
 */
int
runProgram(const Program& aProgram, int aCount, char** aValues);

/** @param aArguments command line @return address of --listen, or BadRequest */
base::Result<http::Address>
listenAddress(Arguments& aArguments);

/** @param aArguments command line @param aName flag @return its value */
int
intArgument(Arguments& aArguments, const std::string& aName);

/** @param aArguments command line @param aName flag in milliseconds
 * @return the duration */
base::Duration
millisecondsArgument(Arguments& aArguments, const std::string& aName);

/** @param aArguments command line @param aName flag
 * @return its value, empty if the flag was not given */
std::string
stringArgument(Arguments& aArguments, const std::string& aName);

/** Runs the event loop until SIGTERM. @param aLoop event loop */
void
runUntilTerminated(http::Loop& aLoop);

} // namespace marigold::standin
