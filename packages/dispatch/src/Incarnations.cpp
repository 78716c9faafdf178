// Incarnations of workers. A worker may restart under its id and then knows
// nothing of before, while calls for its earlier incarnation are still on the
// way. Each time that a worker may have restarted it gets a higher fencing
// token: once an incarnation has answered that, it refuses the earlier calls.
#include "detail/ShardState.h"

#include <algorithm>

namespace endivedoor::dispatch::detail {

using base::EventCode;
using namespace std::chrono_literals;

bool isOtherIncarnation(std::optional<std::chrono::milliseconds> incarnation,
                        std::chrono::milliseconds startTime) {
  return incarnation && incarnation->count() != 0 && startTime.count() != 0 &&
         *incarnation != startTime;
}

WorkerState &ShardState::workerEntry(const base::WorkerId &id) {
  std::unique_ptr<WorkerState> &entry = Workers[id];
  if (entry)
    return *entry;
  entry = std::make_unique<WorkerState>();
  entry->Generation = entry->FenceGeneration = ForgottenGeneration;
  if (auto former = FormerIncarnations.find(id);
      former != FormerIncarnations.end()) {
    entry->Incarnation = former->second;
    FormerIncarnations.erase(former);
    renewToken(*entry);
  }
  return *entry;
}

base::FencingToken ShardState::tokenOf(const WorkerState &worker) const {
  return base::FencingToken{base::toNumber(Token) * TokensPerTerm +
                            worker.Generation};
}

base::FencingToken ShardState::fenceOf(const WorkerState &worker) const {
  return base::FencingToken{base::toNumber(Token) * TokensPerTerm +
                            worker.FenceGeneration};
}

void ShardState::renewToken(WorkerState &worker) {
  if (worker.Generation + 1 == TokensPerTerm) {
    Fenced = true;
    return;
  }
  worker.FenceGeneration = ++worker.Generation;
  worker.TokenAnswered = false;
}

void ShardState::fenceAcknowledgement(WorkerState &worker) {
  if (!worker.AcknowledgementInFlight || worker.PollToken < tokenOf(worker))
    return;
  if (worker.Generation + 1 == TokensPerTerm)
    Fenced = true;
  else
    ++worker.Generation;
}

void ShardState::onTokenAnswered(WorkerState &worker,
                                 std::chrono::milliseconds startTime,
                                 WorkerTime clock, TimePoint now) {
  worker.TokenAnswered = true;
  worker.RestartLeaseUntil.reset();
  // Its list has these ends again, or no next owner can learn of them here.
  worker.EndsBeforeRestart.clear();
  // A call for an earlier incarnation may have acted on this one just before.
  // What it started is listed; its lease is not.
  if (worker.Incarnation &&
      (*worker.Incarnation != startTime ||
       (worker.LongestLease && !worker.LongestLeaseUntil))) {
    worker.LatestDeadline =
        std::max(worker.LatestDeadline, clock + Options.MaxLease);
    worker.LongestLeaseUntil =
        now + longestLeaseLifetime(Options) - maxLeaseLifetime(Options);
    worker.LongestLease = now < *worker.LongestLeaseUntil;
  }
  if (startTime.count() != 0)
    worker.Incarnation = startTime;
}

bool ShardState::isStartRefused(const WorkerState &worker,
                                const Run &run) const {
  bool confirmed = run.Phase == RunPhase::Running ||
                   (run.Phase == RunPhase::Stopping && run.Confirmed);
  return !confirmed && worker.TokenAnswered && run.Token < worker.AnsweredToken;
}

void ShardState::checkInheritedIncarnation(
    WorkerState &worker, std::chrono::milliseconds startTime) {
  if (!worker.UnverifiedUntil ||
      !isOtherIncarnation(worker.Incarnation, startTime))
    return;
  worker.Incarnation = 0ms;
  worker.UnverifiedUntil =
      std::max(*worker.UnverifiedUntil, worker.UnverifiedUntilIfRestarted);
}

} // namespace endivedoor::dispatch::detail
