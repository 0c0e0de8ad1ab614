/** @file Tests of patches of texts. */
#include "platform/platform.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace marigold;

TEST_GROUP(TextPatch)
{
  std::string text;

  static std::string element(std::uint64_t aNumber)
  {
    return R"({"name":"element-)" + std::to_string(aNumber) +
           R"(","list":[{"a":1},{"b":"}"}]})";
  }
  static std::string join(const std::vector<std::string>& aElements)
  {
    std::string joined = "[";
    for (const std::string& item : aElements) {
      joined += (joined.size() > 1 ? "," : "") + item;
    }
    return joined + "]";
  }
};

// Whatever is edited, the reader ends with the text of the writer.
TEST(TextPatch, SeriesOfEditsEndsAtTheSameText)
{
  base::Random random(7);
  std::vector<std::string> elements;
  std::string known = join(elements);
  for (int edit = 0; edit < 2000; ++edit) {
    const std::size_t at = random.below(elements.size() + 1);
    const auto position = elements.begin() + static_cast<std::ptrdiff_t>(at);
    switch (random.below(4)) {
      case 0:
        elements.insert(position, element(random.below(50)));
        break;
      case 1:
        if (position != elements.end()) {
          elements.erase(position);
        }
        break;
      case 2:
        if (position != elements.end()) {
          *position = element(random.below(1000));
        }
        break;
      default:
        std::rotate(elements.begin(), position, elements.end());
    }
    const std::string next = join(elements);
    const auto patch = platform::makePatch(known, next, next.size() * 4 + 200);
    CHECK(patch.has_value());
    const auto made = platform::applyPatch(*patch, known, 1UL << 20U);
    CHECK(made == next);
    known = next;
  }
}

TEST(TextPatch, MovedAndReplacedElementsCostLittle)
{
  std::vector<std::string> elements;
  for (std::uint64_t number = 0; number < 1000; ++number) {
    elements.push_back(element(number));
  }
  const std::string before = join(elements);
  std::rotate(elements.begin(), elements.begin() + 300, elements.end());
  elements[500] = element(5000);
  elements.erase(elements.begin() + 700);
  const auto patch = platform::makePatch(before, join(elements), 1000);
  CHECK(patch.has_value());
  CHECK(*platform::applyPatch(*patch, before, 1UL << 20U) == join(elements));
}

// Guards against a patch that is wrong or needlessly long where texts differ
// at the end or the begin of a block in which they are compared.
TEST(TextPatch, DifferencesAtAnyPlaceOfALongTextAreFound)
{
  base::Random random(11);
  std::string before;
  while (before.size() < 3 * 4096UL) {
    before += static_cast<char>('a' + random.below(26));
  }
  for (const std::size_t border : { 0UL, 4096UL, 8192UL, before.size() }) {
    for (std::size_t near = 0; near < 6; ++near) {
      const std::size_t at = std::min(border + near, before.size() + 2) -
                             std::min<std::size_t>(border, 3);
      for (const std::string_view bytes : { "", "0", "01234" }) {
        std::string after = before;
        after.replace(std::min(at, after.size()), 1, bytes);
        const auto patch = platform::makePatch(before, after, 200);
        CHECK(patch.has_value());
        CHECK(platform::patchBytes(*patch) <= 60);
        CHECK(platform::applyPatch(*patch, before, 1UL << 20U) == after);
      }
    }
  }
}

TEST(TextPatch, TextsWithNothingInCommonHaveNone)
{
  const std::string before(5000, 'a');
  const std::string after(5000, 'b');
  CHECK(!platform::makePatch(before, after, after.size() / 2));
}

// A part beyond the old text, or without end, must not be read.
TEST(TextPatch, RangesOutsideTheTextAreRefused)
{
  const auto apply = [](std::vector<platform::PatchPart> aParts) {
    return platform::applyPatch(
      { std::move(aParts), base::hash64("bc") }, "abcd", 8);
  };
  CHECK(apply({ { 1, 2, "" } }).has_value());
  CHECK(!apply({ { 3, 2, "" } }));
  CHECK(!apply({ { 5, 1, "" } }));
  CHECK(!apply({ { ~std::size_t{ 0 }, 2, "" } }));
  CHECK(!apply({ { 1, ~std::size_t{ 0 }, "" } }));
  CHECK(!apply({ { 0, 4, "" }, { 0, 4, "" }, { 0, 1, "" } })); // Too long.
  CHECK(!apply({ { 0, 2, "" } }));                             // Other text.
}
