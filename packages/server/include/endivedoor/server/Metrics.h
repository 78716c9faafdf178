/// \file
/// Counters, gauges and answer times, as Prometheus text.
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

/// The counters and answer times of one thread. Written by that thread, read by
/// any.
class MetricsShard {
public:
  /// Number of latest answer times kept for quantiles.
  static constexpr std::size_t MaxSamples = 4096;

  void increment(Counter counter);
  /// Adds the time from the receipt of a request to its answer.
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
  /// Adds a shard, which lives as long as this object.
  MetricsShard &addShard();
  /// Adds a gauge that is read by render().
  ///
  /// \param name full name of the metric.
  /// \param help one line of text.
  /// \param read called on the thread that renders.
  void addGauge(std::string name, std::string help,
                std::function<double()> read);

  /// Returns the sum of a counter over all shards.
  std::uint64_t total(Counter counter) const;

  /// Returns all metrics as Prometheus text, version 0.0.4. Cost: linear in the
  /// kept answer times.
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
