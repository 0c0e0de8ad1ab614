/** @file Structured logging: one JSON object per line. */
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace marigold::observe {

/** Name and value of a field of a log line. */
using Field = std::pair<std::string_view, std::string>;

/** Destination of the log lines. */
enum class LogOutput : std::uint8_t
{
  StandardError,
  StandardOutput,
};

/**
 * Configures logging for the process. Must be called once, before the first
 * line is logged.
 * @param aProcess name of the process, part of every line
 * @param aLevel debug, info, warn or error
 * @param aOutput destination of the lines
 * @return false if the level is none of these
 */
bool
startLog(const std::string& aProcess,
         const std::string& aLevel,
         LogOutput aOutput = LogOutput::StandardError);

/** @param aMessage name of the event @param aFields its details */
void
logDebug(std::string_view aMessage, std::initializer_list<Field> aFields = {});

/** @param aMessage name of the event @param aFields its details */
void
logInfo(std::string_view aMessage, std::initializer_list<Field> aFields = {});

/** @param aMessage name of the event @param aFields its details */
void
logWarn(std::string_view aMessage, std::initializer_list<Field> aFields = {});

/** @param aMessage name of the event @param aFields its details */
void
logError(std::string_view aMessage, std::initializer_list<Field> aFields = {});

} // namespace marigold::observe
