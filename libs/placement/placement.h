/**
 * @file
 * Public header of the placement library: which models and adapters are loaded
 * on which engine of a data centre, without ever exceeding an engine's memory.
 */
#pragma once

#include "placement/account.h"
#include "placement/ledger.h"
#include "placement/owner.h"
#include "placement/scheduler.h"
#include "placement/strategy.h"
#include "placement/types.h"
