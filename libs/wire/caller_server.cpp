#include "wire/caller_connection.h"

#include <arpa/inet.h>
#include <array>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <utility>

namespace marigold::wire {
namespace {

/** Length of the listen queue. */
constexpr int kBacklog = 512;

/** @return the numeric address, empty if it has none */
std::string
hostOf(const sockaddr* aPeer)
{
  std::array<char, INET_ADDRSTRLEN> host{};
  const auto* address = reinterpret_cast<const sockaddr_in*>(aPeer);
  if (aPeer->sa_family != AF_INET ||
      inet_ntop(AF_INET, &address->sin_addr, host.data(), host.size()) ==
        nullptr) {
    return {};
  }
  return host.data();
}

} // namespace

CallerServer::CallerServer(http::Loop& aLoop, Handler aHandler)
  : mLoop(aLoop)
  , mHandler(std::move(aHandler))
{
}

CallerServer::~CallerServer()
{
  if (mListener != nullptr) {
    evconnlistener_free(mListener);
  }
}

base::Result<void>
CallerServer::listen(const base::Address& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aAddress.port);
  inet_pton(AF_INET, aAddress.host.c_str(), &address.sin_addr);
  mListener = evconnlistener_new_bind(
    mLoop.native(),
    [](evconnlistener*,
       evutil_socket_t aDescriptor,
       sockaddr* aPeer,
       int,
       void* aSelf) {
      static_cast<CallerServer*>(aSelf)->accept(aDescriptor, aPeer);
    },
    this,
    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
    kBacklog,
    reinterpret_cast<sockaddr*>(&address),
    sizeof(address));
  if (mListener == nullptr) {
    return base::fail(base::Code::SettingsInvalid,
                      "cannot listen on " + aAddress.text());
  }
  return {};
}

void
CallerServer::setLimits(const CallerLimits& aLimits)
{
  const base::Duration shortening = mLimits.idleTimeout - aLimits.idleTimeout;
  mLimits = aLimits;
  for (const auto& caller : mCallers) {
    caller->idleTimeoutChanged(shortening);
  }
}

void
CallerServer::accept(int aDescriptor, const sockaddr* aPeer)
{
  const auto caller = std::make_shared<CallerConnection>(
    *this, aDescriptor, mFilter ? hostOf(aPeer) : std::string());
  mCallers.insert(caller);
  caller->start();
}

/** Takes the connections that the kernel has established, which the end of the
 * listener would reset with the requests on them. */
void
CallerServer::acceptWaiting()
{
  for (;;) {
    sockaddr_in peer{};
    socklen_t size = sizeof(peer);
    const int descriptor = accept4(evconnlistener_get_fd(mListener),
                                   reinterpret_cast<sockaddr*>(&peer),
                                   &size,
                                   SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor < 0) {
      return;
    }
    accept(descriptor, reinterpret_cast<const sockaddr*>(&peer));
  }
}

void
CallerServer::stop()
{
  mStopped = true;
  mCloseAfterResponses = true;
  if (mListener != nullptr) {
    acceptWaiting();
    evconnlistener_free(mListener);
    mListener = nullptr;
  }
  for (const auto& caller : std::set(mCallers)) {
    if (!caller->mCurrent.open && !caller->mClosing &&
        !caller->mParser.started() && !caller->mTransport.hasInput()) {
      caller->endIdle();
    }
  }
}

void
CallerServer::refuseIncomplete(const RefusalHeaders& aRefusalHeaders)
{
  for (const auto& caller : std::set(mCallers)) {
    if (caller->mParser.started() && !caller->mCurrent.open &&
        !caller->mClosing) {
      caller->rejectWith(http::kServiceUnavailable,
                         aRefusalHeaders(caller->mParser.headers()));
    }
  }
}

} // namespace marigold::wire
