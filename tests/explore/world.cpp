#include "world.h"

#include <algorithm>
#include <event2/bufferevent.h>
#include <event2/listener.h>

using marigold::base::Duration;
using marigold::base::TimePoint;
using marigold::explore::Connection;
using marigold::explore::World;

/** A timer. */
struct event
{
  marigold::http::EventHandle::State* state = nullptr;
  TimePoint due{};
  Duration period{};
  std::uint64_t number = 0;
};

struct event_base
{};

/** The buffers of a connection, with its deferred callbacks. */
struct bufferevent
{
  Connection* connection = nullptr;
  marigold::wire::Transport* owner = nullptr; ///< until it is freed
  void (*onRead)(bufferevent*, void*) = nullptr;
  void (*onWrite)(bufferevent*, void*) = nullptr;
  void (*onEvent)(bufferevent*, short, void*) = nullptr;
  std::string input;
  std::string output;
  bool reading = true;
  bool connectedPending = false;
  bool readPending = false;
  bool drainedPending = false;
  short endPending = 0;
  bool deferred = false; ///< its callbacks are queued
  bool refused = false;
};

struct evconnlistener
{
  evconnlistener_cb accept = nullptr;
  void* argument = nullptr;
};

evconnlistener*
evconnlistener_new_bind(event_base* /*aBase*/,
                        evconnlistener_cb aAccept,
                        void* aArgument,
                        unsigned /*aFlags*/,
                        int /*aBacklog*/,
                        const sockaddr* /*aAddress*/,
                        int /*aLength*/)
{
  auto* listener = new evconnlistener{ aAccept, aArgument };
  World::current().listen(listener);
  return listener;
}

/** Connections are accepted at once, so none waits. */
int
evconnlistener_get_fd(evconnlistener* /*aListener*/)
{
  return -1;
}

void
evconnlistener_free(evconnlistener* aListener)
{
  World::current().listen(nullptr);
  delete aListener;
}

namespace marigold::base {

TimePoint
monotonicNow()
{
  return World::current().now();
}

} // namespace marigold::base

namespace marigold::explore {
namespace {

/** The user timeout that transport.cpp sets at first. */
constexpr Duration kUserTimeout = std::chrono::milliseconds(2500);

} // namespace
} // namespace marigold::explore

namespace marigold::http {

void
EventDeleter::operator()(event* aEvent) const
{
  World::current().removeTimer(aEvent);
  delete aEvent;
}

Loop::Loop()
  : mBase(new event_base)
{
}

Loop::~Loop()
{
  delete mBase;
}

void
Loop::run()
{
}

void
Loop::stop()
{
  World::current().exitProcess();
}

namespace {

std::unique_ptr<EventHandle::State>
makeTimer(Duration aDelay, Duration aPeriod, std::function<void()> aCallback)
{
  auto state = std::make_unique<EventHandle::State>();
  state->callback = std::move(aCallback);
  state->handle.reset(new event{ state.get(), {}, aPeriod, 0 });
  World::current().addTimer(state->handle.get(), aDelay);
  return state;
}

/** @return an event that never happens here */
EventHandle
makeSilent(std::function<void()> aCallback)
{
  auto state = std::make_unique<EventHandle::State>();
  state->callback = std::move(aCallback);
  return EventHandle(std::move(state));
}

} // namespace

EventHandle
Loop::after(Duration aDelay, std::function<void()> aCallback)
{
  return EventHandle(makeTimer(aDelay, {}, std::move(aCallback)));
}

EventHandle
Loop::every(Duration aPeriod, std::function<void()> aCallback)
{
  return EventHandle(makeTimer(aPeriod, aPeriod, std::move(aCallback)));
}

EventHandle
Loop::onSignal(int /*aSignal*/, std::function<void()> aCallback)
{
  return makeSilent(std::move(aCallback));
}

EventHandle
Loop::onReadable(int /*aDescriptor*/, std::function<void()> aCallback)
{
  return makeSilent(std::move(aCallback));
}

EventHandle
Loop::onPeerClosed(int /*aDescriptor*/, std::function<void()> aCallback)
{
  return makeSilent(std::move(aCallback));
}

void
Loop::post(std::function<void()> aCallback)
{
  World::current().post(std::move(aCallback));
}

} // namespace marigold::http

namespace marigold::wire {

void
BuffereventDeleter::operator()(bufferevent* aEvent) const
{
  World& world = World::current();
  aEvent->owner = nullptr;
  if (!aEvent->connection->closed) {
    world.close(*aEvent->connection);
  }
  aEvent->connection->buffered = nullptr;
  world.mRetired.emplace_back(aEvent);
}

Transport::Transport(http::Loop& /*aLoop*/, int aDescriptor)
{
  mNative.reset(new bufferevent);
  mNative->connection =
    World::current().connections()[static_cast<std::size_t>(aDescriptor)].get();
  mNative->connection->buffered = mNative.get();
  configure();
}

Transport::Transport(http::Loop& /*aLoop*/, const base::Address& aPeer)
{
  mNative.reset(new bufferevent);
  Connection& connection = World::current().addConnection(false, mNative.get());
  connection.peer = aPeer;
  mNative->connection = &connection;
  configure();
}

Transport::~Transport() = default;

void
Transport::configure()
{
  mNative->connection->userTimeout = explore::kUserTimeout;
  mNative->owner = this;
  mNative->onRead = &Transport::onRead;
  mNative->onWrite = &Transport::onWrite;
  mNative->onEvent = &Transport::onEvent;
}

void
Transport::allowPauses(base::Duration aLimit)
{
  mNative->connection->userTimeout = std::max(explore::kUserTimeout, aLimit);
}

void
Transport::write(std::string_view aBytes)
{
  mNative->connection->written += aBytes.size();
  mNative->output.append(aBytes);
}

void
Transport::writeNow(std::string_view aBytes)
{
  if (mNative->output.empty()) {
    aBytes.remove_prefix(World::current().send(*mNative->connection, aBytes));
  }
  write(aBytes);
}

std::string_view
Transport::input()
{
  return mNative->input;
}

void
Transport::consume(std::size_t aSize)
{
  mConsumed += aSize;
  mNative->input.erase(0, aSize);
}

std::size_t
Transport::pendingOutput() const
{
  return mNative->output.size();
}

std::size_t
Transport::unacknowledgedOutput() const
{
  return mNative->output.size() + mNative->connection->inFlight.size();
}

std::size_t
Transport::pendingInput() const
{
  return mNative->input.size();
}

base::Duration
Transport::sinceInput() const
{
  return World::current().now() - mNative->connection->arrivedAt;
}

bool
Transport::hasInput() const
{
  return waitingInput() > 0;
}

std::size_t
Transport::waitingInput() const
{
  return mNative->input.size() + mNative->connection->unread.size();
}

void
Transport::pauseReading(bool aPaused)
{
  mNative->reading = !aPaused;
}

void
Transport::shutdownOutput()
{
  mNative->connection->finSent = true;
  mNative->connection->finAt = World::current().now();
}

bool
Transport::peerClosed() const
{
  return mNative->connection->peerFin || mNative->connection->peerReset;
}

bool
Transport::hasInputOrEnd() const
{
  return hasInput() || peerClosed();
}

bool
Transport::socketHasEvents(short /*aEvents*/) const
{
  return false;
}

void
Transport::resetOnClose(bool aReset)
{
  mNative->connection->wantsReset = aReset;
}

void
Transport::close()
{
  World::current().close(*mNative->connection);
}

TransportEnd
Transport::endOf(const bufferevent* aEvent, short aFlags)
{
  if ((aFlags & BEV_EVENT_EOF) != 0) {
    return TransportEnd::Orderly;
  }
  if (aEvent->refused) {
    return TransportEnd::Refused;
  }
  return aEvent->connection->resetSent ? TransportEnd::TimedOut
                                       : TransportEnd::Reset;
}

} // namespace marigold::wire

namespace marigold::explore {
namespace {

World* instance = nullptr;

/** Bytes that the kernel takes for a peer that does not read: less than any
 * answer. */
constexpr std::size_t kSendBuffer = 100;
/** After this time without a request an upstream may close a connection. */
constexpr Duration kUpstreamIdleTimeout = std::chrono::seconds(4);
/** Bytes that a pass of the loop reads from a socket. */
constexpr std::size_t kMaxRead = 256UL * 1024;

} // namespace

bool
World::EarlierTimer::operator()(const event* aLeft, const event* aRight) const
{
  return std::pair(aLeft->due, aLeft->number) <
         std::pair(aRight->due, aRight->number);
}

World::World()
{
  instance = this;
}

World::~World()
{
  mActive.clear();
  instance = nullptr;
}

void
Connection::arrive(std::string_view aBytes)
{
  unread += aBytes;
  arrivedAt = World::current().now();
}

World&
World::current()
{
  return *instance;
}

void
World::advance(base::Duration aTime)
{
  mNow += aTime;
  for (const auto& connection : mConnections) {
    const bool waits = connection->peerPaused && !connection->inFlight.empty();
    connection->pausedWithBytes =
      waits ? connection->pausedWithBytes + aTime : base::Duration::zero();
    if (waits && connection->pausedWithBytes > connection->userTimeout) {
      connection->peerReset = true;
      connection->resetSent = true;
      connection->inFlight.clear();
    }
  }
}

Connection&
World::addConnection(bool aAccepted, bufferevent* aBuffered)
{
  auto connection = std::make_unique<Connection>();
  connection->id = mConnections.size();
  connection->accepted = aAccepted;
  connection->connected = aAccepted;
  connection->buffered = aBuffered;
  mConnections.push_back(std::move(connection));
  return *mConnections.back();
}

std::optional<std::size_t>
World::connectCaller()
{
  if (mListener == nullptr || mExited) {
    return std::nullopt;
  }
  const std::size_t id = addConnection(true, nullptr).id;
  mListener->accept(
    mListener, static_cast<int>(id), nullptr, 0, mListener->argument);
  return id;
}

void
World::close(Connection& aConnection)
{
  // A close with unread input resets the connection.
  if (aConnection.wantsReset || !aConnection.unread.empty()) {
    aConnection.resetSent = true;
    aConnection.inFlight.clear();
  }
  aConnection.closed = true;
  aConnection.finAt = aConnection.finSent ? aConnection.finAt : mNow;
  aConnection.finSent = true;
}

void
World::exitProcess()
{
  mExited = true;
  for (const auto& connection : mConnections) {
    if (!connection->closed) {
      close(*connection);
      connection->closedByExit = true;
    }
  }
}

std::size_t
World::send(Connection& aConnection, std::string_view aBytes)
{
  const bool ended = aConnection.peerReset || aConnection.peerFin;
  const bool kept = !aConnection.accepted && aConnection.read > 0;
  aConnection.writtenAfterEnd = aConnection.writtenAfterEnd || (ended && kept);
  const bool mayClose = mNow - aConnection.arrivedAt >= kUpstreamIdleTimeout;
  aConnection.writtenTooLate = aConnection.writtenTooLate || (mayClose && kept);
  if (aConnection.peerReset || aConnection.closed) {
    aConnection.lostBytes = true;
    return aBytes.size(); // The process learns of the reset by an event.
  }
  if (!aConnection.peerPaused) {
    aConnection.received.append(aBytes);
    return aBytes.size();
  }
  const std::size_t taken =
    std::min(aBytes.size(),
             kSendBuffer - std::min(kSendBuffer, aConnection.inFlight.size()));
  aConnection.inFlight.append(aBytes.substr(0, taken));
  return taken;
}

void
World::resume(Connection& aConnection)
{
  aConnection.peerPaused = false;
  if (!aConnection.resetSent) {
    aConnection.received += std::exchange(aConnection.inFlight, {});
  }
}

void
World::sip(Connection& aConnection)
{
  const std::size_t size =
    std::min(aConnection.inFlight.size(), kSendBuffer / 2);
  aConnection.received.append(aConnection.inFlight, 0, size);
  aConnection.inFlight.erase(0, size);
  aConnection.pausedWithBytes = base::Duration::zero();
}

void
World::establish(Connection& aConnection)
{
  aConnection.connected = true;
  if (aConnection.buffered != nullptr) {
    aConnection.buffered->connectedPending = true;
    defer(*aConnection.buffered);
  }
}

void
World::refuse(Connection& aConnection)
{
  aConnection.peerReset = true;
  aConnection.endReported = true;
  if (aConnection.buffered != nullptr) {
    aConnection.buffered->refused = true;
    aConnection.buffered->endPending = BEV_EVENT_ERROR;
    defer(*aConnection.buffered);
  }
}

void
World::addTimer(event* aTimer, base::Duration aDelay)
{
  aTimer->due = mNow + std::max(aDelay, base::Duration::zero());
  aTimer->number = ++mTimerCount;
  mTimers.insert(aTimer);
}

void
World::removeTimer(event* aTimer)
{
  mTimers.erase(aTimer);
}

bool
World::canRead(const Connection& aConnection) const
{
  const bufferevent* buffered = aConnection.buffered;
  if (buffered == nullptr || aConnection.closed || !aConnection.connected ||
      !buffered->reading) {
    return false;
  }
  return !aConnection.unread.empty() ||
         (!aConnection.endReported &&
          (aConnection.peerFin || aConnection.peerReset));
}

bool
World::canWrite(const Connection& aConnection) const
{
  const bufferevent* buffered = aConnection.buffered;
  return buffered != nullptr && !aConnection.closed && aConnection.connected &&
         !buffered->output.empty() &&
         (aConnection.peerReset ? !aConnection.endReported
                                : !aConnection.peerPaused ||
                                    aConnection.inFlight.size() < kSendBuffer);
}

bool
World::ready(Step aStep) const
{
  if (mExited) {
    return false;
  }
  if (aStep == Step::Next) {
    return !mActive.empty();
  }
  const bool timerDue = !mTimers.empty() && (*mTimers.begin())->due <= mNow;
  const auto sockets = std::count_if(
    mConnections.begin(), mConnections.end(), [&](const auto& aItem) {
      return canRead(*aItem) || canWrite(*aItem);
    });
  const bool anyReady =
    aStep == Step::Poll ? sockets > 0 || timerDue : sockets > 1;
  return mActive.empty() && anyReady;
}

void
World::run(Step aStep)
{
  if (aStep != Step::Next) {
    poll(aStep == Step::PollBack);
    return;
  }
  const auto callback = std::move(mActive.front());
  mActive.pop_front();
  callback();
}

void
World::runAllReady()
{
  while (ready(Step::Next) || ready(Step::Poll)) {
    run(ready(Step::Next) ? Step::Next : Step::Poll);
  }
}

void
World::poll(bool aBack)
{
  std::vector<Connection*> sockets;
  for (const auto& connection : mConnections) {
    sockets.push_back(connection.get());
  }
  if (aBack) {
    std::reverse(sockets.begin(), sockets.end());
  }
  for (Connection* socket : sockets) {
    if (canRead(*socket)) {
      mActive.emplace_back([this, socket] {
        if (canRead(*socket)) {
          read(*socket);
        }
      });
    }
    if (canWrite(*socket)) {
      mActive.emplace_back([this, socket] {
        if (canWrite(*socket)) {
          write(*socket);
        }
      });
    }
  }
  for (event* timer : mTimers) {
    if (timer->due > mNow) {
      break;
    }
    mActive.emplace_back([this, timer, number = timer->number] {
      const auto waits =
        std::any_of(mTimers.begin(), mTimers.end(), [&](const event* aTimer) {
          return aTimer == timer && aTimer->number == number;
        });
      if (waits) {
        runTimer(timer);
      }
    });
  }
}

/** Queues the deferred callbacks of a connection once. */
void
World::defer(bufferevent& aBuffered)
{
  if (std::exchange(aBuffered.deferred, true)) {
    return;
  }
  mActive.emplace_back([this, &aBuffered] { callBack(aBuffered); });
}

std::optional<base::Duration>
World::untilNextTimer() const
{
  if (mTimers.empty()) {
    return std::nullopt;
  }
  return std::max((*mTimers.begin())->due - mNow, base::Duration::zero());
}

void
World::read(Connection& aConnection)
{
  bufferevent& buffered = *aConnection.buffered;
  if (!aConnection.unread.empty()) {
    const std::size_t size = std::min(aConnection.unread.size(), kMaxRead);
    aConnection.read += size;
    buffered.input.append(aConnection.unread, 0, size);
    aConnection.unread.erase(0, size);
    buffered.readPending = true;
  } else {
    aConnection.endReported = true;
    buffered.endPending = aConnection.peerReset
                            ? BEV_EVENT_ERROR | BEV_EVENT_READING
                            : BEV_EVENT_EOF | BEV_EVENT_READING;
  }
  defer(buffered);
}

void
World::write(Connection& aConnection)
{
  bufferevent& buffered = *aConnection.buffered;
  if (aConnection.peerReset) {
    aConnection.endReported = true;
    buffered.endPending = BEV_EVENT_ERROR | BEV_EVENT_WRITING;
  } else {
    buffered.output.erase(0, send(aConnection, buffered.output));
    buffered.drainedPending = buffered.output.empty();
  }
  if (buffered.drainedPending || buffered.endPending != 0) {
    defer(buffered);
  }
}

void
World::callBack(bufferevent& aBuffered)
{
  // libevent runs the deferred callbacks of a connection in this order, and
  // none after it was freed.
  aBuffered.deferred = false;
  if (std::exchange(aBuffered.connectedPending, false) &&
      aBuffered.owner != nullptr) {
    aBuffered.onEvent(&aBuffered, BEV_EVENT_CONNECTED, aBuffered.owner);
  }
  if (std::exchange(aBuffered.readPending, false) &&
      aBuffered.owner != nullptr) {
    aBuffered.onRead(&aBuffered, aBuffered.owner);
  }
  if (std::exchange(aBuffered.drainedPending, false) &&
      aBuffered.owner != nullptr) {
    aBuffered.onWrite(&aBuffered, aBuffered.owner);
  }
  const short end = std::exchange(aBuffered.endPending, 0);
  if (end != 0 && aBuffered.owner != nullptr) {
    aBuffered.onEvent(&aBuffered, end, aBuffered.owner);
  }
}

void
World::runTimer(event* aTimer)
{
  mTimers.erase(aTimer);
  if (aTimer->period > base::Duration::zero()) {
    addTimer(aTimer, aTimer->period);
  }
  // A copy, because the callback may destroy its own handle.
  const auto callback = aTimer->state->callback;
  callback();
}

std::uint64_t
World::fingerprint() const
{
  std::string text;
  const auto add = [&text](auto aNumber) {
    text += std::to_string(aNumber) + " ";
  };
  for (const auto& connection : mConnections) {
    add(connection->connected);
    add(connection->unread.size());
    add(connection->read);
    add(connection->peerFin);
    add(connection->peerReset);
    add(connection->peerPaused);
    add(connection->received.size() + connection->inFlight.size());
    add(connection->finSent);
    add(connection->closed);
    add(connection->resetSent);
    if (const bufferevent* buffered = connection->buffered) {
      add(buffered->input.size());
      add(buffered->output.size());
      add(buffered->reading);
      add(buffered->connectedPending);
      add(buffered->readPending);
      add(buffered->drainedPending);
      add(buffered->endPending);
    }
    text += "; ";
  }
  for (const event* timer : mTimers) {
    add((timer->due - mNow).count());
  }
  add(mActive.size());
  add(mListener != nullptr);
  add(mExited);
  return base::hash64(text);
}

} // namespace marigold::explore
