#include "apps/entry/slot_sync.h"

#include "observe/observe.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace marigold::entry {
namespace {

using base::Code;
using limits::SlotAnswer;
using limits::SlotCallKind;
using limits::SlotFailure;
using nlohmann::json;

SlotFailure
failureOf(Code aCode)
{
  switch (aCode) {
    case Code::RevisionConflict:
      return SlotFailure::Conflict;
    // A write that is bound to an unknown lease answers NotFound.
    case Code::LeaseLost:
    case Code::NotFound:
      return SlotFailure::LeaseLost;
    default:
      return SlotFailure::Other;
  }
}

std::string
encodeRecord(const limits::SlotRecord& aRecord)
{
  return json{
    { "vm", aRecord.vm },
    { "incarnation", aRecord.incarnation },
    { "list_revision", aRecord.listRevision }
  }.dump();
}

/** A record that cannot be read counts as held, so that it is left alone. */
limits::SlotRecord
decodeRecord(const std::string& aText)
{
  limits::SlotRecord record{ "", 0, UINT64_MAX };
  const json content = json::parse(aText, nullptr, false);
  if (content.is_object() && content.contains("vm") &&
      content["vm"].is_string()) {
    record.vm = content["vm"];
    record.incarnation = content.value("incarnation", base::Incarnation{ 0 });
    record.listRevision = content.value("list_revision", UINT64_MAX);
  }
  return record;
}

} // namespace

SlotSync::SlotSync(platform::Client& aPlatform,
                   const Configuration& aConfiguration,
                   const Settings& aSettings,
                   base::Incarnation aIncarnation,
                   std::function<void()> aChanged)
  : mPlatform(aPlatform)
  , mConfiguration(aConfiguration)
  , mDataCentre(aSettings.dataCentre)
  , mKeeper(aSettings.vm, aIncarnation)
  , mChanged(std::move(aChanged))
{
}

std::string
SlotSync::keyOf(int aNumber) const
{
  return "slots/" + mDataCentre + "/" + std::to_string(aNumber);
}

int
SlotSync::slots() const
{
  for (const auto& dataCentre : mConfiguration.manifest().dataCentres) {
    if (dataCentre.name == mDataCentre) {
      return dataCentre.entrySlots;
    }
  }
  return 0;
}

void
SlotSync::tick(base::TimePoint aNow)
{
  const membership::VmList& list = mConfiguration.vms();
  if (list.revision != mListed.revision) {
    mListed = { list.revision, {} };
    for (const membership::Vm& vm : list.vms) {
      mListed.names.insert(vm.name);
    }
  }
  // Without a manifest the number of slots is not known yet.
  if (!mConfiguration.complete()) {
    return;
  }
  if (const auto due = mKeeper.next(mListed, slots(), aNow)) {
    call(*due);
  }
}

void
SlotSync::release(base::TimePoint aNow)
{
  mKeeper.release();
  mChanged();
  tick(aNow);
}

void
SlotSync::answered(const SlotAnswer& aAnswer)
{
  const base::TimePoint now = base::monotonicNow();
  const bool held = mKeeper.term(now).has_value();
  mKeeper.answered(aAnswer, now);
  if (held != mKeeper.term(now).has_value()) {
    observe::logInfo(held ? "slot given up" : "slot taken",
                     { { "slot", keyOf(mKeeper.number()) } });
  }
  mChanged();
  tick(now);
}

template<typename Value>
platform::Callback<Value>
SlotSync::ending(std::function<void(const Value&, SlotAnswer&)> aRead)
{
  return [this, aRead](const base::Captured<Value>& aResult) {
    SlotAnswer answer;
    if (const base::Error* error = base::errorOf(aResult)) {
      answer.failure = failureOf(error->code);
    } else {
      aRead(std::get<Value>(aResult), answer);
    }
    answered(answer);
  };
}

void
SlotSync::list()
{
  const std::size_t prefix = keyOf(0).size() - 1;
  mPlatform.list(keyOf(0).substr(0, prefix),
                 ending<platform::Snapshot>(
                   [prefix](const auto& aSnapshot, SlotAnswer& aOut) {
                     for (const platform::Entry& entry : aSnapshot.entries) {
                       int number = 0;
                       const char* end = entry.key.data() + entry.key.size();
                       std::from_chars(entry.key.data() + prefix, end, number);
                       if (entry.value && number > 0) {
                         aOut.entries.push_back({ number,
                                                  decodeRecord(*entry.value),
                                                  entry.revision });
                       }
                     }
                   }));
}

void
SlotSync::call(const limits::SlotCall& aCall)
{
  const auto leaseAnswer = [](const std::string& aLease, SlotAnswer& aOut) {
    aOut.lease = aLease;
  };
  const auto revisionAnswer = [](const platform::Revision& aRevision,
                                 SlotAnswer& aOut) {
    aOut.revision = aRevision;
  };
  switch (aCall.kind) {
    case SlotCallKind::List:
      list();
      break;
    case SlotCallKind::GrantLease:
      mPlatform.grantLease(limits::kSlotLease,
                           ending<std::string>(leaseAnswer));
      break;
    case SlotCallKind::RenewLease:
      mPlatform.renewLease(aCall.lease, ending<std::string>(leaseAnswer));
      break;
    case SlotCallKind::Write:
      mPlatform.write(keyOf(aCall.number),
                      encodeRecord(aCall.record),
                      aCall.expected,
                      aCall.lease,
                      ending<platform::Revision>(revisionAnswer));
      break;
    case SlotCallKind::Remove:
      mPlatform.remove(keyOf(aCall.number),
                       aCall.expected,
                       ending<platform::Revision>(revisionAnswer));
      break;
  }
}

} // namespace marigold::entry
