/** @file How long a view of the store may go without being confirmed. */
#pragma once

#include "base/base.h"

#include <cstddef>

namespace marigold::platform {

/**
 * @param aCallTimeout timeout of calls to the same server
 * @return time after which an answer is overdue, so that the call is sent again
 * on a new connection. Less than the timeout, because a connection may be
 * silent while the server responds on others; more than a slow server takes.
 */
base::Duration
overdueAfter(base::Duration aCallTimeout);

/**
 * A connection can go silent without an error, just before a change. The change
 * is then found by the call that follows the wait.
 * @param aLimit time within which a change must be in force
 * @param aCallTimeout timeout of calls to the same server
 * @return longest wait of a watch for changes, such that the answer is overdue
 * after two thirds of the limit; the rest is for the new call and the way of
 * the change to other VMs
 */
base::Duration
maxWatchWait(base::Duration aLimit, base::Duration aCallTimeout);

/**
 * The same for data whose changes the readers tell each other. If they ask at
 * random moments, the first of them finds a change soon although each of them
 * waits longer, which saves calls.
 * @param aLimit time within which a change must be in force
 * @param aCallTimeout timeout of calls to the same server
 * @param aReaders number of VMs that watch the same data
 * @return longest wait of a watch for changes
 */
base::Duration
sharedWatchWait(base::Duration aLimit,
                base::Duration aCallTimeout,
                std::size_t aReaders);

} // namespace marigold::platform
