/** @file Structured logs: one JSON object a line. */
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace marigold::observe {

using Field = std::pair<std::string_view, std::string>;

/** Where the lines of a process go. */
enum class LogOutput : std::uint8_t
{
  StandardError,
  StandardOutput,
};

/**
 * Sets up the log of the process. Call it once, before the first line.
 * @param aProcess name that every line carries
 * @param aLevel debug, info, warn or error
 * @param aOutput where the lines go
 * @return false if the level is not one of these
 */
bool
startLog(const std::string& aProcess,
         const std::string& aLevel,
         LogOutput aOutput = LogOutput::StandardError);

/** @param aMessage what happened @param aFields its details */
void
logDebug(std::string_view aMessage, std::initializer_list<Field> aFields = {});

/** @param aMessage what happened @param aFields its details */
void
logInfo(std::string_view aMessage, std::initializer_list<Field> aFields = {});

/** @param aMessage what happened @param aFields its details */
void
logWarn(std::string_view aMessage, std::initializer_list<Field> aFields = {});

/** @param aMessage what happened @param aFields its details */
void
logError(std::string_view aMessage, std::initializer_list<Field> aFields = {});

} // namespace marigold::observe
