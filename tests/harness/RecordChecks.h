/// \file
/// Checks the guarantees against the records of the stand-ins, independently of
/// what daemons report.
#ifndef ENDIVEDOOR_TESTS_HARNESS_RECORDCHECKS_H
#define ENDIVEDOOR_TESTS_HARNESS_RECORDCHECKS_H

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace endivedoor::harness {

using Records = std::vector<boost::json::object>;
/// Wall time in microseconds, as in the records.
using Micros = std::int64_t;

Micros nowMicros();

/// Capacity of a worker.
struct WorkerCapacity {
  std::int64_t Slots = 8;
  std::int64_t Connections = 64;
  std::int64_t MemoryMb = 128000;
};

/// P1: returns each start that exceeded the capacity of a worker.
std::vector<std::string> findOverloads(const Records &workers,
                                       const WorkerCapacity &capacity);

/// P2: returns each task of which two attempts ran at the same time.
std::vector<std::string> findConcurrentAttempts(const Records &workers);

/// P3: returns each checkpoint of an eviction that was resumed more than once,
/// and each task that was evicted and neither resumed from that checkpoint nor
/// cancelled. \p open tasks may still wait.
std::vector<std::string> findInvalidResumes(const Records &workers,
                                            const std::set<std::string> &open);

/// P4: returns each start in \p zone between \p from and \p to. Worker names
/// begin with the zone's name.
std::vector<std::string> findStarts(const Records &workers,
                                    const std::string &zone, Micros from,
                                    Micros to);

/// P7: returns each idempotency key with more than one run.
std::vector<std::string> findRepeatedBookings(const Records &workers);

/// P6: returns each request that ran although it was reported to the caller as
/// "not-run".
std::vector<std::string> findRunsReportedNotRun(const Records &workers,
                                                const Records &caller);

/// Returns the tasks that finished according to the workers.
std::set<std::string> finishedTasks(const Records &workers);

} // namespace endivedoor::harness

#endif
