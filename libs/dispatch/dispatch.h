/**
 * @file
 * Public header of the dispatch library: which upstream gets a request, whether
 * it can still be answered in time, and whether it may be sent once more. No
 * sockets, no clocks.
 */
#pragma once

#include "dispatch/choice.h"
#include "dispatch/crash_tracker.h"
#include "dispatch/latency_estimator.h"
#include "dispatch/outlier_detector.h"
#include "dispatch/prefix_index.h"
#include "dispatch/retry_budget.h"
