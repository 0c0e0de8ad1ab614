/** @file Prometheus metrics of a process. */
#pragma once

#include <map>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace marigold::observe {

using Labels = std::map<std::string, std::string>;

/** Creates and owns the metrics of a process. A metric with the same name and
 * labels is created once and then returned again. */
class Metrics
{
public:
  /**
   * @param aName metric name, ending in _total
   * @param aHelp help text, one sentence
   * @param aLabels labels of this counter
   * @return the counter
   */
  prometheus::Counter& counter(const std::string& aName,
                               const std::string& aHelp,
                               const Labels& aLabels = {});

  /**
   * @param aName metric name
   * @param aHelp help text, one sentence
   * @param aLabels labels of this gauge
   * @return the gauge
   */
  prometheus::Gauge& gauge(const std::string& aName,
                           const std::string& aHelp,
                           const Labels& aLabels = {});

  /**
   * @param aName metric name, ending in _seconds
   * @param aHelp help text, one sentence
   * @param aLabels labels of this histogram
   * @return histogram of durations in seconds, with buckets from 1 ms to 60 s
   */
  prometheus::Histogram& durationHistogram(const std::string& aName,
                                           const std::string& aHelp,
                                           const Labels& aLabels = {});

  /** @return all metrics in the Prometheus text format */
  std::string serialize() const;

private:
  prometheus::Registry mRegistry;
};

} // namespace marigold::observe
