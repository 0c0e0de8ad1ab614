/** @file Bytes held in memory that count towards a total of the process. */
#pragma once

#include "base/memory_budget.h"

#include <string>
#include <string_view>

namespace marigold::gateway {

/** A byte string whose size is a part of a shared total for its lifetime. */
class CountedBuffer
{
public:
  /** @param aTotal bytes of all buffers that share it
   * @param aMemory budget of the process */
  CountedBuffer(std::size_t& aTotal, base::MemoryBudget& aMemory)
    : mTotal(aTotal)
    , mCharge(aMemory)
  {
  }
  ~CountedBuffer() { clear(); }
  CountedBuffer(const CountedBuffer&) = delete;
  CountedBuffer& operator=(const CountedBuffer&) = delete;

  /** @param aBytes bytes to add at the end */
  void append(std::string_view aBytes)
  {
    mBytes.append(aBytes);
    mTotal += aBytes.size();
    mCharge.set(mBytes.capacity());
  }

  /** Discards all bytes and frees their memory. */
  void clear()
  {
    mTotal -= mBytes.size();
    base::freeText(mBytes);
    mCharge.set(0);
  }

  /** @return the bytes */
  std::string_view view() const { return mBytes; }

  /** @return number of bytes */
  std::size_t size() const { return mBytes.size(); }

private:
  std::size_t& mTotal;
  base::MemoryCharge mCharge;
  std::string mBytes;
};

} // namespace marigold::gateway
