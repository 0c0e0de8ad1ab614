/**
 * @file
 * Public header of the request library: decisions about requests that wait. The
 * queue of a model and the health of an upstream.
 */
#pragma once

#include "request/model_queue.h"
#include "request/upstream_health.h"
