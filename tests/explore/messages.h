/** @file What callers and upstreams of the explored world send. */
#pragma once

#include "base/base.h"

#include <string>
#include <vector>

namespace marigold::explore {

inline constexpr const char* kEndOfHead = "\r\n\r\n";
/** Bytes of the body of each request. */
inline constexpr std::size_t kBodySize = 5;
/** Time that each caller gives for an answer. */
inline constexpr base::Duration kDeadline = std::chrono::seconds(3);

/** Kinds of requests, which their paths and the first letters of their ids
 * tell. */
enum class RequestKind : std::uint8_t
{
  Once,
  Again,
  Events,
  Count
};

/** What an upstream answers. */
enum class AnswerKind : std::uint8_t
{
  Whole,    ///< with a length, or in chunks
  Unframed, ///< ends with its connection
  Short,    ///< unframed, a stream that ends between two events
  Cut,      ///< unframed, a stream that ends inside an event
  Unsigned, ///< a success that is not the upstream's
  Invalid,  ///< signed, with a status that HTTP doesn't have
  Busy,     ///< not executed
  Failed
};

/** @return true if it ends with its connection */
bool
endsWithConnection(AnswerKind aKind);

/** @param aNumber of the request @param aLarge it asks for a large answer
 * @return id that tells the kind of the request */
std::string
makeId(RequestKind aKind, std::size_t aNumber, bool aLarge);

/** @param aId id of a request */
bool
isStream(const std::string& aId);
bool
mayRunOnce(const std::string& aId);

/** @param aId id of a request @return the request */
std::string
requestText(const std::string& aId);

/** @param aId id of a request @return body of its answer */
const std::string&
bodyFor(const std::string& aId);

/** @param aId id of a request @param aKind kind of answer @return the answer */
std::string
answerText(const std::string& aId, AnswerKind aKind);

/** @return length of a part of the answer: half of the events of a stream, or
 * all but the last bytes of a body */
std::size_t
halfOf(const std::string& aAnswer);

/** @return value of a field, empty if it is absent */
std::string
headerOf(const std::string& aHead, const std::string& aName);

/** An answer as its caller sees it. */
struct Answer
{
  int status = 0; ///< 0 while its head is incomplete
  std::string id;
  std::string body;
  std::string code; ///< why the process refuses
  bool notRun = false;
  bool unknown = false; ///< it says that the request may have run
  bool last = false;    ///< it says that the connection will be closed
  bool complete = false;
};

/** @param aAnswer to a caller @return true for the last response of an idle
 * connection, which a request that crosses the close gets; without such a
 * request it answers none */
bool
isClosingRefusal(const Answer& aAnswer);

/** @param aReceived bytes of a connection @return the answers in them */
std::vector<Answer>
parseAnswers(const std::string& aReceived);

} // namespace marigold::explore
