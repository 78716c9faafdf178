#include "detail/Baseline.h"

#include <algorithm>

namespace endivedoor::policy::detail {

Baseline::Baseline(BaselineKind kind, const base::Clock &clock,
                   std::uint64_t seed)
    : Clock(clock), Random(seed) {
  static constexpr Choice choices[] = {
      &Baseline::chooseRandom, &Baseline::chooseFirst,
      &Baseline::chooseLeastLoaded, &Baseline::chooseOfTwo};
  Choose = choices[std::size_t(kind)];
}

static void mark(std::vector<bool> &flags, Index n) {
  if (flags.size() <= n)
    flags.resize(n + 1);
  flags[n] = true;
}

static bool isMarked(const std::vector<bool> &flags, Index n) {
  return n < flags.size() && flags[n];
}

void Baseline::applyRules(const model::RuleSet &rules) {
  OutWorkers.clear();
  OutZones.clear();
  for (const model::Rule &rule : rules.Rules) {
    if (auto *zone = std::get_if<model::ZoneOut>(&rule.Body))
      mark(OutZones, Records.Zones.intern(zone->Zone));
    if (auto *worker = std::get_if<model::WorkerOut>(&rule.Body))
      mark(OutWorkers, Records.internWorker(worker->Worker));
  }
}

void Baseline::setAdmission(bool open, double) { Open = open; }

void Baseline::upsertWorker(const model::Worker &worker) {
  Records.upsertWorker(worker);
}

void Baseline::removeWorker(const base::WorkerId &worker) {
  if (Index n = Records.findWorker(worker); n != None)
    Records.Workers[n].Removed = true;
}

void Baseline::enqueue(const base::TaskId &task, const model::JobSpec &job) {
  if (Records.findTask(task) != None)
    return;
  Records.pushQueued(Records.addTask(task, Records.upsertJob(job, Clock)),
                     Clock.now());
  Queue.push_back(task);
}

void Baseline::cancel(const base::TaskId &task) {
  Index n = Records.findTask(task);
  if (n == None || Records.Tasks[n].State != Phase::Queued)
    return;
  Records.unlinkQueued(n);
  Records.removeTask(n);
}

void Baseline::started(const base::TaskId &task, const model::JobSpec &job,
                       const base::WorkerId &worker) {
  Index host = Records.internWorker(worker);
  Index n = Records.findTask(task);
  if (n == None)
    n = Records.addTask(task, Records.upsertJob(job, Clock));
  else if (Records.Tasks[n].State == Phase::Queued)
    Records.unlinkQueued(n);
  else
    return;
  Records.allocate(n, host, job.Size, base::count(job.Size.Cpu), Clock.now());
}

void Baseline::startFailed(const base::TaskId &task, const base::WorkerId &) {
  Index n = Records.findTask(task);
  if (n == None || Records.Tasks[n].State != Phase::Placed)
    return;
  Records.release(n);
  Records.pushQueued(n, Clock.now());
  Queue.push_back(task);
}

void Baseline::ended(const base::TaskId &task, EndReason) {
  Index n = Records.findTask(task);
  if (n == None || Records.Tasks[n].State != Phase::Placed)
    return;
  Records.release(n);
  Records.removeTask(n);
}

void Baseline::observe(const Measurement &) {}

bool Baseline::hasRoom(Index worker, const base::Resources &need) const {
  const WorkerRec &workerRec = Records.Workers[worker];
  return workerRec.Known && !workerRec.Leaving && !workerRec.Removed &&
         need.fitsIn(workerRec.Free) && !isMarked(OutWorkers, worker) &&
         !isMarked(OutZones, workerRec.Zone);
}

void Baseline::collectCandidates(const base::Resources &need) {
  Candidates.clear();
  for (Index n = 0; n < Records.Workers.size(); ++n)
    if (hasRoom(n, need))
      Candidates.push_back(n);
}

bool Baseline::fitsAnyWorker(const base::Resources &need) const {
  return std::any_of(Records.Workers.begin(), Records.Workers.end(),
                     [&](const WorkerRec &workerRec) {
                       return need.fitsIn(workerRec.Capacity);
                     });
}

Index Baseline::chooseRandom(const base::Resources &need) {
  collectCandidates(need);
  return Candidates.empty() ? None : Candidates[Random() % Candidates.size()];
}

Index Baseline::chooseFirst(const base::Resources &need) {
  for (Index n = 0; n < Records.Workers.size(); ++n)
    if (hasRoom(n, need))
      return n;
  return None;
}

Index Baseline::chooseLeastLoaded(const base::Resources &need) {
  Index best = None;
  for (Index n = 0; n < Records.Workers.size(); ++n)
    if (hasRoom(n, need) &&
        (best == None ||
         Records.Workers[n].Free.Slots > Records.Workers[best].Free.Slots))
      best = n;
  return best;
}

Index Baseline::chooseOfTwo(const base::Resources &need) {
  collectCandidates(need);
  if (Candidates.empty())
    return None;
  Index a = Candidates[Random() % Candidates.size()];
  Index b = Candidates[Random() % Candidates.size()];
  return Records.Workers[a].Free.Slots >= Records.Workers[b].Free.Slots ? a : b;
}

std::vector<Decision> Baseline::decide(std::size_t maxStarts) {
  std::vector<Decision> out;
  std::deque<base::TaskId> waiting;
  // Sizes that did not fit on any worker in this round.
  std::vector<base::Resources> blocked;
  while (Open && !Queue.empty() && out.size() < maxStarts) {
    base::TaskId id = std::move(Queue.front());
    Queue.pop_front();
    Index n = Records.findTask(id);
    if (n == None || Records.Tasks[n].State != Phase::Queued)
      continue;
    JobRec &job = Records.jobOf(n);
    bool full =
        std::find(blocked.begin(), blocked.end(), job.Size) != blocked.end();
    Index host = full ? None : (this->*Choose)(job.Size);
    if (host == None) {
      if (!full && !Records.Workers.empty() && !fitsAnyWorker(job.Size) &&
          !job.Refused) {
        job.Refused = true;
        out.push_back(RefuseJob{job.Id, "fits no worker"});
      }
      if (!full)
        blocked.push_back(job.Size);
      waiting.push_back(std::move(id));
      continue;
    }
    Records.unlinkQueued(n);
    Records.allocate(n, host, job.Size, base::count(job.Size.Cpu), Clock.now());
    out.push_back(StartTask{id, Records.Workers[host].Id, job.Size});
  }
  Queue.insert(Queue.begin(), std::make_move_iterator(waiting.begin()),
               std::make_move_iterator(waiting.end()));
  return out;
}

} // namespace endivedoor::policy::detail

namespace endivedoor::policy {

std::unique_ptr<Scheduler>
makeBaseline(BaselineKind kind, const base::Clock &clock, std::uint64_t seed) {
  return std::make_unique<detail::Baseline>(kind, clock, seed);
}

} // namespace endivedoor::policy
