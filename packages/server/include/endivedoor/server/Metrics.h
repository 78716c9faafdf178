/// \file
/// Counters, gauges and request durations in the Prometheus text format.
#ifndef ENDIVEDOOR_SERVER_METRICS_H
#define ENDIVEDOOR_SERVER_METRICS_H

#include "endivedoor/base/Clock.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace endivedoor::server {

enum class Counter {
  RequestsAnswered,
  RequestsNotRun,
  RequestsUnknown,
  Retries,
  BookingsClaimed,
  BookingsRepeated,
  BookingsRefused,
  JobCalls,
  NumCounters
};

/// Counters and request durations of one thread. Written only by that thread,
/// read by any.
class MetricsShard {
public:
  /// Number of the latest request durations from which quantiles are computed.
  static constexpr std::size_t MaxSamples = 4096;

  void increment(Counter counter);
  /// Adds the duration of one request, from its receipt to its answer.
  void observe(base::Duration duration);

private:
  friend class Metrics;
  std::array<std::atomic<std::uint64_t>,
             static_cast<std::size_t>(Counter::NumCounters)>
      Counters{};
  mutable std::mutex Mutex;
  std::vector<float> Samples;
  std::size_t NextSample = 0;
  std::uint64_t Count = 0;
  double Sum = 0;
};

/// Merges the shards of all threads. Thread-safe.
class Metrics {
public:
  /// Adds a shard, which is owned by this object.
  MetricsShard &addShard();
  /// Adds a gauge whose value is read by each render().
  ///
  /// \param name full name of the metric.
  /// \param help help text, one line.
  /// \param read returns the value; called on the thread that calls render().
  void addGauge(std::string name, std::string help,
                std::function<double()> read);

  /// Returns the sum of a counter over all shards.
  std::uint64_t total(Counter counter) const;

  /// Returns all metrics in the Prometheus text format, version 0.0.4. Cost:
  /// linear in the number of stored request durations.
  std::string render() const;

private:
  struct Gauge {
    std::string Name;
    std::string Help;
    std::function<double()> Read;
  };

  std::string renderRequestTimes() const;

  mutable std::mutex Mutex;
  std::vector<std::unique_ptr<MetricsShard>> Shards;
  std::vector<Gauge> Gauges;
};

} // namespace endivedoor::server

#endif
