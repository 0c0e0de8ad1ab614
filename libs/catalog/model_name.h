/** @file A model with an optional adapter. */
#pragma once

#include "base/ids.h"

#include <string_view>

namespace marigold::catalog {

/** What a request asks an engine for. */
struct ModelRef
{
  base::ModelName model;
  std::string adapter; ///< empty: the model itself

  auto operator<=>(const ModelRef&) const = default;

  /** @return MODEL or MODEL/ADAPTER */
  std::string text() const
  {
    return adapter.empty() ? model : model + "/" + adapter;
  }
};

/** @param aText MODEL or MODEL/ADAPTER @return its parts */
ModelRef
parseModelRef(std::string_view aText);

} // namespace marigold::catalog
