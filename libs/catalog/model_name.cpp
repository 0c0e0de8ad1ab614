#include "catalog/model_name.h"

namespace marigold::catalog {

ModelRef
parseModelRef(std::string_view aText)
{
  const std::size_t slash = aText.find('/');
  if (slash == std::string_view::npos) {
    return { std::string(aText), {} };
  }
  return { std::string(aText.substr(0, slash)),
           std::string(aText.substr(slash + 1)) };
}

} // namespace marigold::catalog
