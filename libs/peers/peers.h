/**
 * @file
 * Public header of the peers library: what VMs tell each other several times a
 * second, its encoding, who passes it on, and the latest of each. A message
 * replaces the one before it, so that a lost one needs no repetition.
 */
#pragma once

#include "peers/messages.h"
#include "peers/place_news.h"
#include "peers/relay.h"
#include "peers/schedule.h"
#include "peers/summary.h"
#include "peers/table.h"
