/**
 * @file
 * Public header of the catalog library: the configuration of the operator as
 * the request path needs it (routes, services, models, teams), and the records
 * that upstreams keep about themselves.
 */
#pragma once

#include "catalog/model_name.h"
#include "catalog/request_metadata.h"
#include "catalog/route_table.h"
#include "catalog/team_keys.h"
#include "catalog/types.h"
#include "catalog/upstream.h"
