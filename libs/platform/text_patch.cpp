#include "platform/text_patch.h"

#include "base/base.h"

#include <algorithm>
#include <unordered_map>

namespace marigold::platform {
namespace {

/** Copying less takes as many bytes as it saves. */
constexpr std::size_t kMinCopy = 32;
/** What a part takes on the wire besides its bytes. */
constexpr std::size_t kPartBytes = 16;

/** Elements of lists end with a brace, so a chunk is an element or a part of a
 * nested one. */
std::string_view
chunkAt(std::string_view aText, std::size_t aOffset)
{
  const std::size_t end = aText.find('}', aOffset);
  return aText.substr(aOffset,
                      end == std::string_view::npos ? end : end + 1 - aOffset);
}

/** Texts are compared by blocks of this size first, which is much faster than
 * by bytes. */
constexpr std::size_t kBlockBytes = 4096;

/** @return how many bytes two texts share at the front */
std::size_t
sharedPrefix(std::string_view aLeft, std::string_view aRight)
{
  const std::size_t shorter = std::min(aLeft.size(), aRight.size());
  std::size_t at = 0;
  while (at < shorter &&
         aLeft.substr(at, kBlockBytes) == aRight.substr(at, kBlockBytes)) {
    at += kBlockBytes;
  }
  at = std::min(at, shorter);
  const std::string_view left = aLeft.substr(at);
  const std::string_view right = aRight.substr(at);
  const auto differs =
    std::mismatch(left.begin(), left.end(), right.begin(), right.end());
  return at + static_cast<std::size_t>(differs.first - left.begin());
}

/** @return how many bytes two texts share at the end */
std::size_t
sharedSuffix(std::string_view aLeft, std::string_view aRight)
{
  const std::size_t shorter = std::min(aLeft.size(), aRight.size());
  std::size_t shared = 0;
  while (shared + kBlockBytes <= shorter) {
    const std::size_t next = shared + kBlockBytes;
    if (aLeft.substr(aLeft.size() - next, kBlockBytes) !=
        aRight.substr(aRight.size() - next, kBlockBytes)) {
      break;
    }
    shared = next;
  }
  const std::string_view left = aLeft.substr(0, aLeft.size() - shared);
  const std::string_view right = aRight.substr(0, aRight.size() - shared);
  const auto differs =
    std::mismatch(left.rbegin(), left.rend(), right.rbegin(), right.rend());
  return shared + static_cast<std::size_t>(differs.first - left.rbegin());
}

class PatchBuilder
{
public:
  explicit PatchBuilder(std::string_view aOld)
    : mOld(aOld)
  {
  }

  void copy(std::size_t aOffset, std::size_t aLength)
  {
    if (!mParts.empty() && mParts.back().length > 0 &&
        mParts.back().offset + mParts.back().length == aOffset) {
      mParts.back().length += aLength;
    } else if (aLength > 0) {
      mParts.push_back({ aOffset, aLength, {} });
    }
  }

  void write(std::string_view aBytes)
  {
    if (aBytes.empty()) {
      return;
    }
    if (mParts.empty() || mParts.back().length > 0) {
      mParts.emplace_back();
    }
    mParts.back().bytes += aBytes;
    mBytes += aBytes.size();
  }

  std::size_t bytes() const { return mBytes + mParts.size() * kPartBytes; }

  /** @return the parts, without copies that are too short to be worth it */
  std::vector<PatchPart> finish()
  {
    PatchBuilder merged(mOld);
    for (const PatchPart& part : mParts) {
      if (part.length >= kMinCopy) {
        merged.copy(part.offset, part.length);
      } else if (part.length > 0) {
        merged.write(mOld.substr(part.offset, part.length));
      } else {
        merged.write(part.bytes);
      }
    }
    return std::move(merged.mParts);
  }

private:
  std::string_view mOld;
  std::vector<PatchPart> mParts;
  std::size_t mBytes = 0;
};

/** Offsets of the chunks of a range of a text. Made only once an element is not
 * where it was. */
class ChunkIndex
{
public:
  ChunkIndex(std::string_view aText, std::size_t aBegin, std::size_t aEnd)
    : mText(aText.substr(0, aEnd))
    , mBegin(aBegin)
  {
  }

  std::optional<std::size_t> find(std::string_view aChunk)
  {
    if (!mBuilt) {
      build();
    }
    const auto found = mOffsets.find(aChunk);
    return found == mOffsets.end() ? std::nullopt
                                   : std::optional(found->second);
  }

private:
  void build()
  {
    mBuilt = true;
    for (std::size_t at = mBegin; at < mText.size();) {
      const std::string_view chunk = chunkAt(mText, at);
      mOffsets.emplace(chunk, at);
      at += chunk.size();
    }
  }

  std::string_view mText;
  std::size_t mBegin;
  bool mBuilt = false;
  std::unordered_map<std::string_view, std::size_t> mOffsets;
};

} // namespace

std::optional<TextPatch>
makePatch(std::string_view aOld, std::string_view aNew, std::size_t aMaxBytes)
{
  const std::size_t shorter = std::min(aOld.size(), aNew.size());
  const std::size_t prefix = sharedPrefix(aOld, aNew);
  const std::size_t suffix =
    std::min(sharedSuffix(aOld, aNew), shorter - prefix);
  const std::size_t oldEnd = aOld.size() - suffix;
  const std::size_t newEnd = aNew.size() - suffix;

  PatchBuilder builder(aOld);
  builder.copy(0, prefix);
  ChunkIndex index(aOld, prefix, oldEnd);
  std::size_t expected = prefix; // where the next chunk of the old text begins
  for (std::size_t at = prefix; at < newEnd;) {
    const std::string_view chunk = chunkAt(aNew.substr(0, newEnd), at);
    at += chunk.size();
    std::optional<std::size_t> offset;
    if (aOld.substr(0, oldEnd).substr(expected).starts_with(chunk)) {
      offset = expected;
    } else if (chunk.size() >= kMinCopy) {
      offset = index.find(chunk);
    }
    if (offset) {
      builder.copy(*offset, chunk.size());
      expected = *offset + chunk.size();
      continue;
    }
    builder.write(chunk);
    // A chunk that was replaced: the ones behind it may be as they were.
    expected += chunkAt(aOld.substr(0, oldEnd), expected).size();
    if (builder.bytes() > aMaxBytes) {
      return std::nullopt;
    }
  }
  builder.copy(oldEnd, suffix);
  TextPatch patch{ builder.finish(), base::hash64(aNew) };
  return patchBytes(patch) > aMaxBytes ? std::nullopt
                                       : std::optional(std::move(patch));
}

std::size_t
patchBytes(const TextPatch& aPatch)
{
  std::size_t bytes = 0;
  for (const PatchPart& part : aPatch.parts) {
    bytes += kPartBytes + part.bytes.size();
  }
  return bytes;
}

namespace {

/** @return size of the text that a patch makes, at most a limit */
std::size_t
resultSize(const TextPatch& aPatch, std::size_t aMaxBytes)
{
  std::size_t bytes = 0;
  for (const PatchPart& part : aPatch.parts) {
    bytes += std::min(part.length, aMaxBytes - bytes);
    bytes += std::min(part.bytes.size(), aMaxBytes - bytes);
  }
  return bytes;
}

} // namespace

std::optional<std::string>
applyPatch(const TextPatch& aPatch,
           std::string_view aOld,
           std::size_t aMaxBytes)
{
  std::string text;
  text.reserve(resultSize(aPatch, aMaxBytes));
  for (const PatchPart& part : aPatch.parts) {
    if (part.offset > aOld.size() || part.length > aOld.size() - part.offset ||
        part.length + part.bytes.size() > aMaxBytes - text.size()) {
      return std::nullopt;
    }
    text += aOld.substr(part.offset, part.length);
    text += part.bytes;
  }
  if (base::hash64(text) != aPatch.resultHash) {
    return std::nullopt;
  }
  return text;
}

} // namespace marigold::platform
