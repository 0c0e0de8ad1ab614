#include "http/kept_connection.h"

#include <charconv>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace marigold::http {
namespace {

using namespace std::chrono_literals;

/** Idle timeout of servers that announce none. */
constexpr base::Duration kDefaultIdleTimeout = 4s;
/** Covers the way of the response and that of the next request. */
constexpr base::Duration kIdleTimeoutMargin = 400ms;
/** Connections with less time are not kept. */
constexpr base::Duration kMinReuseTime = 100ms;

} // namespace

std::optional<base::Duration>
announcedIdleTimeout(const Headers& aHeaders)
{
  constexpr std::string_view kParameter = "timeout=";
  const std::string_view value = findHeader(aHeaders, "Keep-Alive");
  const std::size_t at = value.find(kParameter);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view digits = value.substr(at + kParameter.size());
  unsigned seconds = 0;
  const auto read =
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (read.ec != std::errc{}) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

std::optional<base::Duration>
reuseTime(std::optional<base::Duration> aIdleTimeout,
          base::Duration aSinceResponse)
{
  const base::Duration left = aIdleTimeout.value_or(kDefaultIdleTimeout) -
                              kIdleTimeoutMargin - aSinceResponse;
  return left < kMinReuseTime ? std::nullopt : std::optional(left);
}

base::Duration
sinceLastInput(int aDescriptor)
{
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (getsockopt(aDescriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return base::Duration::zero();
  }
  return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

} // namespace marigold::http
