#include "apps/load/answer_check.h"

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

AnswerCheck::AnswerCheck(const Work& aWork, std::string aReference)
  : mWork(aWork)
  , mReference(std::move(aReference))
{
}

int
AnswerCheck::feed(std::string_view aBytes)
{
  mBuffer += aBytes;
  if (mWork.kind != Kind::Stream) {
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
  if (mWork.kind == Kind::Stream) {
    finishStream(aComplete);
  } else {
    finishPlain(aComplete);
  }
}

void
AnswerCheck::finishStream(bool aComplete)
{
  const bool allTokens = mOrdered && mTokens == mWork.tokens && !mForeign;
  mWhole = aComplete && mDone && !mAfterDone && !mErrorEvent && allTokens;
  // A connection that breaks off tells the caller; a regular end does not.
  mCutSilently = aComplete && !mErrorEvent && !mWhole && !mForeign;
}

void
AnswerCheck::finishPlain(bool aComplete)
{
  const json content = json::parse(mBuffer, nullptr, false);
  bool right = content.is_object();
  if (right && mWork.kind == Kind::Chat) {
    if (content.contains("choices") && !content["choices"].empty()) {
      readTokens(contentOf(content["choices"][0], "message"));
    }
    right = mOrdered && mTokens == mWork.tokens && !mForeign;
  } else if (right) {
    mForeign = content.value("reference", "") != mReference;
    right = !mForeign;
  }
  mWhole = aComplete && right;
  mCutSilently = aComplete && !right && !mForeign;
}

} // namespace marigold::load
