/** @file Incremental parser of HTTP/1.1 messages. */
#pragma once

#include "wire/message.h"

#include <functional>
#include <http_parser.h>

namespace marigold::wire {

/** Callbacks of the parser. A callback must not destroy the parser. */
struct ParserEvents
{
  /** The headers are complete. Returns false if the response has no body. */
  std::function<bool()> head;
  std::function<void(std::string_view)> body;
  std::function<void()> complete;
};

/**
 * Parses the messages of one direction of a connection, one at a time. It stops
 * at the end of each message and leaves the bytes after it to the caller.
 */
class Parser
{
public:
  enum class Kind : std::uint8_t
  {
    Requests,
    Responses,
  };

  /**
   * @param aKind whether to parse requests or responses
   * @param aHeaderLimit maximum size of start line and headers in bytes
   * @param aEvents callbacks
   */
  Parser(Kind aKind, std::size_t aHeaderLimit, ParserEvents aEvents);
  Parser(const Parser&) = delete;
  Parser& operator=(const Parser&) = delete;

  /**
   * @param aBytes bytes from the connection
   * @return number of bytes consumed; fewer than given if the message ended
   */
  std::size_t feed(std::string_view aBytes);

  /** Reports that the peer closed the connection in an orderly way. This
   * completes a close-delimited response; any other message fails. */
  void feedEof();

  /** Resets the parser for the next message. */
  void reset();

  /** @return true if the bytes are not a valid message */
  bool failed() const { return mFailed; }

  /** @return true if start line and headers exceed the limit */
  bool headerTooLarge() const { return mHeaderTooLarge; }

  /** @return true if a part other than the body exceeds its limit: start line,
   * headers, a chunk header or the trailers */
  bool oversized() const { return mHeaderTooLarge || mOverflow; }

  /** @return true once the message is complete */
  bool completed() const { return mComplete; }

  /** @return true once a byte of the current message was parsed */
  bool started() const { return mStarted; }

  /** @return true once the headers of the current message were parsed */
  bool headersComplete() const { return mHeadersComplete; }

  /** @return the announced size of the body, 0 if there is none */
  std::size_t contentLength() const { return mContentLength; }

  /** @return true if the connection may be reused after this message */
  bool keepAlive() const { return mKeepAlive; }

  const std::string& target() const { return mTarget; }
  http::Headers& headers() { return mHeaders; }
  int status() const { return mStatus; }
  std::string method() const;
  bool isHttp11() const;

private:
  static Parser* self(http_parser* aNative);
  static int onUrl(http_parser* aNative, const char* aData, std::size_t aSize);
  static int onField(http_parser* aNative,
                     const char* aData,
                     std::size_t aSize);
  static int onValue(http_parser* aNative,
                     const char* aData,
                     std::size_t aSize);
  static int onHeadersComplete(http_parser* aNative);
  static int onBody(http_parser* aNative, const char* aData, std::size_t aSize);
  static int onComplete(http_parser* aNative);
  static const http_parser_settings& callbacks();
  bool countHeaderBytes(std::size_t aSize);
  void noteStatusLine(std::string_view aBytes);

  http_parser mNative{};
  Kind mKind;
  std::size_t mHeaderLimit;
  ParserEvents mEvents;
  std::string mStatusLine; ///< its beginning
  std::string mTarget;
  http::Headers mHeaders;
  std::size_t mHeaderBytes = 0;
  int mStatus = 0;
  std::size_t mContentLength = 0;
  bool mLastFieldHasValue = true;
  bool mStarted = false;
  bool mHeadersComplete = false;
  bool mComplete = false;
  bool mKeepAlive = false;
  bool mFailed = false;
  bool mHeaderTooLarge = false;
  bool mOverflow = false;
};

} // namespace marigold::wire
