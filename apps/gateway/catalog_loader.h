/** @file Decodes versions of the configuration between other events. */
#pragma once

#include "http/loop.h"
#include "platform/boundary.h"

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace marigold::gateway {

/** Where the text of a configuration came from. */
enum class CatalogSource : std::uint8_t
{
  Store, ///< or a relay of it
  Peer,
};

constexpr std::size_t kCatalogSources = 2;

/** Parsing these takes some 2 ms of a core, and 20 ms of a tenth of one. */
constexpr std::size_t kCatalogSliceBytes = 64UL * 1024;

/** @return the name of a source in logs */
const char*
sourceName(CatalogSource aSource);

/** A text that was decoded, or why it could not be. */
struct LoadedCatalog
{
  CatalogSource source = CatalogSource::Store;
  std::shared_ptr<const std::string> text;
  base::Captured<catalog::Catalog> content;
  base::Duration worked{}; ///< processor time that decoding took
  unsigned slices = 0;
};

/**
 * Decodes texts of the configuration in slices, because a large one would hold
 * up all requests of the VM. A version that was begun is finished, so that
 * frequent changes can't keep every one from being applied; of those that come
 * meanwhile only the latest of each source is decoded next.
 */
class CatalogLoader
{
public:
  using Loaded = std::function<void(LoadedCatalog)>;

  /** @param aLoop event loop @param aLoaded called with each decoded text
   * @param aSliceBytes how much to parse in a slice */
  CatalogLoader(http::Loop& aLoop,
                Loaded aLoaded,
                std::size_t aSliceBytes = kCatalogSliceBytes);

  /** Decodes a text, the first slice of it before this function returns.
   * @param aText text @param aSource where it came from */
  void load(const platform::SharedText& aText, CatalogSource aSource);

  /** @return true while a text is decoded or waits */
  bool isBusy() const { return mCurrent.text != nullptr; }

private:
  void begin(CatalogSource aSource, std::shared_ptr<const std::string> aText);
  void proceed();

  http::Loop& mLoop;
  Loaded mLoaded;
  std::size_t mSliceBytes;
  boundary::CatalogDecoder mDecoder;
  LoadedCatalog mCurrent; ///< without text while there is none
  std::array<std::shared_ptr<const std::string>, kCatalogSources> mWaiting;
  http::EventHandle mTimer;
};

} // namespace marigold::gateway
