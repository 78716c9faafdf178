/// \file
/// Expected latencies of the services of each worker.
#ifndef ENDIVEDOOR_POLICY_DETAIL_PREDICTIONCACHE_H
#define ENDIVEDOOR_POLICY_DETAIL_PREDICTIONCACHE_H

#include "detail/History.h"
#include "detail/Interference.h"
#include "detail/State.h"

namespace endivedoor::policy::detail {

/// A worker is looked at about 15 times for each start on it, so its
/// predictions are kept until its tasks change. Without a change they are
/// renewed after five seconds, because the model goes on learning.
class PredictionCache {
public:
  PredictionCache(const State &s, History &past, const Interference &model)
      : S(s), Past(past), Model(model) {}

  /// Returns one latency in ms for each entry of WorkerRec::Services, valid
  /// until the next call. Cost: O(1) if kept, else services times classes.
  const std::vector<double> &of(Index worker, base::TimePoint now) {
    if (worker >= Entries.size())
      Entries.resize(worker + 1);
    Entry &it = Entries[worker];
    std::uint64_t version = Past.version(worker);
    if (it.Version == version && now - it.At < std::chrono::seconds(5))
      return it.Values;
    it.Version = version;
    it.At = now;
    it.Values.clear();
    for (const ServiceCount &there : S.Workers[worker].Services)
      it.Values.push_back(Model.predict(there.Service, Past.current(worker)));
    return it.Values;
  }

private:
  struct Entry {
    std::uint64_t Version = 0;
    base::TimePoint At{};
    std::vector<double> Values;
  };
  const State &S;
  History &Past;
  const Interference &Model;
  std::vector<Entry> Entries;
};

} // namespace endivedoor::policy::detail

#endif
