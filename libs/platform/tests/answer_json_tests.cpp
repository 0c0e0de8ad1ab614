/** @file Tests of the parser of texts with large strings. */
#include "platform/answer_json.h"

#include "base/base.h"

// Before CppUTest, whose macros replace operator new.
#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace marigold;
using nlohmann::json;

namespace {

void
checkAsParser(const std::string& aText)
{
  const json expected = json::parse(aText, nullptr, false);
  const json parsed = platform::parseAnswer(aText);
  CHECK_TEXT(expected.is_discarded() == parsed.is_discarded(),
             aText.substr(0, 100).c_str());
  CHECK_TEXT(expected.is_discarded() || expected == parsed,
             aText.substr(0, 100).c_str());
}

} // namespace

TEST_GROUP(AnswerJson){};

// Guards against a large value that is read as another one, or a text that is
// no JSON and is read: every text is read as the parser reads it.
TEST(AnswerJson, TextsAreReadAsTheParserReadsThem)
{
  const std::string large(5000, 'x');
  const std::string texts[] = {
    R"({"v":")" + large + R"("})",
    R"({"v":")" + large + R"(","w":[1,")" + large + R"(y",{"v":")" + large +
      R"("}]})",
    // Strings that look like the marks, also when they are unescaped.
    R"({"v":")" + large + R"(","w":"large string 0"})",
    R"({"v":")" + large + R"(","w":"large string 1"})",
    R"({"v":")" + large + R"(","w":"large string 99999999999999999999"})",
    R"({"v":")" + large + R"(","w":"\u006carge string 0"})",
    R"({"v":")" + large + R"(","large string 0":1})",
    // Names, and a name twice, of which the last one counts.
    R"({")" + large + R"(":1})",
    R"({")" + large + R"(":")" + large + R"("})",
    R"({"v":")" + large + R"(","v":")" + large + R"(y"})",
    R"({"v":")" + large + R"(","v":1})",
    // Escapes, control characters, and bytes beyond ASCII.
    R"({"v":")" + large + R"(\n\""})",
    R"({"v":")" + large + R"(\\","w":")" + large + R"("})",
    R"({"v":")" + large + "\n" + R"("})",
    R"({"v":")" + large + "\x7f" + R"("})",
    R"({"v":")" + large + "\xc3\xa4" + R"("})",
    R"({"v":")" + large + "\xff" + R"("})",
    // Malformed.
    R"({"v":")" + large,
    R"({"v":")" + large + "\\",
    R"({"v":")" + large + R"("}x)",
    R"({"v":")" + large + R"("")" + large + R"("})",
    "\"" + large + "\"",
    large,
    std::string(2000, '[') + "\"" + large + "\"" + std::string(2000, ']'),
  };
  for (const std::string& text : texts) {
    checkAsParser(text);
    for (std::size_t cut = 1; cut < text.size(); cut += 997) {
      checkAsParser(text.substr(0, cut));
    }
  }
}

// The same for texts with a byte that has changed.
TEST(AnswerJson, ChangedTextsAreReadAsTheParserReadsThem)
{
  base::Random random(1);
  const std::string large(4200, 'x');
  const std::string text = R"({"a":")" + large +
                           R"(","b":["large string 0",")" + large +
                           R"("],"\"c\\":null})";
  const std::string bytes = "\"\\{}[],:0u\x01\xe9";
  for (int run = 0; run < 3000; ++run) {
    std::string changed = text;
    // Mostly near the quotes.
    const std::size_t near = random.below(60);
    const std::size_t at =
      random.below(3) == 0 ? near : changed.size() - 1 - near;
    changed[at] = bytes[random.below(bytes.size())];
    checkAsParser(changed);
  }
}
