#include "apps/load/answer_check.h"

#include <nlohmann/json.hpp>
#include <sstream>

namespace marigold::load {
namespace {

using nlohmann::json;

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kData = "data: ";
constexpr int kOk = 200;

std::string
contentOf(const json& aChoice, const char* aMember)
{
  if (!aChoice.is_object() || !aChoice.contains(aMember) ||
      !aChoice[aMember].is_object()) {
    return "";
  }
  return aChoice[aMember].value("content", "");
}

} // namespace

AnswerCheck::AnswerCheck(const RequestClass& aRequestClass,
                         std::string aReference)
  : mRequestClass(aRequestClass)
  , mReference(std::move(aReference))
{
}

int
AnswerCheck::feed(std::string_view aBytes)
{
  mBuffer += aBytes;
  if (mRequestClass.kind != RequestKind::Stream) {
    return 0;
  }
  int events = 0;
  for (auto end = mBuffer.find(kEventEnd); end != std::string::npos;
       end = mBuffer.find(kEventEnd)) {
    readEvent(std::string_view(mBuffer).substr(0, end));
    mBuffer.erase(0, end + kEventEnd.size());
    ++events;
  }
  return events;
}

void
AnswerCheck::readEvent(std::string_view aEvent)
{
  if (!aEvent.starts_with(kData)) {
    return;
  }
  aEvent.remove_prefix(kData.size());
  mAfterDone = mAfterDone || mDone;
  if (aEvent == "[DONE]") {
    mDone = true;
    return;
  }
  const json content = json::parse(aEvent, nullptr, false);
  if (content.is_object() && content.contains("error")) {
    mErrorEvent = true;
    readError(content);
    return;
  }
  if (content.is_object() && content.contains("choices") &&
      content["choices"].is_array() && !content["choices"].empty()) {
    readTokens(contentOf(content["choices"][0], "delta"));
  }
}

void
AnswerCheck::readTokens(const std::string& aText)
{
  std::istringstream words(aText);
  std::string word;
  while (words >> word) {
    const auto dot = word.rfind('.');
    if (word.substr(0, dot) != mReference) {
      mForeign = true;
    }
    if (word.substr(dot + 1) != "t" + std::to_string(mTokens)) {
      mOrdered = false;
    }
    ++mTokens;
  }
}

void
AnswerCheck::readError(const json& aContent)
{
  const json& error = aContent["error"];
  if (error.is_object()) {
    mCode = error.value("code", "");
  }
}

void
AnswerCheck::finish(int aStatus, bool aComplete)
{
  if (aStatus != kOk) {
    const json content = json::parse(mBuffer, nullptr, false);
    if (content.is_object() && content.contains("error")) {
      readError(content);
    }
    return;
  }
  if (mRequestClass.kind == RequestKind::Stream) {
    finishStream(aComplete);
  } else {
    finishPlain(aComplete);
  }
}

void
AnswerCheck::finishStream(bool aComplete)
{
  const bool allTokens =
    mOrdered && mTokens == mRequestClass.tokens && !mForeign;
  mWhole = aComplete && mDone && !mAfterDone && !mErrorEvent && allTokens;
  // A lost connection is visible to the caller; a regular end is not.
  mSilentlyTruncated = aComplete && !mErrorEvent && !mWhole && !mForeign;
}

void
AnswerCheck::finishPlain(bool aComplete)
{
  const json content = json::parse(mBuffer, nullptr, false);
  bool correct = content.is_object();
  if (correct && mRequestClass.kind == RequestKind::Chat) {
    if (content.contains("choices") && !content["choices"].empty()) {
      readTokens(contentOf(content["choices"][0], "message"));
    }
    correct = mOrdered && mTokens == mRequestClass.tokens && !mForeign;
  } else if (correct) {
    mForeign = content.value("reference", "") != mReference;
    correct = !mForeign;
  }
  mWhole = aComplete && correct;
  mSilentlyTruncated = aComplete && !correct && !mForeign;
}

} // namespace marigold::load
