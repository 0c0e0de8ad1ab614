#include "apps/entry/caller_request.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace marigold::entry {
namespace {

using base::Code;
using nlohmann::json;

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kBearer = "Bearer ";
constexpr std::string_view kKeyCookie = "marigold_key";
constexpr std::string_view kKeyParameter = "api_key";

/** Tokens that a chat request may produce if it does not say. */
constexpr int kDefaultMaxTokens = 256;
constexpr int kMostTokens = 1'000'000;

/** A prompt token is at least about four bytes long in the served languages. */
constexpr double kBytesPerToken = 4;

/** Engines name prefixes of prompts in blocks of this size. */
constexpr std::size_t kPrefixBlockBytes = 256;

/** Longer common prefixes are rare, and each block costs a hash. */
constexpr std::size_t kMostPrefixBlocks = 16;

/** Headers that concern one connection or carry the caller's key. */
constexpr std::array<std::string_view, 13> kNotForwarded{
  "Authorization",  "X-Api-Key",         "Cookie",
  "Host",           "Connection",        "Keep-Alive",
  "Upgrade",        "Transfer-Encoding", "TE",
  "Content-Length", "X-Request-Id",      "X-Priority",
  "X-Resume-From",
};

std::string
withoutQueryKey(std::string_view aQuery, const std::string& aKey)
{
  std::string kept;
  while (!aQuery.empty()) {
    const std::string_view pair = aQuery.substr(0, aQuery.find('&'));
    aQuery.remove_prefix(std::min(aQuery.size(), pair.size() + 1));
    // Names and values may be percent-encoded, so decoded ones are compared.
    const std::string decoded = http::percentDecode(pair);
    const bool isKeyParameter =
      decoded.substr(0, decoded.find('=')) == kKeyParameter;
    const bool revealsKey =
      !aKey.empty() && decoded.find(aKey) != std::string::npos;
    if (!isKeyParameter && !revealsKey) {
      kept += (kept.empty() ? "" : "&") + std::string(pair);
    }
  }
  return kept;
}

std::string
cookieValue(std::string_view aCookies, std::string_view aName)
{
  while (!aCookies.empty()) {
    std::string_view pair = aCookies.substr(0, aCookies.find(';'));
    aCookies.remove_prefix(std::min(aCookies.size(), pair.size() + 1));
    pair.remove_prefix(std::min(pair.find_first_not_of(' '), pair.size()));
    if (pair.starts_with(aName) && pair.substr(aName.size()).starts_with('=')) {
      return std::string(pair.substr(aName.size() + 1));
    }
  }
  return {};
}

/** Keeps the other cookies of a caller, because a service may need them. */
std::string
withoutKeyCookie(std::string_view aCookies)
{
  std::string kept;
  while (!aCookies.empty()) {
    std::string_view pair = aCookies.substr(0, aCookies.find(';'));
    aCookies.remove_prefix(std::min(aCookies.size(), pair.size() + 1));
    pair.remove_prefix(std::min(pair.find_first_not_of(' '), pair.size()));
    if (!pair.empty() && pair.substr(0, pair.find('=')) != kKeyCookie) {
      kept += (kept.empty() ? "" : "; ") + std::string(pair);
    }
  }
  return kept;
}

http::Request
forwardedRequest(const http::Request& aRequest, const std::string& aId)
{
  http::Request forward;
  forward.method = aRequest.method;
  forward.path = aRequest.path;
  const std::string key = callerKey(aRequest);
  forward.query = withoutQueryKey(aRequest.query, key);
  forward.body = aRequest.body;
  for (const auto& header : aRequest.headers) {
    const std::string& name = header.first;
    const std::string& value = header.second;
    const bool dropped = std::any_of(
      kNotForwarded.begin(), kNotForwarded.end(), [&](std::string_view aName) {
        return http::equalIgnoringCase(aName, name);
      });
    // A caller may repeat its key in a header that the system does not know.
    const bool revealsKey =
      !key.empty() && value.find(key) != std::string::npos;
    if (!dropped && !revealsKey) {
      forward.headers.emplace_back(name, value);
    }
  }
  const std::string cookies =
    withoutKeyCookie(http::findHeader(aRequest.headers, "Cookie"));
  if (!cookies.empty() &&
      (key.empty() || cookies.find(key) == std::string::npos)) {
    forward.headers.emplace_back("Cookie", cookies);
  }
  forward.headers.emplace_back("X-Request-Id", aId);
  return forward;
}

/** @return names of the prompt's prefixes in blocks, as engines publish them */
std::vector<std::string>
prefixesOf(const std::string& aModel, const json& aContent)
{
  std::string prompt;
  for (const json& message : aContent.value("messages", json::array())) {
    if (message.is_object() && message.contains("content") &&
        message["content"].is_string()) {
      prompt += message["content"].get<std::string>();
      prompt += '\n';
    }
  }
  std::vector<std::string> prefixes;
  const std::uint64_t seed = base::hash64(aModel);
  for (std::size_t end = kPrefixBlockBytes;
       end <= prompt.size() && prefixes.size() < kMostPrefixBlocks;
       end += kPrefixBlockBytes) {
    std::array<char, 17> digits{};
    std::snprintf(digits.data(),
                  digits.size(),
                  "%016llx",
                  static_cast<unsigned long long>(base::hash64(
                    std::string_view(prompt).substr(0, end), seed)));
    prefixes.emplace_back(digits.data());
  }
  return prefixes;
}

bool
mayUse(const std::vector<base::TeamName>& aAllowed, const base::TeamName& aTeam)
{
  return aAllowed.empty() ||
         std::find(aAllowed.begin(), aAllowed.end(), aTeam) != aAllowed.end();
}

base::Result<void>
readChat(const http::Request& aRequest,
         const config::Manifest& aManifest,
         base::TimePoint aNow,
         CallerRequest& aCaller)
{
  const json content = json::parse(aRequest.body, nullptr, false);
  if (aRequest.method != "POST" || !content.is_object() ||
      !content.contains("model") || !content["model"].is_string()) {
    return base::fail(Code::BadRequest,
                      "a chat request is a POST of a JSON object with a model");
  }
  const std::string model = content["model"];
  aCaller.isChat = true;
  aCaller.model = model.substr(0, model.find(':'));
  if (const auto colon = model.find(':'); colon != std::string::npos) {
    aCaller.adapter = model.substr(colon + 1);
  }
  const config::Model* declared = config::findModel(aManifest, aCaller.model);
  const auto isAdapter = [&](const config::Adapter& aAdapter) {
    return aAdapter.name == aCaller.adapter;
  };
  if (declared == nullptr ||
      (!aCaller.adapter.empty() && std::none_of(declared->adapters.begin(),
                                                declared->adapters.end(),
                                                isAdapter))) {
    return base::fail(Code::ModelUnknown,
                      "the manifest declares no model \"" + model + "\"");
  }
  if (!mayUse(declared->teams, aCaller.team)) {
    return base::fail(Code::TeamNotAllowed,
                      "the team may not use model \"" + aCaller.model + "\"");
  }
  int maxTokens = kDefaultMaxTokens;
  if (content.contains("max_tokens")) {
    const json& wanted = content["max_tokens"];
    if (!wanted.is_number_integer() || wanted < 1 || wanted > kMostTokens) {
      return base::fail(Code::BadRequest,
                        "max_tokens is a whole number from 1 to 1000000");
    }
    maxTokens = wanted;
  } else {
    // The engine must not produce more than was charged.
    json limited = content;
    limited["max_tokens"] = maxTokens;
    aCaller.forward.body = limited.dump();
  }
  if (content.contains("stream")) {
    if (!content["stream"].is_boolean()) {
      return base::fail(Code::BadRequest, "stream is true or false");
    }
    aCaller.streamed = content["stream"];
  }
  aCaller.prefixes = prefixesOf(model, content);
  aCaller.cost =
    static_cast<double>(aRequest.body.size()) / kBytesPerToken + maxTokens;
  aCaller.deadline = aNow + declared->deadline;
  return {};
}

struct RouteMatch
{
  const config::Service* service = nullptr;
  const config::Route* route = nullptr;
};

/** Finds the route with the longest matching prefix. */
RouteMatch
findRoute(const config::Manifest& aManifest, const http::Request& aRequest)
{
  RouteMatch best;
  for (const config::Service& service : aManifest.services) {
    for (const config::Route& route : service.routes) {
      const bool longer =
        best.route == nullptr ||
        route.pathPrefix.size() > best.route->pathPrefix.size();
      if (route.method == aRequest.method && longer &&
          aRequest.path.starts_with(route.pathPrefix)) {
        best = { &service, &route };
      }
    }
  }
  return best;
}

base::Result<void>
readServiceCall(const RouteMatch& aMatch,
                base::TimePoint aNow,
                CallerRequest& aCaller)
{
  const config::Route& route = *aMatch.route;
  if (!route.open && !mayUse(aMatch.service->teams, aCaller.team)) {
    return base::fail(Code::TeamNotAllowed,
                      "the team may not use service \"" + aMatch.service->name +
                        "\"");
  }
  aCaller.serviceName = aMatch.service->name;
  aCaller.idempotent = route.idempotent;
  aCaller.cost = route.cost;
  aCaller.deadline = aNow + route.deadline;
  return {};
}

} // namespace

std::string
callerKey(const http::Request& aRequest)
{
  const std::string_view authorization =
    http::findHeader(aRequest.headers, "Authorization");
  if (authorization.size() > kBearer.size() &&
      http::equalIgnoringCase(authorization.substr(0, kBearer.size()),
                              kBearer)) {
    return std::string(authorization.substr(kBearer.size()));
  }
  const std::string_view header =
    http::findHeader(aRequest.headers, "X-Api-Key");
  if (!header.empty()) {
    return std::string(header);
  }
  std::string parameter = http::queryValue(aRequest.query, kKeyParameter);
  if (!parameter.empty()) {
    return parameter;
  }
  return cookieValue(http::findHeader(aRequest.headers, "Cookie"), kKeyCookie);
}

base::Result<CallerRequest>
readCallerRequest(const http::Request& aRequest,
                  const Configuration& aConfiguration,
                  const std::string& aId,
                  base::TimePoint aNow)
{
  const config::Manifest& manifest = aConfiguration.manifest();
  CallerRequest caller;
  caller.id = aId;
  caller.forward = forwardedRequest(aRequest, aId);
  const bool isChat = aRequest.path == kChatPath;
  const RouteMatch match =
    isChat ? RouteMatch{} : findRoute(manifest, aRequest);
  const bool open = match.route != nullptr && match.route->open;
  if (!open) {
    BOOST_LEAF_AUTO(record,
                    aConfiguration.keys().authenticate(
                      callerKey(aRequest), aConfiguration.withdrawals().ids()));
    caller.team = record.team;
    caller.keyId = record.id;
    const config::Team* team = config::findTeam(manifest, caller.team);
    if (team == nullptr) {
      return base::fail(Code::TeamNotAllowed,
                        "the manifest declares no team \"" + caller.team +
                          "\"");
    }
    caller.priority = team->priority;
  }
  if (isChat) {
    BOOST_LEAF_CHECK(readChat(aRequest, manifest, aNow, caller));
  } else if (match.route != nullptr) {
    BOOST_LEAF_CHECK(readServiceCall(match, aNow, caller));
  } else {
    return base::fail(Code::RouteUnknown,
                      "no route for " + aRequest.method + " " + aRequest.path);
  }
  return caller;
}

} // namespace marigold::entry
