/** @file For how long an idle connection may carry another request. */
#pragma once

#include "base/time.h"
#include "http/message.h"

#include <optional>

namespace marigold::http {

/** @param aHeaders headers of a response
 * @return idle timeout that its server announces in Keep-Alive, if any */
std::optional<base::Duration>
announcedIdleTimeout(const Headers& aHeaders);

/**
 * A server closes a connection some time after its last response, and a request
 * that crosses the close is lost.
 * @param aIdleTimeout of the server, if it is known
 * @param aSinceResponse time since the last bytes of the response arrived
 * @return time for which another request may be sent, nothing if it is too
 * short to keep the connection
 */
std::optional<base::Duration>
reuseTime(std::optional<base::Duration> aIdleTimeout,
          base::Duration aSinceResponse);

/** @param aDescriptor TCP socket @return time since the kernel received the
 * latest bytes on it, zero if that is unknown */
base::Duration
sinceLastInput(int aDescriptor);

} // namespace marigold::http
