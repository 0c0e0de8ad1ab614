/**
 * @file
 * Public header of the observe library: JSON-line logs, metrics and the
 * operator address with metrics, status and state dump.
 */
#pragma once

#include "observe/log.h"
#include "observe/metrics.h"
#include "observe/operator_server.h"
#include "observe/program.h"
