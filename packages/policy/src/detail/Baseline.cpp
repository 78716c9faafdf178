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
  for (const model::Rule &it : rules.Rules) {
    if (auto *zone = std::get_if<model::ZoneOut>(&it.Body))
      mark(OutZones, S.Zones.intern(zone->Zone));
    if (auto *worker = std::get_if<model::WorkerOut>(&it.Body))
      mark(OutWorkers, S.referWorker(worker->Worker));
  }
}

void Baseline::setAdmission(bool open, double) { Open = open; }

void Baseline::upsertWorker(const model::Worker &worker) {
  S.upsertWorker(worker);
}

void Baseline::removeWorker(const base::WorkerId &worker) {
  if (Index n = S.findWorker(worker); n != None)
    S.Workers[n].Removed = true;
}

void Baseline::enqueue(const base::TaskId &task, const model::JobSpec &job) {
  if (S.findTask(task) != None)
    return;
  S.pushQueued(S.addTask(task, S.upsertJob(job, Clock)), Clock.now());
  Queue.push_back(task);
}

void Baseline::cancel(const base::TaskId &task) {
  Index n = S.findTask(task);
  if (n == None || S.Tasks[n].State != Phase::Queued)
    return;
  S.unlinkQueued(n);
  S.dropTask(n);
}

void Baseline::started(const base::TaskId &task, const model::JobSpec &job,
                       const base::WorkerId &worker) {
  Index host = S.referWorker(worker);
  Index n = S.findTask(task);
  if (n == None)
    n = S.addTask(task, S.upsertJob(job, Clock));
  else if (S.Tasks[n].State == Phase::Queued)
    S.unlinkQueued(n);
  else
    return;
  S.book(n, host, job.Size, base::count(job.Size.Cpu), Clock.now());
}

void Baseline::startFailed(const base::TaskId &task, const base::WorkerId &) {
  Index n = S.findTask(task);
  if (n == None || S.Tasks[n].State != Phase::Placed)
    return;
  S.release(n);
  S.pushQueued(n, Clock.now());
  Queue.push_back(task);
}

void Baseline::ended(const base::TaskId &task, EndReason) {
  Index n = S.findTask(task);
  if (n == None || S.Tasks[n].State != Phase::Placed)
    return;
  S.release(n);
  S.dropTask(n);
}

void Baseline::observe(const Measurement &) {}

bool Baseline::hasRoom(Index worker, const base::Resources &need) const {
  const WorkerRec &it = S.Workers[worker];
  return it.Known && !it.Leaving && !it.Removed && need.fitsIn(it.Free) &&
         !isMarked(OutWorkers, worker) && !isMarked(OutZones, it.Zone);
}

void Baseline::collect(const base::Resources &need) {
  Candidates.clear();
  for (Index n = 0; n < S.Workers.size(); ++n)
    if (hasRoom(n, need))
      Candidates.push_back(n);
}

bool Baseline::fitsAnyWorker(const base::Resources &need) const {
  return std::any_of(
      S.Workers.begin(), S.Workers.end(),
      [&](const WorkerRec &it) { return need.fitsIn(it.Capacity); });
}

Index Baseline::chooseRandom(const base::Resources &need) {
  collect(need);
  return Candidates.empty() ? None : Candidates[Random() % Candidates.size()];
}

Index Baseline::chooseFirst(const base::Resources &need) {
  for (Index n = 0; n < S.Workers.size(); ++n)
    if (hasRoom(n, need))
      return n;
  return None;
}

Index Baseline::chooseLeastLoaded(const base::Resources &need) {
  Index best = None;
  for (Index n = 0; n < S.Workers.size(); ++n)
    if (hasRoom(n, need) &&
        (best == None || S.Workers[n].Free.Slots > S.Workers[best].Free.Slots))
      best = n;
  return best;
}

Index Baseline::chooseOfTwo(const base::Resources &need) {
  collect(need);
  if (Candidates.empty())
    return None;
  Index a = Candidates[Random() % Candidates.size()];
  Index b = Candidates[Random() % Candidates.size()];
  return S.Workers[a].Free.Slots >= S.Workers[b].Free.Slots ? a : b;
}

std::vector<Decision> Baseline::decide(std::size_t maxStarts) {
  std::vector<Decision> out;
  std::deque<base::TaskId> waiting;
  // Sizes that found no room in this round.
  std::vector<base::Resources> blocked;
  while (Open && !Queue.empty() && out.size() < maxStarts) {
    base::TaskId id = std::move(Queue.front());
    Queue.pop_front();
    Index n = S.findTask(id);
    if (n == None || S.Tasks[n].State != Phase::Queued)
      continue;
    JobRec &job = S.jobOf(n);
    bool full =
        std::find(blocked.begin(), blocked.end(), job.Size) != blocked.end();
    Index host = full ? None : (this->*Choose)(job.Size);
    if (host == None) {
      if (!full && !S.Workers.empty() && !fitsAnyWorker(job.Size) &&
          !job.Refused) {
        job.Refused = true;
        out.push_back(RefuseJob{job.Id, "fits no worker"});
      }
      if (!full)
        blocked.push_back(job.Size);
      waiting.push_back(std::move(id));
      continue;
    }
    S.unlinkQueued(n);
    S.book(n, host, job.Size, base::count(job.Size.Cpu), Clock.now());
    out.push_back(StartTask{id, S.Workers[host].Id, job.Size});
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
