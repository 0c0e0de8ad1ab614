#include "http/loop.h"

#include "http/held_signals.h"

#include <csignal>
#include <event2/event.h>
#include <poll.h>
#include <stdexcept>

namespace marigold::http {
namespace {

using namespace std::chrono_literals;

/** Time until a descriptor with unread bytes is checked again. */
constexpr base::Duration kClosedCheckInterval = 100ms;

bool
isPeerClosed(int aDescriptor)
{
  pollfd state{ aDescriptor, POLLRDHUP, 0 };
  return poll(&state, 1, 0) > 0;
}

timeval
toTimeval(base::Duration aDuration)
{
  const auto micros =
    std::chrono::duration_cast<std::chrono::microseconds>(aDuration).count();
  constexpr std::int64_t kMicrosPerSecond = 1'000'000;
  return { static_cast<time_t>(micros / kMicrosPerSecond),
           static_cast<suseconds_t>(micros % kMicrosPerSecond) };
}

void
runCallback(evutil_socket_t /*aDescriptor*/, short /*aEvents*/, void* aState)
{
  // Runs a copy, because the callback may destroy its own handle.
  const auto callback = static_cast<EventHandle::State*>(aState)->callback;
  callback();
}

std::unique_ptr<EventHandle::State>
makeState(event_base* aBase,
          int aDescriptor,
          short aEvents,
          std::function<void()> aCallback)
{
  auto state = std::make_unique<EventHandle::State>();
  state->callback = std::move(aCallback);
  state->handle.reset(
    event_new(aBase, aDescriptor, aEvents, &runCallback, state.get()));
  return state;
}

} // namespace

void
EventDeleter::operator()(event* aEvent) const
{
  event_free(aEvent);
}

Loop::Loop()
  : mBase(event_base_new())
{
  if (mBase == nullptr) {
    throw std::runtime_error("cannot create the event loop");
  }
  // A write to a connection closed by its peer must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
}

Loop::~Loop()
{
  event_base_free(mBase);
}

void
Loop::run()
{
  event_base_loop(mBase, EVLOOP_NO_EXIT_ON_EMPTY);
}

void
Loop::stop()
{
  event_base_loopexit(mBase, nullptr);
}

EventHandle
Loop::after(base::Duration aDelay, std::function<void()> aCallback)
{
  auto state = makeState(mBase, -1, 0, std::move(aCallback));
  const timeval delay = toTimeval(aDelay);
  event_add(state->handle.get(), &delay);
  return EventHandle(std::move(state));
}

EventHandle
Loop::every(base::Duration aPeriod, std::function<void()> aCallback)
{
  auto state = makeState(mBase, -1, EV_PERSIST, std::move(aCallback));
  const timeval period = toTimeval(aPeriod);
  event_add(state->handle.get(), &period);
  return EventHandle(std::move(state));
}

EventHandle
Loop::onSignal(int aSignal, std::function<void()> aCallback)
{
  auto state =
    makeState(mBase, aSignal, EV_SIGNAL | EV_PERSIST, std::move(aCallback));
  event_add(state->handle.get(), nullptr);
  releaseSignal(aSignal);
  return EventHandle(std::move(state));
}

EventHandle
Loop::onReadable(int aDescriptor, std::function<void()> aCallback)
{
  auto state =
    makeState(mBase, aDescriptor, EV_READ | EV_PERSIST, std::move(aCallback));
  event_add(state->handle.get(), nullptr);
  return EventHandle(std::move(state));
}

EventHandle
Loop::onPeerClosed(int aDescriptor, std::function<void()> aCallback)
{
  // libevent reports a reset as EV_READ and not as EV_CLOSED.
  auto state = makeState(mBase, aDescriptor, EV_CLOSED | EV_READ, {});
  EventHandle::State* raw = state.get();
  raw->callback = [this, raw, aDescriptor, callback = std::move(aCallback)] {
    if (isPeerClosed(aDescriptor)) {
      callback();
      return;
    }
    raw->retry = std::move(after(kClosedCheckInterval, [raw] {
                             event_add(raw->handle.get(), nullptr);
                           }).mState);
  };
  event_add(raw->handle.get(), nullptr);
  return EventHandle(std::move(state));
}

void
Loop::post(std::function<void()> aCallback)
{
  auto* held = new std::function<void()>(std::move(aCallback));
  const timeval now{ 0, 0 };
  event_base_once(
    mBase,
    -1,
    EV_TIMEOUT,
    [](evutil_socket_t, short, void* aHeld) {
      const std::unique_ptr<std::function<void()>> callback(
        static_cast<std::function<void()>*>(aHeld));
      (*callback)();
    },
    held,
    &now);
}

} // namespace marigold::http
