/** @file The model engine stand-in's HTTP side. */
#pragma once

#include "http/http.h"

#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace marigold::standin {

/** What an engine stand-in is started with. */
struct EngineOptions
{
  std::string name;
  int memoryMb = 0;
  bool honoursFencing = true;
  base::Duration tokenPeriod = std::chrono::milliseconds(5);
  std::map<std::string, std::string> resident; ///< model to version
};

/** Serves docs/protocols.md, section model engine. */
class EngineService
{
public:
  EngineService(http::Loop& aLoop, EngineOptions aOptions);

  /** @param aAddress where to listen @return SettingsInvalid if taken */
  base::Result<void> listen(const http::Address& aAddress);

private:
  using Out = std::shared_ptr<http::Responder>;

  /** A request that produces tokens. */
  struct Running
  {
    std::string id;
    std::string model;
    bool stream = false;
    int produced = 0;
    int wanted = 0;
    std::string text;
    Out out;
    http::Watch timer;
  };
  using Place = std::list<Running>::iterator;

  void handle(const http::Request& aRequest, const Out& aOut);
  void startChat(const http::Request& aRequest, const Out& aOut);
  void produceToken(Place aPlace);
  void finish(Place aPlace);
  nlohmann::json report();

  http::Loop& mLoop;
  EngineOptions mOptions;
  http::Server mServer;
  std::list<Running> mRunning;
  std::uint64_t mReports = 0;
  std::uint64_t mIncarnation;
  nlohmann::json mRan = nlohmann::json::array();
};

} // namespace marigold::standin
