#include "apps/gateway/exchange.h"

#include <algorithm>

namespace marigold::gateway {

using base::Code;

/** Takes from the body of a chat what other callers say in headers.
 * @return false if the request has ended */
bool
Exchange::acceptChat()
{
  if (mChatCall == chat::Call::None) {
    return true;
  }
  const bool servedByEngines =
    mService->engine && mRoute->kind == catalog::RequestKind::Stream;
  if (!servedByEngines) {
    mChatCall = chat::Call::None; // A path of a plain service.
    return true;
  }
  const bool isCompletion = mChatCall == chat::Call::Completion;
  const char* const method = isCompletion ? "POST" : "GET";
  if (mRequest.method != method) {
    fail(Code::BadRequest, std::string("the method of this call is ") + method);
    return false;
  }
  if (!isCompletion) {
    listModels();
    return false;
  }
  return acceptCompletion();
}

/** The tree of a body is gone before the next event, so nothing else can take
 * the memory meanwhile.
 * @return true if the request ended */
bool
Exchange::refuseWithoutMemoryToRead()
{
  const std::size_t needed = chat::memoryToRead(mRequest.body);
  if (needed > chat::kMaxTreeBytes || mContext.memory.admitsCopy(needed)) {
    return false;
  }
  refuseForMemory("to read the body");
  return true;
}

bool
Exchange::acceptCompletion()
{
  if (refuseWithoutMemoryToRead()) {
    return false;
  }
  auto result =
    base::capture([this] { return chat::readRequest(mRequest.body); });
  if (const base::Error* error = base::errorOf(result)) {
    fail(error->code, error->message);
    return false;
  }
  auto& request = std::get<chat::Request>(result);
  const auto& models = mService->engine->models;
  const auto model = models.find(request.model.model);
  const bool known =
    model != models.end() &&
    (request.model.adapter.empty() ||
     std::find(model->second.adapters.begin(),
               model->second.adapters.end(),
               request.model.adapter) != model->second.adapters.end());
  if (!known) {
    fail(Code::ModelUnknown, "there is no model of this name");
    return false;
  }
  mMetadata.model = std::move(request.model);
  mMetadata.hasTokenCounts = true;
  mMetadata.promptTokens = request.promptTokens;
  mMetadata.maxOutputTokens = request.maxOutputTokens;
  mMetadata.prompt = std::move(request.prompt);
  boundary::encodeRequest(mMetadata, mHeaders);
  mRequest.body = std::move(request.body);
  mChatAnswer =
    std::make_unique<chat::AnswerReader>(!request.streamed, mContext.memory);
  return true;
}

void
Exchange::listModels()
{
  std::vector<const catalog::Service*> services;
  for (const catalog::RouteTarget& target : mRoute->targets) {
    const auto service = mCatalog->content.services->find(target.service);
    if (service != mCatalog->content.services->end() &&
        service->second.engine) {
      services.push_back(&service->second);
    }
  }
  mCaller->reply(200,
                 { { "Content-Type", chat::kJsonType },
                   { boundary::kRequestIdHeader, mMetadata.id } },
                 chat::modelList(services));
  finish(Code::Ok, 200, "list of models");
}

/** The stream of the upstream is complete. */
void
Exchange::deliverStreamEnd()
{
  if (mChatAnswer && mChatAnswer->joins()) {
    http::Headers headers = wire::endToEndHeaders(mHead.headers);
    wire::removeHeader(headers, "Content-Type");
    headers.emplace_back("Content-Type", chat::kJsonType);
    mCaller->reply(mHead.status, headers, mChatAnswer->joined());
  } else {
    mCaller->endStream();
  }
  finish(Code::Ok, mHead.status, "");
}

} // namespace marigold::gateway
