/** @file What the main programs of all stand-ins share. */
#pragma once

#include "http/http.h"

#include <docopt/docopt.h>
#include <functional>
#include <map>
#include <string>

namespace marigold::standin {

using Arguments = std::map<std::string, docopt::value>;

/** Runs a stand-in until it stops its loop. */
using Serve = std::function<base::Result<void>(http::Loop&, Arguments&)>;

/** What a stand-in's main program consists of. */
struct Program
{
  const char* name;  ///< shown by --version and in logs
  const char* usage; ///< docopt text
  Serve serve;
};

/**
 * Parses the command line, starts the log and serves.
 * @param aProgram what to run
 * @param aCount number of arguments
 * @param aValues arguments
 * @return exit code of the process
 */
int
runProgram(const Program& aProgram, int aCount, char** aValues);

/** @param aArguments command line @return address of --listen, or BadRequest */
base::Result<http::Address>
listenAddress(Arguments& aArguments);

/** @param aArguments command line @param aName flag @return its number */
int
numberOf(Arguments& aArguments, const std::string& aName);

/** @param aArguments command line @param aName flag in milliseconds
 * @return the duration */
base::Duration
millisecondsOf(Arguments& aArguments, const std::string& aName);

/** @param aArguments command line @param aName flag
 * @return its text, empty if it was not given */
std::string
textOf(Arguments& aArguments, const std::string& aName);

/** Runs the loop until SIGTERM. @param aLoop loop of the process */
void
runUntilTerminated(http::Loop& aLoop);

} // namespace marigold::standin
