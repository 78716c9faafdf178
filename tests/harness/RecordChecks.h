/// \file
/// Judges the promises by the stand-ins' own records, never by what a daemon
/// says.
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

/// What a worker may hold.
struct WorkerCapacity {
  std::int64_t Slots = 8;
  std::int64_t Connections = 64;
  std::int64_t MemoryMb = 128000;
};

/// P1: returns each moment at which a worker held more than its capacity.
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

/// P7: returns each idempotency key whose request ran more than once.
std::vector<std::string> findRepeatedBookings(const Records &workers);

/// P6: returns each request that the caller was told "not-run" and that ran all
/// the same.
std::vector<std::string> findRunsReportedNotRun(const Records &workers,
                                                const Records &caller);

/// Tasks that finished according to the workers.
std::set<std::string> finishedTasks(const Records &workers);

} // namespace endivedoor::harness

#endif
