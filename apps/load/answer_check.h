/** @file Checks an answer for truncation and mix-ups from its bytes alone. */
#pragma once

#include "apps/load/scenario.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace marigold::load {

/** Parses an answer and compares it with the one that the request expects. */
class AnswerCheck
{
public:
  /** @param aRequestClass class of the request, must outlive the check
   * @param aReference reference of the request */
  AnswerCheck(const RequestClass& aRequestClass, std::string aReference);

  /** @param aBytes next part of the body @return number of events
   * completed by it; 0 unless a stream */
  int feed(std::string_view aBytes);

  /** Checks the complete body. @param aStatus HTTP status
   * @param aComplete false if the connection was lost */
  void finish(int aStatus, bool aComplete);

  /** @return true if every token arrived once and in order, followed by the
   * end marker */
  bool whole() const { return mWhole; }

  /** @return true if part of the answer belongs to another request */
  bool foreign() const { return mForeign; }

  /** @return true if the answer is not whole, but ended regularly and without
   * an error */
  bool silentlyTruncated() const { return mSilentlyTruncated; }

  /** @return name of the result code in a refusal or error event */
  const std::string& code() const { return mCode; }

  int tokens() const { return mTokens; }

private:
  void readEvent(std::string_view aEvent);
  void readTokens(const std::string& aText);
  void readError(const nlohmann::json& aContent);
  void finishStream(bool aComplete);
  void finishPlain(bool aComplete);

  const RequestClass& mRequestClass;
  std::string mReference;
  std::string mBuffer; ///< body; of a stream, the incomplete last event
  std::string mCode;
  int mTokens = 0;
  bool mOrdered = true;
  bool mDone = false;
  bool mAfterDone = false;
  bool mErrorEvent = false;
  bool mWhole = false;
  bool mForeign = false;
  bool mSilentlyTruncated = false;
};

} // namespace marigold::load
