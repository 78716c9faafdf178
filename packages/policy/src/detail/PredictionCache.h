/// \file
/// Cached latency predictions for the services of each worker.
#ifndef ENDIVEDOOR_POLICY_DETAIL_PREDICTIONCACHE_H
#define ENDIVEDOOR_POLICY_DETAIL_PREDICTIONCACHE_H

#include "detail/History.h"
#include "detail/InterferenceModel.h"
#include "detail/SchedulerRecords.h"

namespace endivedoor::policy::detail {

/// Caches predictions until the tasks of the worker change, because each start
/// evaluates a worker about 15 times. Entries expire after five seconds even
/// without a change, because the model continues to learn.
class PredictionCache {
public:
  PredictionCache(const SchedulerRecords &records, History &mixHistory,
                  const InterferenceModel &model)
      : Records(records), MixHistory(mixHistory), Model(model) {}

  /// Returns one predicted latency in ms for each entry of WorkerRec::Services,
  /// valid until the next call.
  /// Cost: O(1) if cached, otherwise services times classes.
  const std::vector<double> &predictions(Index worker, base::TimePoint now) {
    if (worker >= Entries.size())
      Entries.resize(worker + 1);
    Entry &entry = Entries[worker];
    std::uint64_t version = MixHistory.version(worker);
    if (entry.Version == version && now - entry.At < std::chrono::seconds(5))
      return entry.Values;
    entry.Version = version;
    entry.At = now;
    entry.Values.clear();
    for (const ServiceCount &there : Records.Workers[worker].Services)
      entry.Values.push_back(
          Model.predict(there.Service, MixHistory.current(worker)));
    return entry.Values;
  }

private:
  struct Entry {
    std::uint64_t Version = 0;
    base::TimePoint At{};
    std::vector<double> Values;
  };
  const SchedulerRecords &Records;
  History &MixHistory;
  const InterferenceModel &Model;
  std::vector<Entry> Entries;
};

} // namespace endivedoor::policy::detail

#endif
