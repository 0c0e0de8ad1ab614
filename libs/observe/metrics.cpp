#include "observe/metrics.h"

#include <prometheus/text_serializer.h>

namespace marigold::observe {
namespace {

/** @return upper bounds of the histogram buckets in seconds */
const prometheus::Histogram::BucketBoundaries&
durationBuckets()
{
  static const prometheus::Histogram::BucketBoundaries buckets{
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,  0.2,
    0.5,   1.0,   1.3,   2.0,  5.0,  10.0, 30.0, 60.0
  };
  return buckets;
}

} // namespace

prometheus::Counter&
Metrics::counter(const std::string& aName,
                 const std::string& aHelp,
                 const Labels& aLabels)
{
  return prometheus::BuildCounter()
    .Name(aName)
    .Help(aHelp)
    .Register(mRegistry)
    .Add(aLabels);
}

prometheus::Gauge&
Metrics::gauge(const std::string& aName,
               const std::string& aHelp,
               const Labels& aLabels)
{
  return prometheus::BuildGauge()
    .Name(aName)
    .Help(aHelp)
    .Register(mRegistry)
    .Add(aLabels);
}

prometheus::Histogram&
Metrics::durationHistogram(const std::string& aName,
                           const std::string& aHelp,
                           const Labels& aLabels)
{
  return prometheus::BuildHistogram()
    .Name(aName)
    .Help(aHelp)
    .Register(mRegistry)
    .Add(aLabels, durationBuckets());
}

std::string
Metrics::serialize() const
{
  return prometheus::TextSerializer().Serialize(mRegistry.Collect());
}

} // namespace marigold::observe
