/** @file Log lines of several VMs, read from files. */
#pragma once

#include "base/base.h"

#include <cstddef>
#include <istream>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marigold::ctl {

/** One line of a VM's log. */
struct LogLine
{
  base::Duration time{}; ///< since an origin that all lines of a file share
  std::string clock;     ///< the time as the file has it
  std::string vm;
  std::string level;
  std::string message;
  std::map<std::string, std::string> fields;

  /** @param aName field @return its value, or "" if the line lacks it */
  const std::string& field(const std::string& aName) const;
};

/** Lines of all VMs in order of time. */
struct Logs
{
  std::vector<LogLine> lines;
  std::size_t skipped = 0; ///< lines that are no log lines
};

/**
 * Parses a JSON line, or one with a time in seconds and a VM name before the
 * JSON. That time is preferred over the line's timestamp, because the clocks of
 * VMs differ.
 * @param aText line @return nothing if it is no log line
 */
std::optional<LogLine>
parseLogLine(const std::string& aText);

/** Appends the lines of a stream. @param aInput stream @param aLogs result */
void
readLogs(std::istream& aInput, Logs& aLogs);

/** @param aFiles log files
 * @return their lines in order of time, or FileUnreadable */
base::Result<Logs>
readLogFiles(const std::vector<std::string>& aFiles);

} // namespace marigold::ctl
