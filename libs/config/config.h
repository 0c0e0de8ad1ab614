/**
 * @file
 * Public header of the config library: reads settings files from YAML
 * and validates them as a whole before anything is applied.
 */
#pragma once

#include "config/checked_node.h"
