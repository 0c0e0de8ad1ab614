/** @file Reports of engines and orders to them. */
#pragma once

#include "http/http.h"
#include "placement/placement.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace marigold::placer {

/** Speaks docs/protocols.md, section model engine. */
class EngineLink
{
public:
  using OnReport =
    std::function<void(const base::UpstreamName&, const placement::Report&)>;

  /** @param aLoop loop @param aOnReport gets each report that can be read */
  EngineLink(http::Loop& aLoop, OnReport aOnReport);

  /** @param aAddresses engines of the data centre */
  void setEngines(std::map<base::UpstreamName, http::Address> aAddresses)
  {
    mAddresses = std::move(aAddresses);
  }

  /** Asks each engine for its report unless an answer is still awaited. */
  void poll();

  /** @param aOrder order to send once; its outcome shows in reports only */
  void send(const placement::Order& aOrder);

private:
  http::Client mClient;
  OnReport mOnReport;
  std::map<base::UpstreamName, http::Address> mAddresses;
  std::map<base::UpstreamName, std::unique_ptr<http::Call>> mPolls;
  std::list<std::unique_ptr<http::Call>> mOrders;
};

/**
 * @param aText an engine's report
 * @return the report, or DocumentInvalid
 */
base::Result<placement::Report>
decodeReport(const std::string& aText);

/** @param aOrder order @return the body for POST /v1/orders */
std::string
encodeOrder(const placement::Order& aOrder);

} // namespace marigold::placer
