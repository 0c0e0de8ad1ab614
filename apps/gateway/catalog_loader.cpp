#include "apps/gateway/catalog_loader.h"

#include "apps/gateway/loop_delay_monitor.h"

#include <utility>

namespace marigold::gateway {
namespace {

using namespace std::chrono_literals;

/** Long enough for the loop to look at its sockets. */
constexpr base::Duration kSlicePause = 1ms;

} // namespace

const char*
sourceName(CatalogSource aSource)
{
  return aSource == CatalogSource::Store ? "store" : "peer";
}

CatalogLoader::CatalogLoader(http::Loop& aLoop,
                             Loaded aLoaded,
                             std::size_t aSliceBytes)
  : mLoop(aLoop)
  , mLoaded(std::move(aLoaded))
  , mSliceBytes(aSliceBytes)
{
}

void
CatalogLoader::load(const platform::SharedText& aText, CatalogSource aSource)
{
  auto text = aText.shared();
  if (isBusy()) {
    mWaiting.at(static_cast<std::size_t>(aSource)) = std::move(text);
    return;
  }
  begin(aSource, std::move(text));
  proceed();
}

void
CatalogLoader::begin(CatalogSource aSource,
                     std::shared_ptr<const std::string> aText)
{
  mCurrent = {};
  mCurrent.source = aSource;
  mCurrent.text = aText;
  mDecoder.begin(std::move(aText));
}

void
CatalogLoader::proceed()
{
  const base::Duration begun = processCpuTime();
  auto content = mDecoder.proceed(mSliceBytes);
  ++mCurrent.slices;
  mCurrent.worked += processCpuTime() - begun;
  if (!content) {
    mTimer = mLoop.after(kSlicePause, [this] { proceed(); });
    return;
  }
  mCurrent.content = std::move(*content);
  LoadedCatalog loaded = std::exchange(mCurrent, {});
  for (std::size_t source = 0; source < kCatalogSources; ++source) {
    if (mWaiting.at(source)) {
      begin(static_cast<CatalogSource>(source),
            std::exchange(mWaiting.at(source), nullptr));
      mTimer = mLoop.after(kSlicePause, [this] { proceed(); });
      break;
    }
  }
  mLoaded(std::move(loaded));
}

} // namespace marigold::gateway
