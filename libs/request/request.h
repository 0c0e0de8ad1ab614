/**
 * @file
 * Public header of the request library: the decisions about one request while
 * it is served. Outcome and retries, the retry budget, the queue of a
 * model and the health of an upstream.
 */
#pragma once

#include "request/lifecycle.h"
#include "request/model_queue.h"
#include "request/retry_budget.h"
#include "request/upstream_health.h"
