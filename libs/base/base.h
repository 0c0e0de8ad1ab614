/**
 * @file
 * Public header of the base library: identifiers, addresses, time, result
 * codes, errors, seeded random numbers, hashing and the memory budget. Every
 * other library builds on it.
 */
#pragma once

#include "base/address.h"
#include "base/code.h"
#include "base/error.h"
#include "base/hash.h"
#include "base/ids.h"
#include "base/memory_budget.h"
#include "base/number.h"
#include "base/random.h"
#include "base/time.h"
