#include "platform/platform.h"

#include <nlohmann/json.hpp>

namespace marigold::platform {
namespace {

using base::Captured;
using base::Code;
using base::Error;
using nlohmann::json;

/** A watch may answer this much later than the wait that was asked for. */
constexpr base::Duration kWatchMargin = std::chrono::seconds(2);

Error
transportError(http::CallEnd aEnd, bool aIsWrite)
{
  if (aEnd == http::CallEnd::NotSent) {
    return { Code::PlatformUnreachable, "the platform cannot be reached" };
  }
  if (aIsWrite) {
    return { Code::WriteOutcomeUnknown,
             "the platform's answer to a write was lost" };
  }
  return { Code::PlatformTimeout, "the platform did not answer in time" };
}

/** Reads an answer's JSON; the platform's content is not trusted to be right.
 */
template<typename Value, typename Read>
Captured<Value>
readAnswer(const Captured<http::Response>& aAnswer, Read aRead)
{
  if (const Error* error = base::errorOf(aAnswer)) {
    return *error;
  }
  const auto content =
    json::parse(std::get<http::Response>(aAnswer).body, nullptr, false);
  try {
    return aRead(content);
  } catch (const json::exception& wrong) {
    return Error{ Code::PlatformUnreachable,
                  std::string("malformed answer of the platform: ") +
                    wrong.what() };
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

/** Reads the answer to a write that the platform has accepted. */
Captured<Revision>
readWritten(const WireForm& aForm, const Captured<http::Response>& aAnswer)
{
  const auto revision = readAnswer<Revision>(aAnswer, aForm.readRevision);
  if (base::errorOf(aAnswer) == nullptr && base::errorOf(revision) != nullptr) {
    return Error{ Code::WriteOutcomeUnknown,
                  "malformed answer of the platform to a write" };
  }
  return revision;
}

/** Turns NotFound into LeaseLost, which is what it means for a lease. */
Captured<std::string>
leaseResult(const Captured<http::Response>& aAnswer, const std::string& aLease)
{
  const Error* error = base::errorOf(aAnswer);
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
               const WireForm& aForm)
  : mLoop(aLoop)
  , mAddress(std::move(aAddress))
  , mTimeout(aTimeout)
  , mForm(aForm)
  , mClient(aLoop)
{
}

void
Client::send(const http::Request& aRequest,
             base::Duration aTimeout,
             bool aIsWrite,
             Finish aDone)
{
  ++(aIsWrite ? mCounts.writes : mCounts.reads);
  if (mCut) {
    lose(aTimeout, aIsWrite, std::move(aDone));
    return;
  }
  const auto place = mCalls.emplace(mCalls.end());
  http::CallEvents events;
  events.done = [this, place, aIsWrite, aDone = std::move(aDone)](
                  http::CallEnd aEnd, const http::Response& aAnswer) {
    // The call is removed first, because the callback may destroy this client.
    const std::unique_ptr<http::Call> ended = std::move(*place);
    mCalls.erase(place);
    if (mCut) {
      aEnd = http::CallEnd::TimedOut;
    }
    if (aEnd != http::CallEnd::Complete) {
      ++mCounts.failures;
      aDone(transportError(aEnd, aIsWrite));
      return;
    }
    if (const auto error = mForm.statusError(aAnswer.status)) {
      aDone(*error);
      return;
    }
    aDone(aAnswer);
  };
  // A kept connection may just be closing, which for a write would look like a
  // lost answer; writes are rare enough to connect for each.
  *place =
    mClient.start(mAddress, aRequest, aTimeout, std::move(events), !aIsWrite);
}

void
Client::lose(base::Duration aTimeout, bool aIsWrite, Finish aDone)
{
  const auto place = mLost.emplace(mLost.end());
  *place =
    mLoop.after(aTimeout, [this, place, aIsWrite, aDone = std::move(aDone)] {
      // Removed first, because the callback may destroy this client.
      mLost.erase(place);
      ++mCounts.failures;
      aDone(transportError(http::CallEnd::TimedOut, aIsWrite));
    });
}

void
Client::read(const std::string& aKey, Callback<Entry> aDone)
{
  send(
    mForm.read(aKey),
    mTimeout,
    false,
    [this, aDone = std::move(aDone)](const Captured<http::Response>& aAnswer) {
      aDone(readAnswer<Entry>(aAnswer, mForm.readEntry));
    });
}

void
Client::list(const std::string& aPrefix, Callback<Snapshot> aDone)
{
  listFrom(aPrefix, std::make_shared<Snapshot>(), std::move(aDone));
}

void
Client::listFrom(const std::string& aPrefix,
                 const std::shared_ptr<Snapshot>& aSoFar,
                 Callback<Snapshot> aDone)
{
  const std::string after =
    aSoFar->entries.empty() ? std::string() : aSoFar->entries.back().key;
  send(mForm.list(aPrefix, after),
       mTimeout,
       false,
       [this, aPrefix, aSoFar, aDone = std::move(aDone)](
         const Captured<http::Response>& aAnswer) {
         auto page = readAnswer<Snapshot>(aAnswer, mForm.readPage);
         if (base::errorOf(page) != nullptr) {
           aDone(page);
           return;
         }
         auto& read = std::get<Snapshot>(page);
         if (aSoFar->revision == 0) {
           aSoFar->revision = read.revision;
         }
         const bool more = read.more && !read.entries.empty();
         std::move(read.entries.begin(),
                   read.entries.end(),
                   std::back_inserter(aSoFar->entries));
         if (more) {
           listFrom(aPrefix, aSoFar, aDone);
           return;
         }
         aDone(std::move(*aSoFar));
       });
}

void
Client::write(const std::string& aKey,
              const std::string& aValue,
              Revision aExpected,
              const std::string& aLease,
              Callback<Revision> aDone)
{
  send(
    mForm.write({ aKey, aValue, aExpected, aLease }),
    mTimeout,
    true,
    [this, aDone = std::move(aDone)](const Captured<http::Response>& aAnswer) {
      aDone(readWritten(mForm, aAnswer));
    });
}

void
Client::remove(const std::string& aKey,
               Revision aExpected,
               Callback<Revision> aDone)
{
  send(mForm.remove(aKey, aExpected),
       mTimeout,
       true,
       [aDone = std::move(aDone)](const Captured<http::Response>& aAnswer) {
         const Error* error = base::errorOf(aAnswer);
         aDone(error != nullptr ? Captured<Revision>(*error)
                                : Captured<Revision>(Revision{ 0 }));
       });
}

void
Client::watch(const std::string& aPrefix,
              Revision aAfter,
              base::Duration aWait,
              Callback<Snapshot> aDone)
{
  send(
    mForm.watch(aPrefix, aAfter, aWait),
    aWait + kWatchMargin,
    false,
    [this, aDone = std::move(aDone)](const Captured<http::Response>& aAnswer) {
      aDone(readAnswer<Snapshot>(aAnswer, mForm.readChanges));
    });
}

void
Client::grantLease(base::Duration aTerm, Callback<std::string> aDone)
{
  send(
    mForm.grantLease(aTerm),
    mTimeout,
    true,
    [this, aDone = std::move(aDone)](const Captured<http::Response>& aAnswer) {
      aDone(readAnswer<std::string>(aAnswer, mForm.readLease));
    });
}

void
Client::renewLease(const std::string& aLease, Callback<std::string> aDone)
{
  send(mForm.renewLease(aLease),
       mTimeout,
       true,
       [aLease,
        aDone = std::move(aDone)](const Captured<http::Response>& aAnswer) {
         aDone(leaseResult(aAnswer, aLease));
       });
}

void
Client::revokeLease(const std::string& aLease, Callback<std::string> aDone)
{
  send(mForm.revokeLease(aLease),
       mTimeout,
       true,
       [aLease,
        aDone = std::move(aDone)](const Captured<http::Response>& aAnswer) {
         aDone(leaseResult(aAnswer, aLease));
       });
}

void
Client::listVms(Callback<std::string> aDone)
{
  send({ "GET", "/v1/vms", "", {}, "" },
       mTimeout,
       false,
       [aDone = std::move(aDone)](const Captured<http::Response>& aAnswer) {
         const Error* error = base::errorOf(aAnswer);
         aDone(error != nullptr ? Captured<std::string>(*error)
                                : Captured<std::string>(
                                    std::get<http::Response>(aAnswer).body));
       });
}

base::Result<membership::VmList>
decodeVmList(const std::string& aText)
{
  const auto content = json::parse(aText, nullptr, false);
  try {
    return readVmList(content);
  } catch (const json::exception& wrong) {
    return base::fail(Code::DocumentInvalid,
                      std::string("malformed list of VMs: ") + wrong.what());
  }
}

} // namespace marigold::platform
