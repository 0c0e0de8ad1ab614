#include "store.h"

#include "http/client.h"

#include <algorithm>
#include <sys/types.h>
#include <utility>

using marigold::explore::Network;

/** Seeds contain the id of the process, and a replay needs the same ones. */
extern "C" pid_t
getpid()
{
  return 1;
}

namespace marigold::explore {
namespace {

Network* theNetwork = nullptr;

} // namespace

void
StoreContent::apply(const std::string& aKey, std::optional<std::string> aValue)
{
  const Change change{ aKey, std::move(aValue), ++revision };
  if (change.value) {
    keys[aKey] = change;
  } else {
    keys.erase(aKey);
  }
  history.push_back(change);
}

void
StoreContent::compact()
{
  compacted = revision;
  history.clear();
}

Network::Network()
{
  theNetwork = this;
}

Network::~Network()
{
  theNetwork = nullptr;
}

Network&
Network::current()
{
  return *theNetwork;
}

Network::LinkId
Network::openLink()
{
  mSilent.push_back(false);
  return mSilent.size() - 1;
}

void
Network::silenceLinks()
{
  std::fill(mSilent.begin(), mSilent.end(), true);
}

Network::CallId
Network::start(PendingCall aCall)
{
  const CallId id = mNextCall++;
  mCalls[id] = std::move(aCall);
  return id;
}

void
Network::cancel(CallId aCall)
{
  const auto call = mCalls.extract(aCall);
  if (call) {
    call.mapped().giveLinkBack(false);
  }
}

void
Network::end(CallId aCall, http::CallEnd aEnd, const http::Response& aAnswer)
{
  const auto call = mCalls.extract(aCall);
  call.mapped().giveLinkBack(aEnd == http::CallEnd::Complete);
  call.mapped().events.done(aEnd, aAnswer);
}

} // namespace marigold::explore

namespace marigold::http {

struct Client::Connection
{
  Network::LinkId link = 0;
};

struct Call::State
{
  Network::CallId id = 0;
};

Call::Call(std::unique_ptr<State> aState)
  : mState(std::move(aState))
{
}

Call::~Call()
{
  Network::current().cancel(mState->id);
}

Client::Client(Loop& aLoop, const ClientLimits& aLimits)
  : mLoop(aLoop)
  , mLimits(aLimits)
{
}

Client::~Client()
{
  *mAlive = false;
}

std::unique_ptr<Client::Connection>
Client::connect(const Address& aAddress, bool aReuse)
{
  auto& idle = mIdle[aAddress];
  if (aReuse && !idle.empty()) {
    auto connection = std::move(idle.back());
    idle.pop_back();
    return connection;
  }
  return std::make_unique<Connection>(
    Connection{ Network::current().openLink() });
}

std::unique_ptr<Call>
Client::start(const Address& aAddress,
              const Request& aRequest,
              base::Duration aTimeout,
              CallEvents aEvents,
              bool aReuse)
{
  Network& network = Network::current();
  const auto connection =
    std::make_shared<std::unique_ptr<Connection>>(connect(aAddress, aReuse));
  Network::PendingCall pending;
  pending.server = aAddress;
  pending.request = aRequest;
  pending.link = (*connection)->link;
  pending.sentAt = base::monotonicNow();
  pending.events = std::move(aEvents);
  pending.giveLinkBack =
    [this, aAddress, connection, alive = mAlive](bool aReusable) {
      if (aReusable && *alive &&
          mIdle[aAddress].size() < mLimits.idlePerAddress) {
        mIdle[aAddress].push_back(std::move(*connection));
      }
    };
  const Network::CallId id = network.start(std::move(pending));
  network.calls().at(id).timeout = mLoop.after(
    aTimeout, [&network, id] { network.end(id, CallEnd::TimedOut, {}); });
  return std::unique_ptr<Call>(
    new Call(std::make_unique<Call::State>(Call::State{ id })));
}

void
Client::closeIdle()
{
  mIdle.clear();
}

} // namespace marigold::http
