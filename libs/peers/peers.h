/**
 * @file
 * Public header of the peers library: the state that VMs exchange several times
 * a second, its encoding, the relays that forward it, and the latest state of
 * each peer. Each message supersedes the previous one of the same sender, so
 * lost messages are not retransmitted.
 */
#pragma once

#include "peers/messages.h"
#include "peers/paced_queue.h"
#include "peers/peer_table.h"
#include "peers/placement_announcer.h"
#include "peers/relay.h"
#include "peers/report_schedule.h"
#include "peers/stream_origin.h"
#include "peers/summary_builder.h"
