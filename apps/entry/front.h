/** @file The address for callers. */
#pragma once

#include "apps/entry/exchange.h"
#include "apps/entry/settings.h"

#include <list>

namespace marigold::entry {

/** Accepts requests of callers and serves each by an exchange. */
class Front
{
public:
  /**
   * @param aContext what exchanges work with
   * @param aSettings settings of the process
   * @param aIncarnation run of the process, part of request ids
   * @param aContactAge tells the age of this VM's view of the withdrawals
   */
  Front(ExchangeContext& aContext,
        const Settings& aSettings,
        base::Incarnation aIncarnation,
        std::function<base::Duration()> aContactAge);

  /** @return SettingsInvalid if the address is taken */
  base::Result<void> start();

  /** @return false while the process lacks its configuration */
  bool ready() const;

  /** @return exchanges in progress */
  std::size_t openExchanges() const { return mExchanges.size(); }

private:
  void handle(const http::Request& aRequest,
              const std::shared_ptr<http::Responder>& aOut);
  void listModels(const std::shared_ptr<http::Responder>& aOut) const;
  void checkKeys();
  bool isStale(const CallerRequest& aCaller) const;

  ExchangeContext& mContext;
  const Settings& mSettings;
  std::function<base::Duration()> mContactAge;
  base::Incarnation mIncarnation;
  http::Server mServer;
  std::list<Exchange> mExchanges;
  std::uint64_t mRequests = 0;
};

} // namespace marigold::entry
