#include "observe/program.h"

#include <iostream>

namespace marigold::observe {

int
runMain(const std::function<base::Result<int>()>& aBody)
{
  const auto outcome = base::capture(aBody);
  if (const base::Error* error = base::errorOf(outcome)) {
    std::cerr << "error " << static_cast<int>(error->code) << " ("
              << base::codeInfo(error->code).name << "): " << error->message
              << "\n";
    return 1;
  }
  return std::get<int>(outcome);
}

} // namespace marigold::observe
