/** @file Reference to a model with an optional adapter. */
#pragma once

#include "base/ids.h"

#include <string_view>

namespace marigold::catalog {

/** The model that a request needs, and the adapter if it needs one. */
struct ModelRef
{
  base::ModelName model;
  std::string adapter; ///< empty: the base model

  auto operator<=>(const ModelRef&) const = default;

  /** @return MODEL or MODEL/ADAPTER */
  std::string text() const
  {
    return adapter.empty() ? model : model + "/" + adapter;
  }
};

/** @param aText MODEL or MODEL/ADAPTER @return the parsed reference */
ModelRef
parseModelRef(std::string_view aText);

} // namespace marigold::catalog
