/** @file A scripted network, clock and event loop in place of libevent and the
 * kernel. The definitions of http::Loop, wire::Transport and monotonicNow() in
 * world.cpp replace those of the libraries at link time, so the classes above
 * them run unchanged. */
#pragma once

#include "base/base.h"
#include "wire/transport.h"

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

struct evconnlistener;

namespace marigold::explore {

/** One TCP connection, as the kernel of the process and its peer see it. */
struct Connection
{
  std::size_t id = 0;
  bool accepted = false;  ///< a caller opened it; otherwise the process did
  base::Address peer;     ///< to which the process connects
  bool connected = false; ///< established
  std::string unread;     ///< arrived, not yet read by the process
  base::TimePoint arrivedAt{}; ///< when the latest bytes arrived
  std::size_t read = 0;        ///< bytes that the process has read
  bool peerFin = false;
  bool peerReset = false;
  bool peerPaused = false; ///< the peer's window is closed
  std::size_t written = 0; ///< bytes that the process has sent or will send
  std::string inFlight;    ///< accepted by the kernel, not yet by the peer
  std::string received;    ///< by the peer
  bool finSent = false;    ///< the process closed its sending side
  base::TimePoint finAt{};
  bool closed = false;       ///< the process closed the socket
  bool closedByExit = false; ///< because it ended
  bool lostBytes = false;    ///< the process wrote after a reset
  /** The process wrote on a kept connection that its peer had ended. */
  bool writtenAfterEnd = false;
  /** It wrote when its peer may have been closing a connection that was idle.
   */
  bool writtenTooLate = false;
  bool resetSent = false;       ///< the peer sees a reset
  bool wantsReset = false;      ///< a close becomes a reset
  base::Duration userTimeout{}; ///< for which the kernel bears a pause
  base::Duration pausedWithBytes{};
  bool endReported = false;        ///< end of input or error, to the process
  bufferevent* buffered = nullptr; ///< until the process closes the socket

  /** Bytes of the peer arrive. */
  void arrive(std::string_view aBytes);

  /** @return true if the peer can still send */
  bool open() const { return !peerFin && !peerReset && !resetSent; }
};

/** The world of one run; at most one exists at a time. */
class World
{
public:
  World();
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  /** @return the existing world */
  static World& current();

  base::TimePoint now() const { return mNow; }

  /**
   * A pass of the event loop asks the kernel once and then runs what is ready:
   * input and output, timers that are due, and what these defer or post.
   * Whatever arrives meanwhile waits for the next pass.
   */
  enum class Step : std::uint8_t
  {
    Poll,     ///< begin a pass
    PollBack, ///< the same, sockets in the opposite order
    Next      ///< run the next callback of the pass
  };

  /** @param aStep step @return true if the loop could run it now */
  bool ready(Step aStep) const;

  /** Runs a step that is ready. */
  void run(Step aStep);

  /** Runs passes until nothing is ready. */
  void runAllReady();

  /** @return time until the next timer, or nothing if there is none */
  std::optional<base::Duration> untilNextTimer() const;

  /** Lets time pass without running the loop. The kernel fails connections
   * whose peers don't take its bytes for longer than their user timeout. */
  void advance(base::Duration aTime);

  /** Opens a connection from a caller. @return its index, or nothing if no
   * process listens */
  std::optional<std::size_t> connectCaller();

  /** Ends the process: the kernel closes all its sockets. */
  void exitProcess();
  bool exited() const { return mExited; }

  std::vector<std::unique_ptr<Connection>>& connections()
  {
    return mConnections;
  }

  /** The upstream accepts or refuses a connection. */
  void establish(Connection& aConnection);
  void refuse(Connection& aConnection);
  /** The peer reads on after a pause. */
  void resume(Connection& aConnection);
  /** A peer that pauses reads as much as opens its window for a moment. The
   * process learns nothing of fewer bytes. */
  void sip(Connection& aConnection);

  /** @return digest of what can be seen of the loop and the sockets */
  std::uint64_t fingerprint() const;

  // Used by the replaced definitions.
  Connection& addConnection(bool aAccepted, bufferevent* aBuffered);
  void close(Connection& aConnection);
  /** @return number of bytes that the kernel takes */
  std::size_t send(Connection& aConnection, std::string_view aBytes);
  void addTimer(event* aTimer, base::Duration aDelay);
  void removeTimer(event* aTimer);
  void post(std::function<void()> aCallback)
  {
    mActive.push_back(std::move(aCallback));
  }
  void listen(evconnlistener* aListener) { mListener = aListener; }

private:
  bool canRead(const Connection& aConnection) const;
  bool canWrite(const Connection& aConnection) const;
  void poll(bool aBack);
  void read(Connection& aConnection);
  void write(Connection& aConnection);
  void callBack(bufferevent& aBuffered);
  void runTimer(event* aTimer);
  void defer(bufferevent& aBuffered);

  struct EarlierTimer
  {
    bool operator()(const event* aLeft, const event* aRight) const;
  };

  base::TimePoint mNow{ std::chrono::hours(1) };
  std::uint64_t mTimerCount = 0;
  std::set<event*, EarlierTimer> mTimers;
  /** What the current pass still has to run. */
  std::deque<std::function<void()>> mActive;
  std::vector<std::unique_ptr<Connection>> mConnections;
  /** Kept until the end, because a callback may free the one that runs. */
  std::vector<std::unique_ptr<bufferevent>> mRetired;
  evconnlistener* mListener = nullptr;
  bool mExited = false;

  friend class wire::Transport;
  friend struct wire::BuffereventDeleter;
};

} // namespace marigold::explore
