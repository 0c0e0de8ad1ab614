// Messages of the version that deploy/system.toml names as the one in
// production: during an upgrade its VMs and those of this version serve side by
// side.
#include "peers/peers.h"
#include "peers/tests/sample_messages.h"

// Before CppUTest, whose macros replace operator new.
#include <algorithm>
#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace marigold;
using nlohmann::json;

namespace {

/** A message, and how the version in production encodes it. */
struct RecordedMessage
{
  peers::Message message;
  json recorded;
};

std::vector<RecordedMessage>
recordedMessages()
{
  constexpr peers::StreamId kLargest = ~peers::StreamId{ 0 };
  return {
    { peers::sampleStatus(3),
      json::parse(
        R"([5,0,["vm1","dc1",7,3,12,true,{"t":101},{},["vm9"],
            {"u":[2,30,4,5000,3,9,1,8,6,2]},{"m/a1":[12,3,1,[[7,2]]]},
            [[31,250,[[4,7],[6]],[8],[[4,1,3000]],[4]]],{"u2":9},
            [[33,700,true,3]],[300,[400,2000]],[[35,5,1300000000]],
            [["chat",4,600]]]])") },
    { peers::sampleSummary("r", 8, 6),
      json::parse(
        R"([5,1,["dc2","r",5,8,3,{"vm7":[4,9,true,{"t":20}]},{},["vm8"],
            {"u":[6,0,0,100]},{"m":[50,2,1]},[[32,1000,[[2]],[],[],[]]],
            {"u3":2},true,[[34,1200,false,8]],[100,[]],[[36,6,1400000000]],
            []]])") },
    { peers::samplePlacementUpdate(),
      json::parse(
        R"([5,2,["vm1",44,5,true,{"u":[{"m":["a1","a2"]},["n"]]},[1500]]])") },
    { peers::CrashReport{ peers::sampleStatus(1).crashes },
      json::parse(R"([5,3,[[31,250,[[4,7],[6]],[8],[[4,1,3000]],[4]]]])") },
    { peers::StreamReport{ { { kLargest, 7 }, { 2, 0xffffffff } } },
      json::parse(R"([5,4,[18446744073709551615,7,2,4294967295]])") },
    { peers::StreamQuery{ "vm1", { kLargest, 3 } },
      json::parse(R"([5,5,["vm1",[18446744073709551615,3]]])") },
  };
}

/** @return true if a reader by position finds all of aRecorded in aOther; what
 * is appended to an array is not read */
bool
extends(const json& aRecorded, const json& aOther)
{
  if (aRecorded.is_array() && aOther.is_array()) {
    return aRecorded.size() <= aOther.size() &&
           std::equal(
             aRecorded.begin(), aRecorded.end(), aOther.begin(), extends);
  }
  if (aRecorded.is_object() && aOther.is_object()) {
    return std::all_of(aRecorded.items().begin(),
                       aRecorded.items().end(),
                       [&aOther](const auto& aItem) {
                         return aOther.contains(aItem.key()) &&
                                extends(aItem.value(), aOther[aItem.key()]);
                       });
  }
  return aRecorded == aOther;
}

std::string
bytesOf(const json& aMessage)
{
  const auto bytes = json::to_msgpack(aMessage);
  return { bytes.begin(), bytes.end() };
}

json
encoded(const peers::Message& aMessage)
{
  return json::from_msgpack(peers::encode(aMessage));
}

} // namespace

TEST_GROUP(Upgrade){};

// Guards against a VM that ignores, or misreads, what VMs report that are not
// upgraded yet.
TEST(Upgrade, MessagesOfTheVersionInProductionAreRead)
{
  for (const RecordedMessage& row : recordedMessages()) {
    const auto decoded =
      base::capture([&row] { return peers::decode(bytesOf(row.recorded)); });
    CHECK(base::errorOf(decoded) == nullptr);
    CHECK(extends(row.recorded, encoded(std::get<peers::Message>(decoded))));
  }
}

// Guards against VMs that are not upgraded yet and misread what this version
// reports: fields are only appended.
TEST(Upgrade, MessagesAreReadByTheVersionInProduction)
{
  for (const RecordedMessage& row : recordedMessages()) {
    CHECK(extends(row.recorded, encoded(row.message)));
  }
}
