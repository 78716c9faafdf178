#include "detail/Routing.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace endivedoor::dispatch::detail {

base::MilliCores &headroomFor(ShardLoad &load, const model::JobGraph &graph) {
  if (!graph.Steps.empty() && graph.Steps.front().LongRunning)
    return load.LongRunningHeadroom;
  bool onlyFillers =
      std::all_of(graph.Steps.begin(), graph.Steps.end(),
                  [](const model::StepSpec &it) { return it.Filler; });
  return onlyFillers ? load.FillerHeadroom : load.ShortTaskHeadroom;
}

/// Returns the program of a job that consists of fillers, or an empty name.
static const std::string &fillerProgram(const model::JobGraph &graph) {
  static const std::string none;
  return !graph.Steps.empty() && graph.Steps.front().Filler
             ? graph.Steps.front().Image
             : none;
}

std::int64_t headroomOf(ShardLoad &load, const model::JobGraph &graph) {
  std::int64_t headroom = count(headroomFor(load, graph));
  auto it = load.FillerCpu.find(fillerProgram(graph));
  return it == load.FillerCpu.end() ? headroom : std::min(headroom, it->second);
}

void reserveHeadroom(ShardLoad &load, const model::JobGraph &graph,
                     std::int64_t cpu) {
  base::MilliCores &headroom = headroomFor(load, graph);
  headroom = base::MilliCores{count(headroom) - cpu};
  if (auto it = load.FillerCpu.find(fillerProgram(graph));
      it != load.FillerCpu.end())
    it->second -= cpu;
}

const std::string &servingProgram(const model::JobGraph &graph) {
  static const std::string none;
  return !graph.Steps.empty() && graph.Steps.front().Target.count() > 0
             ? graph.Steps.front().Image
             : none;
}

std::optional<std::size_t>
preferredShard(const std::string &program,
               const std::vector<std::int32_t> &shards,
               const std::vector<std::int64_t> &headrooms, std::int64_t need) {
  std::optional<std::size_t> best;
  std::uint64_t bestScore = 0;
  for (std::size_t i = 0; i < shards.size(); ++i) {
    std::string key = program + "/" + std::to_string(shards[i]);
    std::uint64_t score = XXH3_64bits(key.data(), key.size());
    if (headrooms[i] >= need && (!best || score > bestScore)) {
      best = i;
      bestScore = score;
    }
  }
  return best;
}

bool hasLabel(const model::WorkerProfile &worker, const std::string &label) {
  const std::vector<std::string> &labels = worker.Labels;
  return std::find(labels.begin(), labels.end(), label) != labels.end();
}

static bool canRun(const model::WorkerProfile &worker,
                   const model::StepSpec &step) {
  return (step.Requirement.empty() || hasLabel(worker, step.Requirement)) &&
         step.Size.fitsIn(worker.Capacity);
}

std::vector<double> suitableShares(const DirectoryView &view,
                                   const WorkerView &workers,
                                   const model::AcceptedJob &job) {
  auto shards = static_cast<std::size_t>(view.Shards);
  const std::vector<model::StepSpec> &steps = job.Graph.Steps;
  std::vector<std::int32_t> total(shards);
  // Number of suitable workers by shard, then step.
  std::vector<std::vector<std::int32_t>> suitable(
      shards, std::vector<std::int32_t>(steps.size()));
  for (const auto &[id, shard] : view.Assignment) {
    auto it = workers.Profiles.find(id);
    if (it == workers.Profiles.end() || shard < 0 || shard >= view.Shards)
      continue;
    const model::WorkerProfile &worker = it->second;
    auto number = static_cast<std::size_t>(shard);
    if (worker.Service != job.Policy.Service)
      continue;
    ++total[number];
    if (worker.Draining || workers.ZonesOutOfService.contains(worker.Zone))
      continue;
    for (std::size_t i = 0; i < steps.size(); ++i)
      suitable[number][i] += canRun(worker, steps[i]);
  }
  std::vector<double> shares(shards);
  for (std::size_t i = 0; i < shards; ++i) {
    std::int32_t fewest = total[i];
    for (std::size_t s = 0; s < steps.size(); ++s) {
      std::int32_t count = suitable[i][s];
      // Tasks that must run at the same time need enough workers for all of
      // them.
      bool concurrent = steps[s].LongRunning || steps[s].Gang;
      if (concurrent && steps[s].MaxPerWorker > 0 &&
          count * steps[s].MaxPerWorker < steps[s].Count)
        count = 0;
      fewest = std::min(fewest, count);
    }
    shares[i] = total[i] > 0 ? static_cast<double>(fewest) / total[i] : 0;
  }
  return shares;
}

void filterByHeadroom(std::int64_t need, std::vector<std::int32_t> &shards,
                      std::vector<std::int64_t> &headrooms) {
  std::vector<std::int32_t> fitting;
  for (std::size_t i = 0; i < shards.size(); ++i)
    if (headrooms[i] >= need)
      fitting.push_back(shards[i]);
  if (fitting.empty())
    return;
  std::erase_if(headrooms,
                [&](std::int64_t headroom) { return headroom < need; });
  shards = std::move(fitting);
}

/// Weight of the fullest shard, as a fraction of the largest difference in
/// headroom. Not 0, because load records are up to 2 s old and that shard may
/// have capacity again.
constexpr double MinWeightShare = 0.02;

std::size_t drawShard(const std::vector<std::int64_t> &headrooms, double draw) {
  auto [least, most] = std::minmax_element(headrooms.begin(), headrooms.end());
  double spread = static_cast<double>(*most - *least);
  double minWeight = std::max(1.0, spread * MinWeightShare);
  // Negative headroom means queued work; only the differences between the
  // queues count.
  double floor = std::min(0.0, static_cast<double>(*least));
  std::vector<double> sums;
  double sum = 0;
  for (std::int64_t it : headrooms)
    sums.push_back(sum += static_cast<double>(it) - floor + minWeight);
  auto chosen = std::upper_bound(sums.begin(), sums.end(), draw * sum);
  return static_cast<std::int32_t>(std::min<std::ptrdiff_t>(
      chosen - sums.begin(), static_cast<std::ptrdiff_t>(sums.size()) - 1));
}

} // namespace endivedoor::dispatch::detail
