/**
 * @file
 * Public header of the limits library: team limits across the fleet. Each VM
 * admits from its share of a team's rate and burst; shares move between VMs as
 * loans. Decisions only: no socket, clock or randomness.
 */
#pragma once

#include "limits/bucket.h"
#include "limits/demand.h"
#include "limits/holder.h"
#include "limits/messages.h"
#include "limits/policy.h"
#include "limits/share.h"
#include "limits/slot_keeper.h"
