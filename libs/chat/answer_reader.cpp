#include "chat/answer_reader.h"

#include "platform/untrusted_json.h"

#include <algorithm>
#include <array>
#include <exception>
#include <map>
#include <nlohmann/json.hpp>

namespace marigold::chat {
namespace {

using nlohmann::json;

constexpr std::string_view kFinalData = "[DONE]";
constexpr std::int64_t kMaxChoiceIndex = 127;

/** Texts that an engine sends whole; all others come in pieces. */
constexpr std::array<std::string_view, 4> kWholeTexts{
  "role",
  "id",
  "type",
  "name",
};

/** @return the joined data lines of an event; empty for a comment */
std::string
dataOf(std::string_view aEvent)
{
  constexpr std::string_view kField = "data:";
  std::string data;
  while (!aEvent.empty()) {
    const std::size_t end = std::min(aEvent.find('\n'), aEvent.size());
    std::string_view line = aEvent.substr(0, end);
    aEvent.remove_prefix(std::min(end + 1, aEvent.size()));
    if (!line.starts_with(kField)) {
      continue;
    }
    line.remove_prefix(kField.size());
    if (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    data += (data.empty() ? "" : "\n") + std::string(line);
  }
  return data;
}

bool
comesInPieces(const std::string& aField)
{
  return std::find(kWholeTexts.begin(), kWholeTexts.end(), aField) ==
         kWholeTexts.end();
}

void
mergeObject(json& aInto, const json& aPiece);

/** Items with the same index are pieces of one, as those of a tool call. */
void
mergeList(json& aInto, const json& aPiece)
{
  for (const json& item : aPiece) {
    const auto sameIndex = [&item](const json& aOther) {
      return item.is_object() && aOther.is_object() && item.contains("index") &&
             aOther.contains("index") && item["index"] == aOther["index"];
    };
    const auto known = std::find_if(aInto.begin(), aInto.end(), sameIndex);
    if (known != aInto.end()) {
      mergeObject(*known, item);
    } else {
      aInto.push_back(item);
    }
  }
}

void
mergeObject(json& aInto, const json& aPiece)
{
  for (const auto& [field, value] : aPiece.items()) {
    json& target = aInto[field];
    if (target.is_string() && value.is_string() && comesInPieces(field)) {
      target.get_ref<std::string&>() += value.get_ref<const std::string&>();
    } else if (target.is_object() && value.is_object()) {
      mergeObject(target, value);
    } else if (target.is_array() && value.is_array()) {
      mergeList(target, value);
    } else if (!value.is_null()) {
      target = value;
    }
  }
}

/** @return the message without the indices that only pieces have */
json
messageOf(json aDelta)
{
  const auto calls = aDelta.find("tool_calls");
  if (calls != aDelta.end() && calls->is_array()) {
    for (json& call : *calls) {
      if (call.is_object()) {
        call.erase("index");
      }
    }
  }
  return aDelta;
}

} // namespace

/** What was joined so far. */
struct AnswerReader::Joined
{
  struct Choice
  {
    json message = json::object();
    json finishReason;
    json logProbabilities;
  };

  bool add(const json& aChunk);
  bool addChoice(const json& aPiece);

  json head = json::object(); ///< fields that all chunks share
  json usage;
  std::map<std::int64_t, Choice> choices;
  std::size_t bytes = 0;
};

bool
AnswerReader::Joined::add(const json& aChunk)
{
  const auto pieces =
    aChunk.is_object() ? aChunk.find("choices") : aChunk.end();
  if (!aChunk.is_object() || aChunk.contains("error") ||
      pieces == aChunk.end() || !pieces->is_array()) {
    return false;
  }
  if (head.empty()) {
    head = aChunk;
    head.erase("choices");
    head.erase("usage");
  }
  const auto used = aChunk.find("usage");
  if (used != aChunk.end() && !used->is_null()) {
    usage = *used;
  }
  return std::all_of(pieces->begin(),
                     pieces->end(),
                     [this](const json& aPiece) { return addChoice(aPiece); });
}

bool
AnswerReader::Joined::addChoice(const json& aPiece)
{
  if (!aPiece.is_object() || !aPiece.contains("index") ||
      !aPiece["index"].is_number_unsigned() ||
      aPiece["index"] > kMaxChoiceIndex) {
    return false;
  }
  Choice& choice = choices[aPiece["index"].get<std::int64_t>()];
  if (const auto delta = aPiece.find("delta");
      delta != aPiece.end() && delta->is_object()) {
    mergeObject(choice.message, *delta);
  }
  if (const auto reason = aPiece.find("finish_reason");
      reason != aPiece.end() && !reason->is_null()) {
    choice.finishReason = *reason;
  }
  if (const auto logged = aPiece.find("logprobs");
      logged != aPiece.end() && logged->is_object()) {
    if (choice.logProbabilities.is_null()) {
      choice.logProbabilities = json::object();
    }
    mergeObject(choice.logProbabilities, *logged);
  }
  return true;
}

AnswerReader::AnswerReader(bool aJoins, base::MemoryBudget& aMemory)
  : mJoined(aJoins ? std::make_unique<Joined>() : nullptr)
  , mCharge(aMemory)
{
}

AnswerReader::~AnswerReader() = default;

bool
AnswerReader::add(std::string_view aEvent)
{
  const std::string data = dataOf(aEvent);
  if (data == kFinalData) {
    mComplete = true;
    return true;
  }
  if (!joins() || data.empty()) {
    return true;
  }
  mJoined->bytes += data.size();
  mCharge.set(mJoined->bytes);
  if (mComplete || mJoined->bytes > kMaxJoinedBytes) {
    return false;
  }
  try {
    return mJoined->add(platform::parseUntrusted(data));
  } catch (const std::exception&) {
    return false; // The caller of this function logs the refusal of the event.
  }
}

std::string
AnswerReader::joined() const
{
  json answer = mJoined->head;
  answer["object"] = "chat.completion";
  answer["choices"] = json::array();
  for (const auto& [index, choice] : mJoined->choices) {
    answer["choices"].push_back({ { "index", index },
                                  { "message", messageOf(choice.message) },
                                  { "logprobs", choice.logProbabilities },
                                  { "finish_reason", choice.finishReason } });
  }
  if (!mJoined->usage.is_null()) {
    answer["usage"] = mJoined->usage;
  }
  return answer.dump();
}

} // namespace marigold::chat
