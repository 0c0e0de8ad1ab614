/** @file What a caller can tell about an answer from its bytes. */
#pragma once

#include "apps/load/scenario.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace marigold::load {

/** Reads an answer and compares it with what the request must get. */
class AnswerCheck
{
public:
  /** @param aWork kind of request @param aReference its reference */
  AnswerCheck(const Work& aWork, std::string aReference);

  /** @param aBytes next part of the body @return events that are whole now */
  int feed(std::string_view aBytes);

  /** Looks at the whole body. @param aStatus HTTP status
   * @param aComplete false if the connection broke off */
  void finish(int aStatus, bool aComplete);

  /** @return true if every token arrived once, in order, and the end as well */
  bool whole() const { return mWhole; }

  /** @return true if a part of it answers another request */
  bool foreign() const { return mForeign; }

  /** @return true if it is not whole and nothing in it says so */
  bool cutSilently() const { return mCutSilently; }

  /** @return name of the result code in a refusal or error event */
  const std::string& code() const { return mCode; }

  int tokens() const { return mTokens; }

private:
  void readEvent(std::string_view aEvent);
  void readTokens(const std::string& aText);
  void readError(const nlohmann::json& aContent);
  void finishStream(bool aComplete);
  void finishPlain(bool aComplete);

  const Work& mWork;
  std::string mReference;
  std::string mBuffer; ///< of a stream: the event that is not whole yet
  std::string mCode;
  int mTokens = 0;
  bool mOrdered = true;
  bool mDone = false;
  bool mAfterDone = false;
  bool mErrorEvent = false;
  bool mWhole = false;
  bool mForeign = false;
  bool mCutSilently = false;
};

} // namespace marigold::load
