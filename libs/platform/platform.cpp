#include "platform/platform.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace marigold::platform {
namespace {

using base::Captured;
using base::Code;
using base::Error;
using nlohmann::json;

Error
transportError(http::CallEnd aEnd, bool aIsWrite)
{
  if (aEnd == http::CallEnd::NotSent) {
    return { Code::PlatformUnreachable, "the platform cannot be reached" };
  }
  // The platform may have executed a write although its answer was lost.
  if (aIsWrite) {
    return { Code::WriteOutcomeUnknown,
             "the platform's answer to a write was lost" };
  }
  return { Code::PlatformTimeout, "the platform did not answer in time" };
}

/** Parses a response as JSON. Its content is untrusted, so that malformed
 * content becomes an error. */
template<typename Value, typename Reader>
Captured<Value>
readResponse(const Captured<http::Response>& aResponse, Reader aReader)
{
  if (const Error* error = base::errorOf(aResponse)) {
    return *error;
  }
  const auto content =
    json::parse(std::get<http::Response>(aResponse).body, nullptr, false);
  try {
    return aReader(content);
  } catch (const json::exception& exception) {
    return Error{ Code::PlatformUnreachable,
                  std::string("malformed answer from the platform: ") +
                    exception.what() };
  }
}

membership::Vm
readVm(const json& aJson)
{
  membership::Vm vm;
  vm.name = aJson.at("name");
  const std::string role = aJson.at("role");
  vm.role = role == "entry"    ? membership::Role::Entry
            : role == "engine" ? membership::Role::Engine
                               : membership::Role::Service;
  vm.dataCentre = aJson.at("data_centre");
  vm.leaving = aJson.at("state") == "leaving";
  vm.address = aJson.value("address", "");
  vm.operatorAddress = aJson.value("operator", "");
  vm.meshAddress = aJson.value("mesh", "");
  vm.serves = aJson.value("serves", std::vector<std::string>{});
  vm.memoryMb = aJson.value("memory_mb", 0);
  vm.honoursFencing = aJson.value("fencing", false);
  return vm;
}

membership::VmList
readVmList(const json& aJson)
{
  membership::VmList list;
  list.revision = aJson.at("revision");
  for (const json& vm : aJson.at("vms")) {
    list.vms.push_back(readVm(vm));
  }
  return list;
}

/** Reads the answer to a write. If the platform accepted the write but its
 * answer is malformed, the new revision and thus the outcome is unknown. */
Captured<Revision>
readWriteResult(const WireProtocol& aProtocol,
                const Captured<http::Response>& aResponse)
{
  const auto revision =
    readResponse<Revision>(aResponse, aProtocol.readRevision);
  if (base::errorOf(aResponse) == nullptr &&
      base::errorOf(revision) != nullptr) {
    return Error{ Code::WriteOutcomeUnknown,
                  "malformed answer from the platform to a write" };
  }
  return revision;
}

/** Maps NotFound to LeaseLost: an expired lease does not exist any more. */
Captured<std::string>
leaseResult(const Captured<http::Response>& aResponse,
            const std::string& aLease)
{
  const Error* error = base::errorOf(aResponse);
  if (error == nullptr) {
    return aLease;
  }
  if (error->code == Code::NotFound) {
    return Error{ Code::LeaseLost, "the lease has expired" };
  }
  return *error;
}

} // namespace

Client::Client(http::Loop& aLoop,
               http::Address aAddress,
               base::Duration aTimeout,
               const WireProtocol& aProtocol)
  : mLoop(aLoop)
  , mAddress(std::move(aAddress))
  , mTimeout(aTimeout)
  , mProtocol(aProtocol)
  , mClient(aLoop)
{
}

void
Client::send(const http::Request& aRequest,
             base::Duration aTimeout,
             bool aIsWrite,
             ResponseCallback aDone)
{
  ++(aIsWrite ? mCounts.writes : mCounts.reads);
  if (mOutageSimulated) {
    failAfterTimeout(aTimeout, aIsWrite, std::move(aDone));
    return;
  }
  const auto position = mCalls.emplace(mCalls.end());
  http::CallEvents events;
  events.done = [this, position, aIsWrite, aDone = std::move(aDone)](
                  http::CallEnd aEnd, const http::Response& aResponse) {
    // Remove the call first: the callback may destroy this client.
    const std::unique_ptr<http::Call> ended = std::move(*position);
    mCalls.erase(position);
    if (mOutageSimulated) {
      aEnd = http::CallEnd::TimedOut;
    }
    if (aEnd != http::CallEnd::Complete) {
      ++mCounts.failures;
      aDone(transportError(aEnd, aIsWrite));
      return;
    }
    if (!recordEra(aResponse.headers)) {
      ++mCounts.failures;
      aDone(transportError(http::CallEnd::TimedOut, aIsWrite));
      return;
    }
    if (const auto error = mProtocol.statusError(aResponse.status)) {
      aDone(*error);
      return;
    }
    aDone(aResponse);
  };
  // Writes don't reuse idle connections: the server may be closing one, which
  // would look like a lost answer. Writes are rare enough to open a connection
  // for each.
  *position =
    mClient.start(mAddress, aRequest, aTimeout, std::move(events), !aIsWrite);
}

/** @return false if the answer is from before the store was restored */
bool
Client::recordEra(const http::Headers& aHeaders)
{
  const auto era = mProtocol.readEra(aHeaders);
  if (!era) {
    return true;
  }
  const auto previous = mEra;
  mEra = std::max(*era, previous.value_or(0));
  if (previous && *era > *previous) {
    mRestored.emit();
  }
  return *era == mEra;
}

void
Client::failAfterTimeout(base::Duration aTimeout,
                         bool aIsWrite,
                         ResponseCallback aDone)
{
  const auto position = mDroppedCalls.emplace(mDroppedCalls.end());
  *position =
    mLoop.after(aTimeout, [this, position, aIsWrite, aDone = std::move(aDone)] {
      // Remove the timer first: the callback may destroy this client.
      mDroppedCalls.erase(position);
      ++mCounts.failures;
      aDone(transportError(http::CallEnd::TimedOut, aIsWrite));
    });
}

void
Client::read(const std::string& aKey, Callback<Entry> aDone)
{
  send(mProtocol.read(aKey),
       mTimeout,
       false,
       [this,
        aDone = std::move(aDone)](const Captured<http::Response>& aResponse) {
         aDone(readResponse<Entry>(aResponse, mProtocol.readEntry));
       });
}

void
Client::list(const std::string& aPrefix, Callback<Snapshot> aDone)
{
  listFrom(aPrefix, std::make_shared<Snapshot>(), std::move(aDone));
}

void
Client::listFrom(const std::string& aPrefix,
                 const std::shared_ptr<Snapshot>& aPartial,
                 Callback<Snapshot> aDone)
{
  const std::string after =
    aPartial->entries.empty() ? std::string() : aPartial->entries.back().key;
  send(mProtocol.list(aPrefix, after),
       mTimeout,
       false,
       [this, aPrefix, aPartial, aDone = std::move(aDone)](
         const Captured<http::Response>& aResponse) {
         auto page = readResponse<Snapshot>(aResponse, mProtocol.readPage);
         if (base::errorOf(page) != nullptr) {
           aDone(page);
           return;
         }
         auto& read = std::get<Snapshot>(page);
         if (aPartial->revision == 0) {
           aPartial->era = era();
           aPartial->revision = read.revision;
         }
         if (aPartial->era != era()) {
           // The earlier pages are from before the store was restored.
           list(aPrefix, aDone);
           return;
         }
         const bool more = read.more && !read.entries.empty();
         std::move(read.entries.begin(),
                   read.entries.end(),
                   std::back_inserter(aPartial->entries));
         if (more) {
           listFrom(aPrefix, aPartial, aDone);
           return;
         }
         aDone(std::move(*aPartial));
       });
}

void
Client::write(const std::string& aKey,
              const std::string& aValue,
              Revision aExpected,
              const std::string& aLease,
              Callback<Revision> aDone)
{
  send(mProtocol.write({ aKey, aValue, aExpected, aLease }),
       mTimeout,
       true,
       [this,
        aDone = std::move(aDone)](const Captured<http::Response>& aResponse) {
         aDone(readWriteResult(mProtocol, aResponse));
       });
}

void
Client::remove(const std::string& aKey,
               Revision aExpected,
               Callback<Revision> aDone)
{
  send(mProtocol.remove(aKey, aExpected),
       mTimeout,
       true,
       [aDone = std::move(aDone)](const Captured<http::Response>& aResponse) {
         const Error* error = base::errorOf(aResponse);
         aDone(error != nullptr ? Captured<Revision>(*error)
                                : Captured<Revision>(Revision{ 0 }));
       });
}

void
Client::watch(const std::string& aPrefix,
              Position aAfter,
              base::Duration aWait,
              Callback<Snapshot> aDone)
{
  send(mProtocol.watch(aPrefix, aAfter, aWait),
       aWait + mTimeout,
       false,
       [this,
        aDone = std::move(aDone)](const Captured<http::Response>& aResponse) {
         auto changes =
           readResponse<Snapshot>(aResponse, mProtocol.readChanges);
         if (base::errorOf(changes) == nullptr) {
           std::get<Snapshot>(changes).era = era();
         }
         aDone(changes);
       });
}

void
Client::grantLease(base::Duration aTerm, Callback<std::string> aDone)
{
  send(mProtocol.grantLease(aTerm),
       mTimeout,
       true,
       [this,
        aDone = std::move(aDone)](const Captured<http::Response>& aResponse) {
         aDone(readResponse<std::string>(aResponse, mProtocol.readLease));
       });
}

void
Client::renewLease(const std::string& aLease, Callback<std::string> aDone)
{
  send(mProtocol.renewLease(aLease),
       mTimeout,
       true,
       [aLease,
        aDone = std::move(aDone)](const Captured<http::Response>& aResponse) {
         aDone(leaseResult(aResponse, aLease));
       });
}

void
Client::revokeLease(const std::string& aLease, Callback<std::string> aDone)
{
  send(mProtocol.revokeLease(aLease),
       mTimeout,
       true,
       [aLease,
        aDone = std::move(aDone)](const Captured<http::Response>& aResponse) {
         aDone(leaseResult(aResponse, aLease));
       });
}

void
Client::listVms(Callback<std::string> aDone)
{
  send({ "GET", "/v1/vms", "", {}, "" },
       mTimeout,
       false,
       [aDone = std::move(aDone)](const Captured<http::Response>& aResponse) {
         const Error* error = base::errorOf(aResponse);
         aDone(error != nullptr ? Captured<std::string>(*error)
                                : Captured<std::string>(
                                    std::get<http::Response>(aResponse).body));
       });
}

base::Result<membership::VmList>
decodeVmList(const std::string& aText)
{
  const auto content = json::parse(aText, nullptr, false);
  try {
    return readVmList(content);
  } catch (const json::exception& exception) {
    return base::fail(Code::DocumentInvalid,
                      std::string("malformed list of VMs: ") +
                        exception.what());
  }
}

} // namespace marigold::platform
