/** @file HTTP server for operators: metrics, readiness, status, state dump. */
#pragma once

#include "http/http.h"
#include "observe/metrics.h"

#include <functional>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace marigold::observe {

/**
 * HTTP server on the operator address of a process. It serves GET /metrics, GET
 * /dump, GET /status, GET /ready and the handlers that the process adds.
 */
class OperatorServer
{
public:
  /** Produces the JSON of an answer when it is requested. */
  using Report = std::function<nlohmann::json()>;

  /**
   * @param aLoop event loop that runs the server
   * @param aMetrics metrics to serve
   */
  OperatorServer(http::Loop& aLoop, const Metrics& aMetrics);

  /** @param aAddress address to listen on
   * @return SettingsInvalid if it is in use */
  base::Result<void> listen(const http::Address& aAddress);

  /** Adds a section to /dump.
   * @param aSection its key @param aReport produces its content */
  void addDumpSection(const std::string& aSection, Report aReport);

  /** @param aReport produces the answer to GET /status */
  void setStatusReport(Report aReport) { mStatus = std::move(aReport); }

  /** Sets the check of GET /ready, which answers 200 or 503.
   * @param aReady returns true if the process accepts new requests */
  void setReadinessCheck(std::function<bool()> aReady)
  {
    mReady = std::move(aReady);
  }

  /**
   * Adds a handler, which takes precedence over the built-in paths.
   * @param aMethod HTTP method
   * @param aPath exact path
   * @param aHandler handles the requests with both
   */
  void addHandler(const std::string& aMethod,
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
 * @param aContent content of the body; invalid UTF-8 is replaced
 * @return an answer with a JSON body
 */
http::Response
jsonAnswer(int aStatus, const nlohmann::json& aContent);

} // namespace marigold::observe
