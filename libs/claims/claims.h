/**
 * @file
 * Public header of the claims library: at most one execution of a
 * non-idempotent request. Decisions only; docs/decisions/0004-at-most-once.md
 * has the safety argument.
 */
#pragma once

#include "claims/coordinator.h"
#include "claims/group.h"
#include "claims/types.h"
#include "claims/voter.h"
