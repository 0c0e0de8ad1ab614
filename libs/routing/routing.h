/**
 * @file
 * Public header of the routing library: the choice of an upstream for a
 * request, by one of several strategies behind one interface.
 */
#pragma once

#include "routing/prefix_index.h"
#include "routing/strategy.h"
