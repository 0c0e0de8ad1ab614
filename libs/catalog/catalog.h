/**
 * @file
 * Public header of the catalog library: the operator's configuration as the
 * request path uses it (routes, services, models, teams), and the records in
 * which upstreams publish their state.
 */
#pragma once

#include "catalog/model_name.h"
#include "catalog/request_metadata.h"
#include "catalog/route_table.h"
#include "catalog/team_keys.h"
#include "catalog/types.h"
#include "catalog/upstream.h"
