/** @file The end of a program: its error for a person, its exit code. */
#pragma once

#include "base/error.h"

#include <functional>

namespace marigold::observe {

/**
 * Runs the body of a program and prints its error with number and name.
 * @param aBody returns the exit code or an error
 * @return the exit code; 1 after an error
 */
int
runMain(const std::function<base::Result<int>()>& aBody);

} // namespace marigold::observe
