/** @file Tests of the scanner of JSON texts. */
#include "platform/platform.h"

#include <CppUTest/TestHarness.h>
#include <stdexcept>

using namespace marigold;

TEST_GROUP(JsonScanner){};

TEST(JsonScanner, FindsTheEndsOfValues)
{
  const std::string text = R"( {"a\\" : [1, {"b":"]}\""}] ,"c":-1.5e3 } )";
  platform::JsonScanner scanner(text);
  scanner.expect('{');
  STRCMP_EQUAL(R"("a\\")", std::string(scanner.skipValue()).c_str());
  scanner.expect(':');
  STRCMP_EQUAL(R"([1, {"b":"]}\""}])",
               std::string(scanner.skipValue()).c_str());
  CHECK(scanner.accept(','));
  scanner.skipValue();
  scanner.expect(':');
  STRCMP_EQUAL("-1.5e3", std::string(scanner.skipValue()).c_str());
  CHECK(!scanner.accept(','));
  scanner.expect('}');
  scanner.expectEnd();
}

TEST(JsonScanner, RefusesTextThatEndsOrLacksAValue)
{
  for (const char* text : { "", "  ", "[1", "{\"a", "\"a\\", ",", "}", ":" }) {
    platform::JsonScanner scanner(text);
    CHECK_THROWS(std::invalid_argument, scanner.skipValue());
  }
  platform::JsonScanner scanner("1 2");
  scanner.skipValue();
  CHECK_THROWS(std::invalid_argument, scanner.expectEnd());
  CHECK_THROWS(std::invalid_argument, scanner.expect('3'));
}
