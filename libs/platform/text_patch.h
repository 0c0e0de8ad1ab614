/** @file What changed from one version of a text to the next. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::platform {

/** A part of the new text: a range of the old text, or bytes of its own. */
struct PatchPart
{
  std::size_t offset = 0; ///< of the range
  std::size_t length = 0; ///< of the range; 0: the part is `bytes`
  std::string bytes;
};

/** Turns a version of a text into the next one. */
struct TextPatch
{
  std::vector<PatchPart> parts;
  std::uint64_t resultHash = 0; ///< base::hash64 of the new text
};

/**
 * Finds what two versions of a JSON text share, element by element; elements
 * that moved are found, too.
 * @param aOld text that the reader has
 * @param aNew text that the reader wants
 * @param aMaxBytes most that is worth sending
 * @return the patch, or nothing if it is larger
 */
std::optional<TextPatch>
makePatch(std::string_view aOld, std::string_view aNew, std::size_t aMaxBytes);

/** @param aPatch a patch @return about how many bytes it takes on the wire */
std::size_t
patchBytes(const TextPatch& aPatch);

/**
 * @param aPatch patch, of any content
 * @param aOld text to which it is applied
 * @param aMaxBytes longest text that is accepted
 * @return the new text, or nothing if the patch belongs to another text
 */
std::optional<std::string>
applyPatch(const TextPatch& aPatch,
           std::string_view aOld,
           std::size_t aMaxBytes);

} // namespace marigold::platform
