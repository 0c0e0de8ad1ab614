/** @file Memory that a process may use for the bytes of its requests. */
#pragma once

#include <cstddef>
#include <limits>
#include <string>

namespace marigold::base {

/** Empties a text and frees its memory, which clear() and assignments keep.
 * @param aText text */
inline void
freeText(std::string& aText)
{
  std::string().swap(aText);
}

/**
 * Adds up the bytes that a process holds for all its requests. What is under
 * way is never cut, so new bodies may take a part of the limit only; the rest
 * is for what they become: copies that an upstream has not read yet, and
 * answers.
 */
class MemoryBudget
{
public:
  /** @param aLimit bytes; unlimited by default */
  void setLimit(std::size_t aLimit) { mLimit = aLimit; }

  /** @return bytes held now */
  std::size_t used() const { return mUsed; }

  /** @param aBytes size of a body @param aCounted part that counts already
   * @return true if it may be received */
  bool admitsBody(std::size_t aBytes, std::size_t aCounted = 0) const
  {
    return aBytes <= kSmallBody ||
           fits(aBytes - aCounted, mLimit / kParts * kPartsForBodies);
  }

  /** @param aBytes size of a body to send
   * @return true if it may be buffered until its upstream has read it */
  bool admitsCopy(std::size_t aBytes) const
  {
    return aBytes <= kSmallBody || fits(aBytes, mLimit);
  }

  /** @return true if answers must not be buffered as far as usual */
  bool tight() const { return mUsed > mLimit / 2; }

private:
  friend class MemoryCharge;
  /** Bodies up to this size are always taken and sent. */
  static constexpr std::size_t kSmallBody = 16UL * 1024;
  static constexpr std::size_t kParts = 3;
  static constexpr std::size_t kPartsForBodies = 2;

  bool fits(std::size_t aBytes, std::size_t aLimit) const
  {
    return mUsed <= aLimit && aBytes <= aLimit - mUsed;
  }

  std::size_t mLimit = std::numeric_limits<std::size_t>::max();
  std::size_t mUsed = 0;
};

/** A number of bytes that counts towards a budget for its lifetime. */
class MemoryCharge
{
public:
  /** @param aBudget budget, which outlives the charge */
  explicit MemoryCharge(MemoryBudget& aBudget)
    : mBudget(aBudget)
  {
  }
  ~MemoryCharge() { set(0); }
  MemoryCharge(const MemoryCharge&) = delete;
  MemoryCharge& operator=(const MemoryCharge&) = delete;

  /** @param aBytes bytes held from now on */
  void set(std::size_t aBytes)
  {
    mBudget.mUsed += aBytes - mBytes;
    mBytes = aBytes;
  }

  /** @return bytes held */
  std::size_t bytes() const { return mBytes; }

private:
  MemoryBudget& mBudget;
  std::size_t mBytes = 0;
};

} // namespace marigold::base
