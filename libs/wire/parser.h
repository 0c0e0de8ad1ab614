/** @file Incremental parser of HTTP/1.1 messages. */
#pragma once

#include "wire/message.h"

#include <functional>
#include <http_parser.h>

namespace marigold::wire {

/** What the parser reports; none of them may destroy the parser. */
struct ParserEvents
{
  /** The headers are complete. Returns false to skip the body of an answer. */
  std::function<bool()> head;
  std::function<void(std::string_view)> body;
  std::function<void()> complete;
};

/**
 * Reads messages of one direction of a connection, one at a time: it stops at
 * the end of each, so that bytes that follow are not taken for a part of it.
 */
class Parser
{
public:
  enum class Kind : std::uint8_t
  {
    Requests,
    Answers,
  };

  /**
   * @param aKind what is read
   * @param aHeaderLimit largest size of start line and headers in bytes
   * @param aEvents callbacks
   */
  Parser(Kind aKind, std::size_t aHeaderLimit, ParserEvents aEvents);
  Parser(const Parser&) = delete;
  Parser& operator=(const Parser&) = delete;

  /**
   * @param aBytes bytes from the connection
   * @return how many were used; fewer than given after the end of a message
   */
  std::size_t feed(std::string_view aBytes);

  /** The peer ended the connection in an orderly way, which completes an
   * answer without a length. */
  void feedEnd();

  /** Prepares for the next message. */
  void next();

  /** @return true if the bytes are no valid message */
  bool failed() const { return mFailed; }

  /** @return true if start line and headers are larger than the limit */
  bool headerTooLarge() const { return mHeaderTooLarge; }

  /** @return true if anything around the body is larger than its limit: start
   * line, headers, the line of a chunk or the trailers */
  bool oversized() const { return mHeaderTooLarge || mOverflow; }

  /** @return true once the message ended */
  bool completed() const { return mComplete; }

  /** @return true once a byte of the current message was read */
  bool started() const { return mStarted; }

  /** @return true once the headers of the current message were read */
  bool headSeen() const { return mHeadSeen; }

  /** @return true if the connection may serve a further message */
  bool keepAlive() const { return mKeepAlive; }

  /** @return true if the end of the message is the end of the connection */
  bool endsWithConnection() const { return mEndsWithConnection; }

  const std::string& target() const { return mTarget; }
  http::Headers& headers() { return mHeaders; }
  int status() const { return mStatus; }
  std::string method() const;
  bool isHttp11() const;

private:
  static Parser* self(http_parser* aNative);
  static int onUrl(http_parser* aNative, const char* aAt, std::size_t aSize);
  static int onField(http_parser* aNative, const char* aAt, std::size_t aSize);
  static int onValue(http_parser* aNative, const char* aAt, std::size_t aSize);
  static int onHeadersComplete(http_parser* aNative);
  static int onBody(http_parser* aNative, const char* aAt, std::size_t aSize);
  static int onComplete(http_parser* aNative);
  static const http_parser_settings& callbacks();
  bool countHeaderBytes(std::size_t aSize);

  http_parser mNative{};
  Kind mKind;
  std::size_t mHeaderLimit;
  ParserEvents mEvents;
  std::string mTarget;
  http::Headers mHeaders;
  std::size_t mHeaderBytes = 0;
  int mStatus = 0;
  bool mValueSeen = true;
  bool mStarted = false;
  bool mHeadSeen = false;
  bool mComplete = false;
  bool mKeepAlive = false;
  bool mEndsWithConnection = false;
  bool mFailed = false;
  bool mHeaderTooLarge = false;
  bool mOverflow = false;
};

} // namespace marigold::wire
