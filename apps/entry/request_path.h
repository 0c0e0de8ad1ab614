/** @file What all exchanges of this VM share on the way to upstreams. */
#pragma once

#include "apps/entry/waiting_room.h"
#include "observe/observe.h"
#include "request/request.h"

namespace marigold::entry {

/** Queues and latency metrics of this VM. */
struct RequestPath
{
  RequestPath(http::Loop& aLoop,
              UpstreamTable& aUpstreams,
              UpstreamChoice& aChoice,
              observe::Metrics& aMetrics)
    : waiting(aLoop, aUpstreams, aChoice)
    , firstEvent(aMetrics.durationHistogram(
        "marigold_first_event_seconds",
        "Time from the request to the first event of its stream."))
    , betweenEvents(
        aMetrics.durationHistogram("marigold_between_events_seconds",
                                   "Time between two events of a stream."))
    , crossed(aMetrics.counter("marigold_answers_crossed_total",
                               "Answers that belonged to another request."))
    , cancels(aMetrics.counter("marigold_cancels_total",
                               "Requests cancelled at an upstream."))
  {
  }

  WaitingRoom waiting;
  prometheus::Histogram& firstEvent;
  prometheus::Histogram& betweenEvents;
  prometheus::Counter& crossed;
  prometheus::Counter& cancels;
};

} // namespace marigold::entry
