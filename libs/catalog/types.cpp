#include "catalog/types.h"

namespace marigold::catalog {

std::string_view
kindName(RequestKind aKind)
{
  switch (aKind) {
    case RequestKind::Idempotent:
      return "idempotent";
    case RequestKind::AtMostOnce:
      return "once";
    case RequestKind::Stream:
      return "stream";
  }
  return "unknown";
}

} // namespace marigold::catalog
