#include "wire/parser.h"

#include <algorithm>
#include <limits>

namespace marigold::wire {
namespace {

/** @return true if the message has a Content-Length that counts */
bool
announcesLength(const http_parser& aNative)
{
  return (aNative.flags & F_CHUNKED) == 0 &&
         aNative.content_length != std::numeric_limits<std::uint64_t>::max();
}

/** @return false if HTTP has no such status, or none with such headers */
bool
isValidResponse(int aStatus, const http::Headers& aHeaders)
{
  constexpr int kSwitchingProtocols = 101; // No request asks for it.
  if (aStatus < http::kFirstStatus || aStatus > http::kLastStatus ||
      aStatus == kSwitchingProtocols) {
    return false;
  }
  return aStatus >= http::kFirstFinalStatus || !http::isFramed(aHeaders);
}

/** @return true if a response without a body says that bytes follow. After 304
 * the headers are those of the body that was not sent. */
bool
announcesSurplus(const http_parser& aNative, const http::Headers& aHeaders)
{
  return static_cast<int>(aNative.status_code) == http::kNoContent &&
         http::isFramed(aHeaders) && aNative.content_length != 0;
}

} // namespace

Parser::Parser(Kind aKind, std::size_t aHeaderLimit, ParserEvents aEvents)
  : mKind(aKind)
  , mHeaderLimit(aHeaderLimit)
  , mEvents(std::move(aEvents))
{
  reset();
}

void
Parser::reset()
{
  http_parser_init(&mNative,
                   mKind == Kind::Requests ? HTTP_REQUEST : HTTP_RESPONSE);
  mNative.data = this;
  mStatusLine.clear();
  mTarget.clear();
  mHeaders.clear();
  mHeaderBytes = 0;
  mStatus = 0;
  mLastFieldHasValue = true;
  mStarted = false;
  mHeadersComplete = false;
  mComplete = false;
  mKeepAlive = false;
  mFailed = false;
  mHeaderTooLarge = false;
  mOverflow = false;
}

std::size_t
Parser::feed(std::string_view aBytes)
{
  if (mFailed || mComplete || aBytes.empty()) {
    return 0;
  }
  mStarted = true;
  noteStatusLine(aBytes);
  const std::size_t used =
    http_parser_execute(&mNative, &callbacks(), aBytes.data(), aBytes.size());
  const auto error = HTTP_PARSER_ERRNO(&mNative);
  if (error == HPE_PAUSED) {
    return used;
  }
  if (error != HPE_OK || (mNative.upgrade != 0 && mKind == Kind::Responses)) {
    mFailed = !mComplete;
    mOverflow = error == HPE_HEADER_OVERFLOW;
  }
  return used;
}

void
Parser::feedEof()
{
  if (mComplete || mFailed || !mStarted) {
    return;
  }
  http_parser_execute(&mNative, &callbacks(), nullptr, 0);
  if (!mComplete) {
    mFailed = true;
  }
}

std::string
Parser::method() const
{
  return http_method_str(static_cast<http_method>(mNative.method));
}

bool
Parser::isHttp11() const
{
  return mNative.http_major == 1 && mNative.http_minor == 1;
}

Parser*
Parser::self(http_parser* aNative)
{
  return static_cast<Parser*>(aNative->data);
}

bool
Parser::countHeaderBytes(std::size_t aSize)
{
  mHeaderBytes += aSize;
  mHeaderTooLarge = mHeaderBytes > mHeaderLimit;
  return !mHeaderTooLarge;
}

void
Parser::noteStatusLine(std::string_view aBytes)
{
  if (mKind == Kind::Requests || mHeadersComplete) {
    return;
  }
  if (mStatusLine.empty()) {
    // http_parser skips empty lines before a message.
    const std::size_t first = aBytes.find_first_not_of("\r\n");
    aBytes.remove_prefix(std::min(first, aBytes.size()));
  }
  mStatusLine += aBytes.substr(0, http::kStatusLineBytes - mStatusLine.size());
}

int
Parser::onUrl(http_parser* aNative, const char* aData, std::size_t aSize)
{
  self(aNative)->mTarget.append(aData, aSize);
  return self(aNative)->countHeaderBytes(aSize) ? 0 : 1;
}

int
Parser::onField(http_parser* aNative, const char* aData, std::size_t aSize)
{
  Parser* parser = self(aNative);
  if (parser->mHeadersComplete) {
    return 0; // Trailer fields are ignored.
  }
  if (parser->mLastFieldHasValue) {
    parser->mHeaders.emplace_back();
    parser->mLastFieldHasValue = false;
  }
  parser->mHeaders.back().first.append(aData, aSize);
  return parser->countHeaderBytes(aSize) ? 0 : 1;
}

int
Parser::onValue(http_parser* aNative, const char* aData, std::size_t aSize)
{
  Parser* parser = self(aNative);
  if (parser->mHeadersComplete) {
    return 0;
  }
  parser->mLastFieldHasValue = true;
  parser->mHeaders.back().second.append(aData, aSize);
  return parser->countHeaderBytes(aSize) ? 0 : 1;
}

int
Parser::onHeadersComplete(http_parser* aNative)
{
  constexpr int kSkipBody = 1;
  constexpr int kFail = -1;
  Parser* parser = self(aNative);
  const bool isResponse = parser->mKind == Kind::Responses;
  const int status = static_cast<int>(aNative->status_code);
  if (isResponse && (!http::hasThreeDigitStatus(parser->mStatusLine) ||
                     !isValidResponse(status, parser->mHeaders))) {
    return kFail;
  }
  parser->mHeadersComplete = true;
  parser->mStatus = status;
  parser->mContentLength =
    announcesLength(*aNative) ? aNative->content_length : 0;
  parser->mKeepAlive =
    http_should_keep_alive(aNative) != 0 &&
    !(isResponse && announcesSurplus(*aNative, parser->mHeaders));
  const bool wantsBody = parser->mEvents.head();
  const bool hasBody = !isResponse || mayHaveBody(parser->mStatus);
  return wantsBody && hasBody ? 0 : kSkipBody;
}

int
Parser::onBody(http_parser* aNative, const char* aData, std::size_t aSize)
{
  self(aNative)->mEvents.body({ aData, aSize });
  return 0;
}

int
Parser::onComplete(http_parser* aNative)
{
  Parser* parser = self(aNative);
  parser->mComplete = true;
  http_parser_pause(aNative, 1);
  parser->mEvents.complete();
  return 0;
}

const http_parser_settings&
Parser::callbacks()
{
  static const http_parser_settings kCallbacks = [] {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_url = &Parser::onUrl;
    settings.on_header_field = &Parser::onField;
    settings.on_header_value = &Parser::onValue;
    settings.on_headers_complete = &Parser::onHeadersComplete;
    settings.on_body = &Parser::onBody;
    settings.on_message_complete = &Parser::onComplete;
    return settings;
  }();
  return kCallbacks;
}

} // namespace marigold::wire
