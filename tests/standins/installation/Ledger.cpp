#include "Ledger.h"

#include "endivedoor/dispatch/Records.h"

#include <algorithm>

namespace endivedoor::standin {

using dispatch::RunId;
using dispatch::RunOutcome;
using model::JobNumber;
using model::TaskKey;

static std::string text(const RunId &id) {
  return dispatch::formatJobNumber(id.Task.Job) + "." +
         std::to_string(id.Task.Occurrence) + "." +
         std::to_string(id.Task.Step) + "." + std::to_string(id.Task.Index) +
         " run " + std::to_string(id.Number);
}

void Ledger::report(const std::string &promise, const std::string &detail) {
  Violations.push_back(promise + ": " + detail);
}

LedgerJob &Ledger::addJob(JobNumber id, LedgerJob job) {
  return Jobs[id] = std::move(job);
}

LedgerJob *Ledger::find(JobNumber id) {
  auto it = Jobs.find(id);
  return it == Jobs.end() ? nullptr : &it->second;
}

const model::StepSpec *Ledger::stepOf(const TaskKey &key) const {
  auto job = Jobs.find(key.Job);
  if (job == Jobs.end() || key.Step < 0)
    return nullptr;
  const std::vector<model::StepSpec> &steps = job->second.Graph.Steps;
  auto step = static_cast<std::size_t>(key.Step);
  if (step >= steps.size() || key.Index < 0 || key.Index >= steps[step].Count ||
      key.Occurrence < 0 ||
      key.Occurrence >= std::max(1, job->second.Graph.Repeats))
    return nullptr;
  return &steps[step];
}

bool Ledger::isDone(const TaskKey &key) const {
  auto it = Tasks.find(key);
  return it != Tasks.end() && !it->second.DoneRuns.empty();
}

std::int32_t Ledger::membersPresent(const RunId &id) const {
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

void Ledger::onStart(const Start &s) {
  ++Starts;
  const model::StepSpec *step = stepOf(s.Id.Task);
  LedgerJob *job = find(s.Id.Task.Job);
  if (!step || !job || s.Payload != job->Graph.Payload)
    return report("UNASKED", text(s.Id) + " on " + s.Worker);
  TaskFacts &task = Tasks[s.Id.Task];
  if (!s.Checkpoint.empty() && !step->Gang &&
      !task.Checkpoints.contains(s.Checkpoint))
    report("UNASKED", text(s.Id) + " with a foreign checkpoint");
  if (!job->Accepted && !job->MayBeStored)
    report("REFUSED", text(s.Id));
  TaskKey before = s.Id.Task;
  for (std::int32_t number : step->After) {
    before.Step = number;
    const model::StepSpec &earlier =
        job->Graph.Steps[static_cast<std::size_t>(number)];
    for (before.Index = 0; before.Index < earlier.Count; ++before.Index)
      if (!isDone(before))
        report("ORDER", text(s.Id) + " before step " + std::to_string(number));
  }
  if (job->Graph.Repeats > 0 &&
      Time.wallNow().time_since_epoch() <
          job->Graph.FirstDue + s.Id.Task.Occurrence * job->Graph.Interval -
              std::chrono::milliseconds(250))
    report("ORDER", text(s.Id) + " before its time");
  if (!task.Running.empty())
    report("TWICE", text(s.Id) + " on " + s.Worker + " while run " +
                        std::to_string(task.Running.begin()->first) +
                        " is on " + task.Running.begin()->second);
  task.Overtaken = task.DoneRuns;
  if (task.DoneNoted)
    report("TWICE", text(s.Id) + " after its end was noted");
  if (!step->Lasting &&
      static_cast<std::int32_t>(task.FailedNoted.size()) >= job->MaxAttempts)
    report("BUDGET", text(s.Id));
  if (!s.Suitable)
    report("ROUTE", text(s.Id) + " on " + s.Worker);
  if (count(s.Left.Cpu) < 0 || count(s.Left.Memory) < 0 ||
      s.Left.Accelerators < 0)
    report("LIMIT", text(s.Id) + " on " + s.Worker + ", cpu left " +
                        std::to_string(count(s.Left.Cpu)));
  if (step->MaxPerWorker > 0) {
    std::int32_t same = 1;
    TaskKey other = s.Id.Task;
    for (other.Index = 0; other.Index < step->Count; ++other.Index)
      for (const auto &[run, worker] : Tasks[other].Running)
        same += worker == s.Worker;
    if (same > step->MaxPerWorker)
      report("ROUTE", text(s.Id) + " is one too many on " + s.Worker);
  }
  task.Running[s.Id.Number] = s.Worker;
}

void Ledger::onEnd(const std::string &worker, const RunId &id, RunOutcome how) {
  TaskFacts &task = Tasks[id.Task];
  auto it = task.Running.find(id.Number);
  if (it != task.Running.end() && it->second == worker)
    task.Running.erase(it);
  if (how == RunOutcome::Done)
    task.DoneRuns.insert(id.Number);
  if (how == RunOutcome::Failed)
    task.FailedRuns.insert(id.Number);
}

void Ledger::onNoted(const RunId &id, RunOutcome how) {
  TaskFacts &task = Tasks[id.Task];
  if (how == RunOutcome::Failed)
    task.FailedNoted.insert(id.Number);
  if (how != RunOutcome::Done)
    return;
  if (task.Overtaken.contains(id.Number) && !task.DoneNoted)
    report("TWICE", text(id) + ": started again after this end");
  task.DoneNoted = true;
}

void Ledger::onCrash(const std::string &worker) {
  for (auto &[key, task] : Tasks)
    std::erase_if(task.Running,
                  [&](const auto &run) { return run.second == worker; });
}

void Ledger::onCheckpoint(const TaskKey &task, const std::string &value) {
  Tasks[task].Checkpoints.insert(value);
}

bool Ledger::isComplete(JobNumber id, const LedgerJob &job) const {
  TaskKey key{id, 0, 0, 0};
  for (; key.Occurrence < std::max(1, job.Graph.Repeats); ++key.Occurrence)
    for (key.Step = 0;
         static_cast<std::size_t>(key.Step) < job.Graph.Steps.size();
         ++key.Step) {
      const model::StepSpec &step =
          job.Graph.Steps[static_cast<std::size_t>(key.Step)];
      bool any = false;
      for (key.Index = 0; key.Index < step.Count; ++key.Index) {
        any = any || isDone(key);
        if (!step.Gang && !isDone(key))
          return false;
      }
      if (!any)
        return false;
    }
  return true;
}

/// Returns whether a task of the job has failed as often as it may.
bool Ledger::hasExhausted(JobNumber id, const LedgerJob &job) const {
  for (auto it = Tasks.lower_bound({id, 0, 0, 0});
       it != Tasks.end() && it->first.Job == id; ++it)
    if (static_cast<std::int32_t>(it->second.FailedRuns.size()) >=
        job.MaxAttempts)
      return true;
  return false;
}

void Ledger::onShown(JobNumber id, const std::string &state) {
  LedgerJob *job = find(id);
  if (!job) {
    if (!state.empty())
      report("MIXED",
             dispatch::formatJobNumber(id) + " is shown but was not sent");
    return;
  }
  std::string name = dispatch::formatJobNumber(id);
  if (state.empty()) {
    if (job->Accepted && !job->CancelSent)
      report("LOST", name + " is not known");
    return;
  }
  if (!job->Accepted && !job->MayBeStored)
    report("REFUSED", name + " is shown as " + state);
  if (state == "succeeded" && !isComplete(id, *job))
    report("MIXED", name + " is shown as succeeded with tasks to do");
  if (state == "failed" && !hasExhausted(id, *job))
    report("LOST", name + " is shown as failed without cause");
  if (state == "cancelled" && !job->CancelSent)
    report("LOST", name + " is shown as cancelled without cause");
  static const std::set<std::string> final = {"succeeded", "failed",
                                              "cancelled"};
  if (final.contains(job->Shown) && state != job->Shown)
    report("MIXED", name + " was " + job->Shown + " and is now " + state);
  job->Shown = state;
}

void Ledger::onNoQueue(JobNumber id) {
  report("CONFIG", dispatch::formatJobNumber(id) + ": its queue is not known");
}

std::size_t Ledger::runningOf(JobNumber id) const {
  std::size_t running = 0;
  for (auto it = Tasks.lower_bound({id, 0, 0, 0});
       it != Tasks.end() && it->first.Job == id; ++it)
    running += it->second.Running.size();
  return running;
}

/// Returns whether a job is where it belongs when nothing disturbs any more.
static bool isSettled(const LedgerJob &job, std::size_t running) {
  if (job.Cancelled)
    return running == 0;
  // An unanswered cancellation may or may not have been stored.
  if (!job.Accepted || job.CancelSent)
    return true;
  const model::StepSpec &first = job.Graph.Steps.front();
  if (first.Lasting)
    return running == static_cast<std::size_t>(first.Count);
  return job.Shown == "succeeded" || job.Shown == "failed";
}

bool Ledger::isAtRest() const {
  return std::all_of(Jobs.begin(), Jobs.end(), [&](const auto &it) {
    return isSettled(it.second, runningOf(it.first));
  });
}

void Ledger::checkRest() {
  for (const auto &[id, job] : Jobs) {
    std::size_t running = runningOf(id);
    if (!isSettled(job, running))
      report("LOST", dispatch::formatJobNumber(id) +
                         " does not settle: shown as '" + job.Shown + "', " +
                         std::to_string(running) + " tasks running" +
                         (job.Cancelled ? ", cancelled" : ""));
  }
}

} // namespace endivedoor::standin
