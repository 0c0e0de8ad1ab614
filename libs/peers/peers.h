/**
 * @file
 * Public header of the peers library: what VMs tell each other several times a
 * second, its encoding, who passes it on, and the latest of each. A message
 * replaces the one before it, so that a lost one needs no repetition.
 */
#pragma once

#include "peers/messages.h"
#include "peers/peer_table.h"
#include "peers/placement_announcer.h"
#include "peers/relay.h"
#include "peers/report_schedule.h"
#include "peers/summary_builder.h"
