#include "chat/error_body.h"

#include <array>
#include <nlohmann/json.hpp>

namespace marigold::chat {
namespace {

using base::Code;
using nlohmann::json;

/** How clients of the chat API name a code, and what they show to users. */
struct Form
{
  Code code;
  const char* type;
  const char* name; ///< nullptr: the name of the code
  const char* message;
};

constexpr const char* kInvalid = "invalid_request_error";
constexpr const char* kServer = "server_error";

constexpr std::array kForms{
  Form{ Code::BadRequest, kInvalid, nullptr, "the request cannot be read" },
  Form{ Code::KeyMissing,
        kInvalid,
        "invalid_api_key",
        "the request has no API key" },
  Form{ Code::KeyUnknown,
        kInvalid,
        "invalid_api_key",
        "the API key is not known or was withdrawn" },
  Form{ Code::RouteUnknown,
        kInvalid,
        nullptr,
        "there is no chat API at this host and path" },
  Form{ Code::ModelUnknown,
        kInvalid,
        "model_not_found",
        "the model does not exist" },
  Form{ Code::RateExceeded,
        "rate_limit_error",
        "rate_limit_exceeded",
        "the team is above its rate; the request was not run" },
  Form{ Code::Overloaded,
        kServer,
        nullptr,
        "the engines are busy; the request was not run" },
  Form{ Code::DeadlineUnreachable,
        kServer,
        nullptr,
        "the request cannot be served before its deadline; it was not run" },
  Form{ Code::NoUpstream,
        kServer,
        nullptr,
        "no engine can serve the request now; it was not run" },
  Form{ Code::UpstreamFailed,
        kServer,
        nullptr,
        "the engine broke off its answer" },
  Form{ Code::UpstreamTimeout,
        kServer,
        nullptr,
        "the engine did not answer completely in time" },
  Form{ Code::RequestBlocked,
        kServer,
        nullptr,
        "the request, or a part of its prompt, crashes engines; it was not "
        "run" },
  Form{ Code::Draining,
        kServer,
        nullptr,
        "this VM is being stopped; the request was not run" },
  Form{ Code::NotReady,
        kServer,
        nullptr,
        "this VM is not ready yet; the request was not run" },
};

Form
formOf(Code aCode)
{
  for (const Form& form : kForms) {
    if (form.code == aCode) {
      return form;
    }
  }
  return { aCode, kServer, nullptr, "the request failed" };
}

} // namespace

std::string
errorBody(Code aCode, const std::string& aDetail)
{
  const Form form = formOf(aCode);
  const std::string name =
    form.name != nullptr ? form.name : std::string(base::codeInfo(aCode).name);
  return json{
    { "error",
      { { "message", aDetail.empty() ? form.message : aDetail },
        { "type", form.type },
        { "param", nullptr },
        { "code", name } } }
  }.dump();
}

std::string
errorEvent(Code aCode)
{
  return "data: " + errorBody(aCode) + "\n\n";
}

} // namespace marigold::chat
