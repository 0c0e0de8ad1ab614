#include "wire/transport.h"

#include <event2/bufferevent.h>

// Apart from transport.cpp, because the explorer (tests/explore) defines the
// rest of Transport anew but has the same callbacks.
namespace marigold::wire {

void
Transport::onRead(bufferevent* /*aEvent*/, void* aSelf)
{
  const auto callback = static_cast<Transport*>(aSelf)->mEvents.readable;
  if (callback) {
    callback();
  }
}

void
Transport::onWrite(bufferevent* /*aEvent*/, void* aSelf)
{
  const auto callback = static_cast<Transport*>(aSelf)->mEvents.drained;
  if (callback) {
    callback();
  }
}

void
Transport::onEvent(bufferevent* aEvent, short aFlags, void* aSelf)
{
  auto* self = static_cast<Transport*>(aSelf);
  if ((aFlags & BEV_EVENT_CONNECTED) != 0) {
    const auto callback = self->mEvents.connected;
    if (callback) {
      callback();
    }
    return;
  }
  const TransportEnd end = endOf(aEvent, aFlags);
  const auto callback = self->mEvents.ended;
  if (callback) {
    callback(end);
  }
}

} // namespace marigold::wire
