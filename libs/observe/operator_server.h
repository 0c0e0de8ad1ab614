/** @file The operator address of a process. */
#pragma once

#include "http/http.h"
#include "observe/metrics.h"

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace marigold::observe {

/**
 * Serves GET /metrics, GET /dump, GET /status and GET /ready, and the further
 * paths that the process adds.
 */
class OperatorServer
{
public:
  using Report = std::function<nlohmann::json()>;

  /**
   * @param aLoop loop that runs the server
   * @param aMetrics metrics to show
   */
  OperatorServer(http::Loop& aLoop, const Metrics& aMetrics);

  /** @param aAddress where to listen @return SettingsInvalid if taken */
  base::Result<void> listen(const http::Address& aAddress);

  /** @param aSection name in the dump @param aReport produces its content */
  void addDump(const std::string& aSection, Report aReport);

  /** @param aReport produces the content of /status */
  void onStatus(Report aReport) { mStatus = std::move(aReport); }

  /** @param aReady answers whether the process takes new work */
  void onReady(std::function<bool()> aReady) { mReady = std::move(aReady); }

  /**
   * @param aMethod method
   * @param aPath exact path
   * @param aHandler handles matching requests
   */
  void add(const std::string& aMethod,
           const std::string& aPath,
           http::Handler aHandler);

private:
  void handle(const http::Request& aRequest,
              const std::shared_ptr<http::Responder>& aResponder);

  const Metrics& mMetrics;
  http::Server mServer;
  std::map<std::string, Report> mDumps;
  Report mStatus;
  std::function<bool()> mReady;
  std::map<std::string, http::Handler> mHandlers;
};

/**
 * @param aStatus HTTP status
 * @param aContent content
 * @return an answer with a JSON body
 */
http::Response
jsonAnswer(int aStatus, const nlohmann::json& aContent);

} // namespace marigold::observe
