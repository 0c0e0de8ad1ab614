/**
 * @file
 * Public header of the dispatch library. It chooses the upstream for a request,
 * estimates its latency and limits retries. It uses neither sockets nor clocks.
 */
#pragma once

#include "dispatch/brittle_guard.h"
#include "dispatch/carrier_choice.h"
#include "dispatch/choice.h"
#include "dispatch/crash_record.h"
#include "dispatch/crash_tracker.h"
#include "dispatch/crash_verdict.h"
#include "dispatch/latency_estimator.h"
#include "dispatch/outlier_detector.h"
#include "dispatch/path_monitor.h"
#include "dispatch/prefix_index.h"
#include "dispatch/request_traits.h"
#include "dispatch/retry_budget.h"
#include "dispatch/served_answers.h"
#include "dispatch/software_history.h"
#include "dispatch/start_gate.h"
#include "dispatch/stream_origins.h"
#include "dispatch/upstream_errors.h"
#include "dispatch/upstream_notices.h"
