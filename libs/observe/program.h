/** @file Error message and exit code of a program. */
#pragma once

#include "base/error.h"

#include <functional>

namespace marigold::observe {

/**
 * Runs the body of main() and prints its error to standard error, with the
 * number and name of the error code. An exception counts as an internal error.
 * @param aBody returns the exit code or an error
 * @return the exit code; 1 after an error
 */
int
runMain(const std::function<base::Result<int>()>& aBody);

} // namespace marigold::observe
