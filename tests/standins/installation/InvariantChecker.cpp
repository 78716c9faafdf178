#include "InvariantChecker.h"

#include "endivedoor/dispatch/Records.h"

#include <algorithm>

namespace endivedoor::standin {

using dispatch::RunId;
using dispatch::RunOutcome;
using model::JobNumber;
using model::TaskKey;
using namespace std::chrono_literals;

/// Time after the acknowledgement of a cancellation within which daemons stop
/// starting tasks of the job: cancel_ms of the users' small sites.
constexpr auto CancelBound = 3000ms;
/// Time that stopping a run takes at most: stop_ms of the users' small sites.
constexpr auto StopBound = 900ms;
/// Time after a fault for which bounds do not apply: contact_ms of the users'
/// small sites.
constexpr auto ContactTime = 3000ms;

/// Number of crashes under a task after which only a few starts are allowed,
/// and number of these starts, by the users' rule.
constexpr int CrashesBeforeLimit = 3;
constexpr int StartsAfterCrashLimit = 2;
/// Number of crashes under a task after which its job may be reported as
/// failed.
constexpr int CrashesBeforeGivingUp = 2;

static std::string formatRun(const RunId &id) {
  return dispatch::formatJobNumber(id.Task.Job) + "." +
         std::to_string(id.Task.Occurrence) + "." +
         std::to_string(id.Task.Step) + "." + std::to_string(id.Task.Index) +
         " run " + std::to_string(id.Number);
}

void InvariantChecker::addViolation(const std::string &invariant,
                                    const std::string &detail) {
  Violations.push_back(invariant + ": " + detail);
}

ObservedJob &InvariantChecker::addJob(JobNumber id, ObservedJob job) {
  return Jobs[id] = std::move(job);
}

ObservedJob *InvariantChecker::find(JobNumber id) {
  auto it = Jobs.find(id);
  return it == Jobs.end() ? nullptr : &it->second;
}

const model::StepSpec *InvariantChecker::stepOf(const TaskKey &key) const {
  auto job = Jobs.find(key.Job);
  if (job == Jobs.end() || key.Step < 0)
    return nullptr;
  const std::vector<model::StepSpec> &steps = job->second.Graph.Steps;
  auto step = static_cast<std::size_t>(key.Step);
  if (step >= steps.size() || key.Index < 0 || key.Index >= steps[step].Count ||
      key.Occurrence < 0 ||
      key.Occurrence >= std::max(1, job->second.Graph.Occurrences))
    return nullptr;
  return &steps[step];
}

bool InvariantChecker::isDone(const TaskKey &key) const {
  auto it = Tasks.find(key);
  return it != Tasks.end() && !it->second.DoneRuns.empty();
}

std::int32_t InvariantChecker::membersPresent(const RunId &id) const {
  const model::StepSpec *step = stepOf(id.Task);
  std::int32_t present = 0;
  TaskKey key = id.Task;
  for (key.Index = 0; step && key.Index < step->Count; ++key.Index) {
    auto it = Tasks.find(key);
    present += it != Tasks.end() && (it->second.Running.contains(id.Number) ||
                                     it->second.DoneRuns.contains(id.Number));
  }
  return present;
}

void InvariantChecker::onStart(const StartEvent &event) {
  ++Starts;
  const model::StepSpec *step = stepOf(event.Id.Task);
  ObservedJob *job = find(event.Id.Task.Job);
  if (!step || !job || event.Payload != job->Graph.Payload)
    return addViolation("UNASKED", formatRun(event.Id) + " on " + event.Worker);
  TaskHistory &task = Tasks[event.Id.Task];
  if (!event.Checkpoint.empty() && !step->Gang &&
      !task.Checkpoints.contains(event.Checkpoint))
    addViolation("UNASKED",
                 formatRun(event.Id) + " with an unknown checkpoint");
  if (!job->AcceptedAt && !job->MayBeStored)
    addViolation("REFUSED", formatRun(event.Id));
  TaskKey predecessor = event.Id.Task;
  for (std::int32_t stepIndex : step->Dependencies) {
    predecessor.Step = stepIndex;
    const model::StepSpec &predecessorStep =
        job->Graph.Steps[static_cast<std::size_t>(stepIndex)];
    for (predecessor.Index = 0; predecessor.Index < predecessorStep.Count;
         ++predecessor.Index)
      if (!isDone(predecessor))
        addViolation("ORDER", formatRun(event.Id) + " before step " +
                                  std::to_string(stepIndex));
  }
  if (job->Graph.Occurrences > 0 &&
      Time.wallNow().time_since_epoch() <
          job->Graph.FirstDue + event.Id.Task.Occurrence * job->Graph.Interval -
              std::chrono::milliseconds(250))
    addViolation("ORDER", formatRun(event.Id) + " before its due time");
  if (!task.Running.empty())
    addViolation("TWICE", formatRun(event.Id) + " on " + event.Worker +
                              " while run " +
                              std::to_string(task.Running.begin()->first) +
                              " is on " + task.Running.begin()->second.Worker);
  task.SupersededRuns = task.DoneRuns;
  if (task.DoneAcknowledged)
    addViolation("TWICE",
                 formatRun(event.Id) + " after its end was acknowledged");
  if (!step->LongRunning &&
      static_cast<std::int32_t>(task.AcknowledgedFailures.size()) >=
          job->MaxAttempts)
    addViolation("BUDGET", formatRun(event.Id));
  if (task.Crashes >= CrashesBeforeLimit &&
      ++task.StartsAfterCrashes > StartsAfterCrashLimit)
    addViolation(
        "BUDGET",
        formatRun(event.Id) + " on " + event.Worker + " is start " +
            std::to_string(task.StartsAfterCrashes) + " after " +
            std::to_string(CrashesBeforeLimit) +
            " workers crashed under the task, now " +
            std::to_string(task.Crashes) +
            (job->CrashingTask == event.Id.Task ? ", which crashes them" : "") +
            (event.Late ? ", by a late command" : ""));
  if (!event.HasRequiredLabel)
    addViolation("ROUTE", formatRun(event.Id) + " on " + event.Worker);
  if (count(event.Remaining.Cpu) < 0 || count(event.Remaining.Memory) < 0 ||
      event.Remaining.Accelerators < 0)
    addViolation("LIMIT", formatRun(event.Id) + " on " + event.Worker +
                              ", remaining CPU " +
                              std::to_string(count(event.Remaining.Cpu)));
  if (step->MaxPerWorker > 0) {
    std::int32_t onSameWorker = 1;
    TaskKey other = event.Id.Task;
    for (other.Index = 0; other.Index < step->Count; ++other.Index)
      for (const auto &[number, run] : Tasks[other].Running)
        onSameWorker += run.Worker == event.Worker;
    if (onSameWorker > step->MaxPerWorker)
      addViolation("ROUTE", formatRun(event.Id) +
                                " exceeds the limit per worker on " +
                                event.Worker);
  }
  checkStartAfterCancel(event, *job);
  task.Running[event.Id.Number] = {event.Worker, Time.now(), event.Late, false};
}

void InvariantChecker::onEnd(const std::string &worker, const RunId &id,
                             RunOutcome outcome) {
  TaskHistory &task = Tasks[id.Task];
  auto it = task.Running.find(id.Number);
  if (it != task.Running.end() && it->second.Worker == worker)
    task.Running.erase(it);
  if (outcome == RunOutcome::Done)
    task.DoneRuns.insert(id.Number);
  if (outcome == RunOutcome::Failed)
    task.FailedRuns.insert(id.Number);
}

void InvariantChecker::onAcknowledged(const RunId &id, RunOutcome outcome) {
  TaskHistory &task = Tasks[id.Task];
  if (outcome == RunOutcome::Failed)
    task.AcknowledgedFailures.insert(id.Number);
  if (outcome != RunOutcome::Done)
    return;
  if (task.SupersededRuns.contains(id.Number) && !task.DoneAcknowledged)
    addViolation("TWICE",
                 formatRun(id) + ": started again after this run was done");
  task.DoneAcknowledged = true;
}

void InvariantChecker::dropRuns(const std::string &worker) {
  Restarts[worker] = std::nullopt;
  for (auto &[key, task] : Tasks)
    std::erase_if(task.Running,
                  [&](const auto &run) { return run.second.Worker == worker; });
}

void InvariantChecker::onCrash(const std::string &worker, bool draining) {
  for (auto &[key, task] : Tasks) {
    int runs = static_cast<int>(std::count_if(
        task.Running.begin(), task.Running.end(),
        [&](const auto &it) { return it.second.Worker == worker; }));
    task.PossibleCrashes += runs;
    if (!draining)
      task.Crashes += runs;
    const ObservedJob *job = runs > 0 ? find(key.Job) : nullptr;
    if (job && job->CrashingTask == key)
      ++CrashesByTasks;
  }
  dropRuns(worker);
}

void InvariantChecker::onEndLost(const RunId &id) {
  ++Tasks[id.Task].PossibleCrashes;
}

void InvariantChecker::onLeave(const std::string &worker) { dropRuns(worker); }

void InvariantChecker::onRestart(const std::string &worker) {
  Restarts[worker] = Time.now();
}

void InvariantChecker::onFaultEnd() {
  --ActiveFaults;
  LastFaultEnd = Time.now();
}

/// Returns when the last disturbance of the installation or of \p worker ended.
/// std::nullopt while there is one.
std::optional<base::TimePoint>
InvariantChecker::calmSince(const std::string &worker) const {
  if (ActiveFaults > 0)
    return std::nullopt;
  auto it = Restarts.find(worker);
  if (it == Restarts.end())
    return LastFaultEnd;
  if (!it->second)
    return std::nullopt;
  return std::max(LastFaultEnd, *it->second);
}

/// Returns the time as whole milliseconds, with its unit.
static std::string formatTime(base::Duration time) {
  return std::to_string(
             std::chrono::duration_cast<std::chrono::milliseconds>(time)
                 .count()) +
         " ms";
}

void InvariantChecker::checkStartAfterCancel(const StartEvent &event,
                                             const ObservedJob &job) {
  std::optional<base::TimePoint> calm = calmSince(event.Worker);
  if (!job.CancelledAt || event.Late || !calm ||
      Time.now() - *calm <= ContactTime)
    return;
  ++CancellationsChecked;
  base::Duration elapsed = Time.now() - *job.CancelledAt;
  if (elapsed > CancelBound)
    addViolation("UNASKED", formatRun(event.Id) + " starts on " + event.Worker +
                                " " + formatTime(elapsed) +
                                " after the cancellation");
}

void InvariantChecker::checkCancelled() {
  base::TimePoint now = Time.now();
  for (auto &[key, task] : Tasks) {
    const ObservedJob *job = find(key.Job);
    if (!job || !job->CancelledAt)
      continue;
    for (auto &[number, run] : task.Running) {
      std::optional<base::TimePoint> calm = calmSince(run.Worker);
      if (!calm || now - *calm <= ContactTime)
        continue;
      if (CountedJobs.insert(key.Job).second)
        ++CancellationsChecked;
      // The stop of a run has the whole time of a cancellation after a fault,
      // as the first calls to stop it may have been lost with the fault.
      base::TimePoint bound =
          std::max(*job->CancelledAt, *calm) + CancelBound + StopBound;
      if (run.Late)
        bound = std::max(bound, run.Started + ContactTime);
      if (now <= bound || run.Overdue)
        continue;
      run.Overdue = true;
      addViolation("UNASKED", formatRun({key, number}) + " runs on " +
                                  run.Worker + " " +
                                  formatTime(now - *job->CancelledAt) +
                                  " after the cancellation, started " +
                                  formatTime(now - run.Started) + " ago" +
                                  (run.Late ? " by a late command" : ""));
    }
  }
}

void InvariantChecker::onCheckpoint(const TaskKey &task,
                                    const std::string &value) {
  Tasks[task].Checkpoints.insert(value);
}

bool InvariantChecker::isComplete(JobNumber id, const ObservedJob &job) const {
  TaskKey key{id, 0, 0, 0};
  for (; key.Occurrence < std::max(1, job.Graph.Occurrences); ++key.Occurrence)
    for (key.Step = 0;
         static_cast<std::size_t>(key.Step) < job.Graph.Steps.size();
         ++key.Step) {
      const model::StepSpec &step =
          job.Graph.Steps[static_cast<std::size_t>(key.Step)];
      bool anyDone = false;
      for (key.Index = 0; key.Index < step.Count; ++key.Index) {
        anyDone = anyDone || isDone(key);
        if (!step.Gang && !isDone(key))
          return false;
      }
      if (!anyDone)
        return false;
    }
  return true;
}

/// Returns whether a task of the job has used up its attempts.
bool InvariantChecker::hasExhaustedAttempts(JobNumber id,
                                            const ObservedJob &job) const {
  for (auto it = Tasks.lower_bound({id, 0, 0, 0});
       it != Tasks.end() && it->first.Job == id; ++it)
    if (static_cast<std::int32_t>(it->second.FailedRuns.size()) >=
        job.MaxAttempts)
      return true;
  return false;
}

/// Returns whether two workers may have crashed under a task of the job.
bool InvariantChecker::hasCrashedTwice(JobNumber id) const {
  for (auto it = Tasks.lower_bound({id, 0, 0, 0});
       it != Tasks.end() && it->first.Job == id; ++it)
    if (it->second.PossibleCrashes >= CrashesBeforeGivingUp)
      return true;
  return false;
}

/// Checks a job that is reported as failed for the first time.
void InvariantChecker::checkFailed(JobNumber id, ObservedJob &job) {
  if (hasExhaustedAttempts(id, job))
    return;
  if (!hasCrashedTwice(id))
    return addViolation("LOST",
                        dispatch::formatJobNumber(id) +
                            " is reported as failed with attempts left");
  job.GivenUp = true;
  if (!job.CrashingTask)
    ++InnocentJobsGivenUp;
}

void InvariantChecker::onStateSeen(JobNumber id, const std::string &state) {
  ObservedJob *job = find(id);
  if (!job) {
    if (!state.empty())
      addViolation("MIXED", dispatch::formatJobNumber(id) +
                                " is reported but was not submitted");
    return;
  }
  std::string name = dispatch::formatJobNumber(id);
  if (state.empty()) {
    if (job->AcceptedAt && !job->CancelSent)
      addViolation("LOST", name + " is unknown");
    return;
  }
  if (!job->AcceptedAt && !job->MayBeStored)
    addViolation("REFUSED", name + " is reported as " + state);
  if (state == "succeeded" && !isComplete(id, *job))
    addViolation("MIXED",
                 name + " is reported as succeeded with incomplete tasks");
  if (state == "failed" && job->LastState != state)
    checkFailed(id, *job);
  if (state == "cancelled" && !job->CancelSent)
    addViolation("LOST",
                 name + " is reported as cancelled without a cancellation");
  static const std::set<std::string> final = {"succeeded", "failed",
                                              "cancelled"};
  if (final.contains(job->LastState) && state != job->LastState)
    addViolation("MIXED",
                 name + " was " + job->LastState + " and is now " + state);
  job->LastState = state;
}

void InvariantChecker::onUnknownQueue(JobNumber id) {
  addViolation("CONFIG",
               dispatch::formatJobNumber(id) + ": its queue is unknown");
}

std::size_t InvariantChecker::runningTasks(JobNumber id) const {
  std::size_t running = 0;
  for (auto it = Tasks.lower_bound({id, 0, 0, 0});
       it != Tasks.end() && it->first.Job == id; ++it)
    running += it->second.Running.size();
  return running;
}

/// Returns whether a job has reached the state that is expected without faults.
static bool isSettled(const ObservedJob &job, std::size_t running) {
  if (job.CancelledAt)
    return running == 0;
  // An unanswered cancellation may or may not have been stored.
  if (!job.AcceptedAt || job.CancelSent)
    return true;
  if (job.GivenUp)
    return running == 0;
  const model::StepSpec &first = job.Graph.Steps.front();
  if (first.LongRunning)
    return running == static_cast<std::size_t>(first.Count);
  return job.LastState == "succeeded" || job.LastState == "failed";
}

bool InvariantChecker::allJobsSettled() const {
  return std::all_of(Jobs.begin(), Jobs.end(), [&](const auto &it) {
    return isSettled(it.second, runningTasks(it.first));
  });
}

void InvariantChecker::checkAllSettled() {
  for (const auto &[id, job] : Jobs) {
    std::size_t running = runningTasks(id);
    if (!isSettled(job, running))
      addViolation("LOST",
                   dispatch::formatJobNumber(id) +
                       " does not settle: reported as '" + job.LastState +
                       "', " + std::to_string(running) + " tasks running" +
                       (job.CancelledAt ? ", cancelled" : "") +
                       (job.CrashingTask ? ", has a crashing task" : ""));
  }
}

} // namespace endivedoor::standin
