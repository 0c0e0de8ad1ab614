/** @file Reads the events with which an engine answers a chat. */
#pragma once

#include "base/memory_budget.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace marigold::chat {

/**
 * Follows the events of an answer. For callers that want one JSON object it
 * also joins them.
 */
class AnswerReader
{
public:
  /** Size of the events that are joined at most; bounds what one caller takes
   * of the memory. About 20,000 tokens. */
  static constexpr std::size_t kMaxJoinedBytes = 4UL * 1024 * 1024;

  /** @param aJoins the events are joined to one object
   * @param aMemory budget for what is joined, which outlives the reader */
  AnswerReader(bool aJoins, base::MemoryBudget& aMemory);
  ~AnswerReader();
  AnswerReader(const AnswerReader&) = delete;
  AnswerReader& operator=(const AnswerReader&) = delete;

  /** @return true if the events are joined and not passed on one by one */
  bool joins() const { return mJoined != nullptr; }

  /** @param aEvent next event, with its end @return false if it cannot be a
   * part of a joined answer */
  bool add(std::string_view aEvent);

  /** @return true once the final event was read: without it the answer broke
   * off, also if its connection ended in order */
  bool complete() const { return mComplete; }

  /** @return the answer as one JSON object; only for joined events */
  std::string joined() const;

private:
  struct Joined;

  std::unique_ptr<Joined> mJoined;
  base::MemoryCharge mCharge;
  bool mComplete = false;
};

} // namespace marigold::chat
