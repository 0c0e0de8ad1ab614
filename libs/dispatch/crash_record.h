/** @file Evidence on crashes in a form that outlives the processes. */
#pragma once

#include "peers/crash_evidence.h"

#include "base/base.h"
#include <nlohmann/json_fwd.hpp>

namespace marigold::dispatch {

/** The evidence behind verdicts, for VMs that start when no other one runs. */
struct CrashRecord
{
  peers::CrashTable crashes;
  /** Traits of the suspects with which requests have finished. */
  peers::TraitSet finished;

  /** @param aOther record @return true if both tell the same, whatever the ages
   * of the crashes */
  bool tellsTheSame(const CrashRecord& aOther) const;
};

/** @param aRecord record @return its content for decodeCrashRecord() */
nlohmann::json
encodeCrashRecord(const CrashRecord& aRecord);

/**
 * @param aContent content of a record; untrusted, any client can write to the
 * store
 * @param aElapsed time since the record was written
 * @return the record with the present ages, or DocumentInvalid if a field is
 * missing, has another type or is out of bounds
 */
base::Result<CrashRecord>
decodeCrashRecord(const nlohmann::json& aContent, base::Duration aElapsed);

} // namespace marigold::dispatch
