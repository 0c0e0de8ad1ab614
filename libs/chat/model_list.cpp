#include "chat/model_list.h"

#include <nlohmann/json.hpp>

namespace marigold::chat {
namespace {

using nlohmann::json;

json
entry(const std::string& aName, const catalog::Service& aService)
{
  // Clients expect a time of creation; the configuration has none.
  return { { "id", aName },
           { "object", "model" },
           { "created", 0 },
           { "owned_by", aService.name } };
}

} // namespace

std::string
modelList(const std::vector<const catalog::Service*>& aServices)
{
  json models = json::array();
  for (const catalog::Service* service : aServices) {
    for (const auto& [name, model] : service->engine->models) {
      models.push_back(entry(name, *service));
      for (const std::string& adapter : model.adapters) {
        models.push_back(entry(name + ":" + adapter, *service));
      }
    }
  }
  return json{ { "object", "list" }, { "data", models } }.dump();
}

} // namespace marigold::chat
