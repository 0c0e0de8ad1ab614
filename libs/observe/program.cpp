#include "observe/program.h"

#include <exception>
#include <iostream>

namespace marigold::observe {
namespace {

/** An exception that reaches main() ends all requests of the process, so its
 * reason has to be known. */
base::Result<int>
runCatching(const std::function<base::Result<int>()>& aBody)
{
  try {
    return aBody();
  } catch (const std::exception& exception) {
    return base::fail(base::Code::Internal,
                      std::string("exception: ") + exception.what());
  }
}

} // namespace

int
runMain(const std::function<base::Result<int>()>& aBody)
{
  const auto outcome = base::capture([&] { return runCatching(aBody); });
  if (const base::Error* error = base::errorOf(outcome)) {
    std::cerr << "error " << static_cast<int>(error->code) << " ("
              << base::codeInfo(error->code).name << "): " << error->message
              << "\n";
    return 1;
  }
  return std::get<int>(outcome);
}

} // namespace marigold::observe
