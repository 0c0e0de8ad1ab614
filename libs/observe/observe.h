/**
 * @file
 * Public header of the observe library: structured logs, metrics and the HTTP
 * server for operators.
 */
#pragma once

#include "observe/line_budget.h"
#include "observe/log.h"
#include "observe/metrics.h"
#include "observe/operator_server.h"
#include "observe/program.h"
