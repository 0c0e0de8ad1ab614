/** @file Stand-in for a plain service; it records every request that it ran. */
#include "observe/observe.h"

#include <csignal>
#include <docopt/docopt.h>
#include <iostream>
#include <list>

using namespace marigold;
using nlohmann::json;

namespace {

constexpr const char* kUsage = R"(Stand-in for a plain service, for tests.

Usage:
  standin-service --listen ADDRESS --name NAME [--work-ms MS]
  standin-service (-h | --help)
  standin-service --version

Options:
  --listen ADDRESS  IP:port to listen on.
  --name NAME       Name of the upstream.
  --work-ms MS      Time that one request takes [default: 5].
  -h --help         Show this text.
  --version         Show the version.
)";

class RecordingService
{
public:
  RecordingService(http::Loop& aLoop, std::string aName, base::Duration aWork)
    : mLoop(aLoop)
    , mName(std::move(aName))
    , mWork(aWork)
    , mServer(aLoop, {}, [this](const http::Request& aRequest, auto aOut) {
      handle(aRequest, aOut);
    })
  {
  }

  base::Result<void> listen(const http::Address& aAddress)
  {
    return mServer.listen(aAddress);
  }

private:
  void handle(const http::Request& aRequest,
              const std::shared_ptr<http::Responder>& aOut)
  {
    if (aRequest.path == "/_ran") {
      aOut->reply(observe::jsonAnswer(200, mRan));
      return;
    }
    record(aRequest);
    const std::string id(http::findHeader(aRequest.headers, "X-Request-Id"));
    mTimers.push_back(mLoop.after(mWork, [this, id, aOut] {
      http::Answer answer =
        observe::jsonAnswer(200, { { "service", mName }, { "request", id } });
      answer.headers.emplace_back("X-Request-Id", id);
      aOut->reply(answer);
    }));
  }

  void record(const http::Request& aRequest)
  {
    json headers = json::object();
    for (const auto& [name, value] : aRequest.headers) {
      headers[name] = value;
    }
    mRan.push_back({ { "method", aRequest.method },
                     { "path", aRequest.path },
                     { "query", aRequest.query },
                     { "headers", headers },
                     { "body", aRequest.body } });
  }

  http::Loop& mLoop;
  std::string mName;
  base::Duration mWork;
  http::Server mServer;
  json mRan = json::array();
  std::list<http::Watch> mTimers;
};

base::Result<void>
serve(std::map<std::string, docopt::value>& aArguments)
{
  http::Loop loop;
  RecordingService service(
    loop,
    aArguments["--name"].asString(),
    std::chrono::milliseconds(aArguments["--work-ms"].asLong()));
  BOOST_LEAF_AUTO(address,
                  http::parseAddress(aArguments["--listen"].asString()));
  BOOST_LEAF_CHECK(service.listen(address));
  const http::Watch term = loop.onSignal(SIGTERM, [&] { loop.stop(); });
  loop.run();
  return {};
}

} // namespace

int
main(int aCount, char** aValues)
{
  auto arguments = docopt::docopt(kUsage,
                                  { aValues + 1, aValues + aCount },
                                  true,
                                  "standin-service " MARIGOLD_VERSION);
  const auto outcome = base::capture([&] { return serve(arguments); });
  if (const base::Error* error = base::errorOf(outcome)) {
    std::cerr << error->message << "\n";
    return 1;
  }
  return 0;
}
