/// \file
/// Load generator of the proxy benchmark.
#ifndef ENDIVEDOOR_BENCH_PROXY_LOAD_H
#define ENDIVEDOOR_BENCH_PROXY_LOAD_H

#include "endivedoor/model/Worker.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <vector>

namespace endivedoor::bench {

/// Answer times of one run, in microseconds.
struct LoadResult {
  std::vector<float> Micros;
  std::uint64_t Failures = 0;
  std::chrono::duration<double> Elapsed{0};

  /// Returns the quantile \p q (0 to 1) in microseconds. Sorts the times.
  double quantile(double q);
  double perSecond() const {
    return static_cast<double>(Micros.size()) / Elapsed.count();
  }
};

/// Sends requests at fixed times, whether or not earlier ones are answered. A
/// time counts from when the request was due, so that a stall of the server
/// delays every request that was due in it.
///
/// \param rate requests a second.
LoadResult runOpenLoop(const model::Address &to, double rate,
                       std::chrono::milliseconds time);

/// Keeps a number of requests in progress.
///
/// \param threads threads that send, each with its own connections.
/// \param connections connections of each thread.
/// \param requests of all threads together.
/// \param progress called by the first thread after each percent of its part.
LoadResult runClosedLoop(const model::Address &to, int threads, int connections,
                         std::uint64_t requests,
                         const std::function<void(int)> &progress = {});

} // namespace endivedoor::bench

#endif
