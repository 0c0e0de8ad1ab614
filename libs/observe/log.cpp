#include "observe/log.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/mdc.h>
#include <vector>

namespace marigold::observe {
namespace {

log4cxx::LoggerPtr&
logger()
{
  static log4cxx::LoggerPtr instance = log4cxx::Logger::getLogger("marigold");
  return instance;
}

void
write(const log4cxx::LevelPtr& aLevel,
      std::string_view aMessage,
      std::initializer_list<Field> aFields)
{
  if (!logger()->isEnabledFor(aLevel)) {
    return;
  }
  for (const auto& [name, value] : aFields) {
    log4cxx::MDC::put(std::string(name), value);
  }
  logger()->forcedLog(aLevel, std::string(aMessage));
  for (const auto& [name, value] : aFields) {
    log4cxx::MDC::remove(std::string(name));
  }
}

} // namespace

bool
startLog(const std::string& aProcess,
         const std::string& aLevel,
         LogOutput aOutput)
{
  log4cxx::LevelPtr level;
  if (aLevel == "debug") {
    level = log4cxx::Level::getDebug();
  } else if (aLevel == "info") {
    level = log4cxx::Level::getInfo();
  } else if (aLevel == "warn") {
    level = log4cxx::Level::getWarn();
  } else if (aLevel == "error") {
    level = log4cxx::Level::getError();
  } else {
    return false;
  }
  const auto layout = std::make_shared<log4cxx::JSONLayout>();
  const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
    layout,
    aOutput == LogOutput::StandardOutput
      ? log4cxx::ConsoleAppender::getSystemOut()
      : log4cxx::ConsoleAppender::getSystemErr());
  logger() = log4cxx::Logger::getLogger(aProcess);
  logger()->setAdditivity(false);
  logger()->removeAllAppenders();
  logger()->addAppender(appender);
  logger()->setLevel(level);
  return true;
}

void
logDebug(std::string_view aMessage, std::initializer_list<Field> aFields)
{
  write(log4cxx::Level::getDebug(), aMessage, aFields);
}

void
logInfo(std::string_view aMessage, std::initializer_list<Field> aFields)
{
  write(log4cxx::Level::getInfo(), aMessage, aFields);
}

void
logWarn(std::string_view aMessage, std::initializer_list<Field> aFields)
{
  write(log4cxx::Level::getWarn(), aMessage, aFields);
}

void
logError(std::string_view aMessage, std::initializer_list<Field> aFields)
{
  write(log4cxx::Level::getError(), aMessage, aFields);
}

} // namespace marigold::observe
