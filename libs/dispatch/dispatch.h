/**
 * @file
 * Public header of the dispatch library: which upstream gets a request, whether
 * it can still be answered in time, and whether it may be sent once more. No
 * sockets, no clocks.
 */
#pragma once

#include "dispatch/choice.h"
#include "dispatch/crash_record.h"
#include "dispatch/health.h"
#include "dispatch/prefix_memory.h"
#include "dispatch/retry_budget.h"
#include "dispatch/work_model.h"
