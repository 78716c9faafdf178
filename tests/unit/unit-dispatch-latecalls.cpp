// Randomized sequences of silences, restarts and changes of the owner between a
// shard and a model of its workers, while calls without an answer are carried
// out up to 12 s later, also at a later incarnation of the worker. Faults of a
// call that acts on an incarnation that it was not meant for: a task runs
// twice, or starts again after its end was acknowledged.
#include "support/ShardFixture.h"

#include <functional>
#include <random>

using namespace endivedoor;
using namespace endivedoor::tests;

namespace {

// What docs/design.md lists as not covered. Each switch keeps exactly one of
// these cases out of the model.

/// A start that no stored roster has named as unanswered does not run in a
/// later life if the worker had answered the next owner without listing the run
/// ("Not covered").
constexpr bool AvoidStartsOfEarlierOwners = true;
/// Two late starts of a task do not run in one life of a worker ("Not
/// covered").
constexpr bool AvoidSecondLateStarts = true;
/// A late acknowledgement of a later owner does not discard the end of such a
/// start ("Not covered").
constexpr bool AvoidEndsOfEarlierOwners = true;
/// The next owner counts a silent worker whose restart no entry and no answer
/// has shown as the same incarnation: starts of earlier owners that no stored
/// roster has named do not run in that life once their tasks were started
/// elsewhere ("Not covered").
constexpr bool AvoidRestartsNotShown = true;

/// Longest delay of a call without an answer. Not dispatch::MaxCallDelay, so
/// that a lower value there is noticed.
constexpr auto LongestCallDelay = 12000ms;
/// How many of the calls without an answer, in percent, are carried out. Few
/// stops, which would end most of what late starts begin.
constexpr int LatePolls = 80, LateStarts = 90, LateStops = 20;
/// Small, so that a task that is given up starts elsewhere at once.
constexpr std::int64_t TaskCpu = 1000;
constexpr auto CallTimeout = 900ms;
constexpr auto PollRetryDelay = 300ms;
/// What the worker's clock shows when a life begins.
constexpr auto FirstClock = 50ms;
/// A task of which that many workers have crashed may be given up
/// (Crashes.cpp).
constexpr std::size_t MinCrashesOfGivenUpJob = 2;
constexpr base::Duration TroubleTime = 45s;
/// Longer than the longest wait for a worker, and for the runs after it.
constexpr base::Duration SettleTime = 90s;

/// One start command. It is carried out at most once.
struct ModelStart {
  std::string Worker;
  /// Latest life of the worker that had answered when it was sent.
  std::int64_t MeantLife = 0;
  base::FencingToken Token{0};
  std::int64_t Term = 0;
  /// Life of the worker whose answer to a later owner has not listed the run.
  std::int64_t RefusedInLife = 0;
  /// A stored roster has named the start as unanswered.
  bool Stored = false;
  /// Latest life that had been shown when an owner that had got no answer
  /// counted the run as ended.
  std::optional<std::int64_t> ShownWhenGivenUp;
};

struct ModelEnd {
  RunId Run;
  RunOutcome Outcome = RunOutcome::Done;
};

struct ModelWorker {
  std::string Id;
  std::int64_t Life = 1;
  base::TimePoint LifeBegan;
  /// Rate of the clock of this life.
  double Rate = 1;
  base::FencingToken Token{0};
  std::chrono::milliseconds Deadline{0};
  /// When each run will be done.
  std::map<RunId, base::TimePoint> Running;
  /// Highest run of each task that was stopped or has ended in this life.
  std::map<TaskKey, std::int64_t> LastRuns;
  /// Ends of this life that have not been forgotten, by number.
  std::map<std::int64_t, ModelEnd> Ends;
  std::int64_t LastEnd = 0;
  /// Until then, no process listens.
  base::TimePoint DownUntil;
  /// Until then, no new call and no answer gets through.
  base::TimePoint CutUntil;
  /// Life that the directory entry shows.
  std::int64_t EntryLife = 1;
  /// Latest life that an answer has shown, and that an answer or an entry has.
  std::int64_t AnsweredLife = 0;
  std::int64_t ShownLife = 1;
  /// The owner's latest poll was answered, and when one last was.
  bool Heard = false;
  base::TimePoint HeardAt;

  std::chrono::milliseconds born(std::int64_t life) const {
    return std::chrono::milliseconds(1000 * life);
  }
};

class LateCalls : public ShardFixture,
                  public testing::WithParamInterface<std::uint64_t> {
protected:
  bool chance(int percent) {
    return std::uniform_int_distribution<>(1, 100)(Random) <= percent;
  }

  std::chrono::milliseconds between(std::chrono::milliseconds from,
                                    std::chrono::milliseconds to) {
    return std::chrono::milliseconds(
        std::uniform_int_distribution<std::int64_t>(from.count(),
                                                    to.count())(Random));
  }

  void after(base::Duration delay, std::function<void()> event) {
    Queue.emplace(now() + delay, std::move(event));
  }

  /// Lets the events until a time happen, while a condition holds.
  void runUntil(base::TimePoint end, const std::function<bool()> &wanted) {
    while (!Queue.empty() && Queue.begin()->first <= end && wanted()) {
      auto event = Queue.extract(Queue.begin());
      Time.advance(std::max(base::Duration{0}, event.key() - now()));
      event.mapped()();
    }
  }

  // The worker.

  std::chrono::milliseconds clock(const ModelWorker &w) const {
    return FirstClock + std::chrono::duration_cast<std::chrono::milliseconds>(
                            (now() - w.LifeBegan) * w.Rate);
  }

  base::TimePoint leaseEnd(const ModelWorker &w) const {
    return w.LifeBegan + std::chrono::duration_cast<base::Duration>(
                             (w.Deadline - FirstClock) / w.Rate);
  }

  void endRun(ModelWorker &w, const RunId &run, RunOutcome outcome) {
    w.Running.erase(run);
    w.Ends[++w.LastEnd] = {run, outcome};
    std::int64_t &last = w.LastRuns[run.Task];
    last = std::max(last, run.Number);
  }

  /// Ends what was done, and what has lapsed, before now.
  void updateRuns(ModelWorker &w) {
    base::TimePoint lapse = leaseEnd(w);
    for (const auto &[run, done] :
         std::map<RunId, base::TimePoint>(w.Running)) {
      if (done <= std::min(now(), lapse))
        endRun(w, run, RunOutcome::Done);
      else if (now() > lapse)
        endRun(w, run, RunOutcome::LeaseExpired);
    }
  }

  bool isDown(const ModelWorker &w) const { return now() < w.DownUntil; }
  bool isReachable(const ModelWorker &w) const {
    return !isDown(w) && now() >= w.CutUntil;
  }

  /// Returns whether the worker's token allows a call.
  bool accept(ModelWorker &w, base::FencingToken token) {
    updateRuns(w);
    if (token < w.Token)
      return false;
    w.Token = token;
    return true;
  }

  void extendLease(ModelWorker &w, std::chrono::milliseconds requested) {
    w.Deadline =
        std::max(w.Deadline, std::min(requested, clock(w) + Options.MaxLease));
  }

  /// \param term of the owner that acknowledges the ends.
  void forgetEnds(ModelWorker &w, std::int64_t upTo, std::int64_t term) {
    auto end = w.Ends.upper_bound(upTo);
    auto isUnknown = [&](const auto &it) {
      const ModelStart &start = Starts.at(it.second.Run);
      return start.MeantLife < w.Life && start.Term < term && !start.Stored;
    };
    if (AvoidEndsOfEarlierOwners && std::any_of(w.Ends.begin(), end, isUnknown))
      return;
    for (auto it = w.Ends.begin(); it != end; it = w.Ends.erase(it))
      if (it->second.Outcome == RunOutcome::Done)
        noteAcknowledged(it->second.Run);
  }

  void noteAcknowledged(const RunId &run) {
    std::int64_t &last = AcknowledgedDone[run.Task];
    last = std::max(last, run.Number);
  }

  PollReport carryOutPoll(ModelWorker &w, const dispatch::PollRequest &request,
                          std::int64_t term) {
    PollReport report;
    if (!accept(w, request.Token)) {
      report.Fenced = true;
      return report;
    }
    forgetEnds(w, request.AcknowledgedEnd, term);
    report.AcknowledgedEnd = request.AcknowledgedEnd;
    extendLease(w, request.Deadline);
    report.Clock = clock(w);
    report.StartTime = w.born(w.Life);
    for (const auto &[run, done] : w.Running)
      report.Running.push_back({run, "", 100, 0, false});
    for (const auto &[number, it] : w.Ends)
      report.Ended.push_back({number, it.Run, it.Outcome, ""});
    return report;
  }

  /// Returns whether the design leaves a late start in this life uncovered.
  bool isUncovered(const ModelWorker &w, const TaskKey &task,
                   const ModelStart &start) const {
    if (start.MeantLife >= w.Life)
      return false;
    if (AvoidStartsOfEarlierOwners && !start.Stored &&
        start.RefusedInLife != 0 && start.RefusedInLife < w.Life)
      return true;
    auto isSecond = [&](const auto &it) {
      return it.first.Task == task && Starts.at(it.first).MeantLife < w.Life;
    };
    if (AvoidSecondLateStarts &&
        std::any_of(w.Running.begin(), w.Running.end(), isSecond))
      return true;
    return AvoidRestartsNotShown && !start.Stored && start.Term < OwnerTerm &&
           start.ShownWhenGivenUp && *start.ShownWhenGivenUp < w.Life;
  }

  CommandResult carryOutStart(ModelWorker &w, const WorkerCommand &order) {
    if (isUncovered(w, order.Run.Task, Starts.at(order.Run)))
      return CommandResult::Unhealthy;
    if (!accept(w, order.Token))
      return CommandResult::Fenced;
    if (clock(w) > order.Deadline)
      return CommandResult::DeadlinePassed;
    extendLease(w, order.Deadline);
    auto last = w.LastRuns.find(order.Run.Task);
    if (last != w.LastRuns.end() && order.Run.Number <= last->second)
      return CommandResult::StaleRun;
    for (ModelWorker &it : Workers) {
      updateRuns(it);
      for (const auto &[run, done] : it.Running)
        EXPECT_NE(run.Task, order.Run.Task)
            << text(order.Run) << " begins on " << w.Id << " while "
            << text(run) << " goes on on " << it.Id;
    }
    // A later run may have been on the way when the end was read.
    if (auto done = AcknowledgedDone.find(order.Run.Task);
        done != AcknowledgedDone.end()) {
      EXPECT_GT(order.Run.Number, done->second)
          << text(order.Run) << " begins on " << w.Id
          << " although the task was done";
    }
    w.Running[order.Run] = now() + (chance(50) ? between(200ms, 3000ms)
                                               : between(3000ms, 15000ms));
    ++StartCount;
    return CommandResult::Done;
  }

  CommandResult carryOutStop(ModelWorker &w, const WorkerCommand &order) {
    if (!accept(w, order.Token))
      return CommandResult::Fenced;
    if (w.Running.contains(order.Run))
      endRun(w, order.Run, RunOutcome::Stopped);
    std::int64_t &last = w.LastRuns[order.Run.Task];
    last = std::max(last, order.Run.Number);
    return CommandResult::Done;
  }

  /// The worker starts again under its id and gets a directory entry later.
  void restart(ModelWorker &w, base::Duration downTime) {
    w.DownUntil = now() + downTime;
    w.Running.clear();
    w.Ends.clear();
    w.LastRuns.clear();
    w.LastEnd = 0;
    w.Deadline = 0ms;
    w.Token = base::FencingToken{0};
    ++w.Life;
    w.LifeBegan = w.DownUntil;
    w.Rate = chance(50) ? 1.0 : 0.98;
    after(downTime +
              (chance(60) ? between(0ms, 1000ms) : between(1000ms, 20000ms)),
          [this, &w, life = w.Life] {
            w.EntryLife = std::max(w.EntryLife, life);
            announce(w);
          });
  }

  // The calls.

  /// Carries out a call, at once or late, and passes in its answer if there is
  /// one.
  ///
  /// \param lostPercent how many calls get no answer.
  /// \param latePercent how many of those are carried out.
  template <typename Answer>
  void call(ModelWorker &w, int lostPercent, int latePercent,
            std::function<Answer()> carryOut,
            std::function<void(std::optional<Answer>)> onAnswer) {
    std::int64_t term = OwnerTerm;
    auto answer = [this, term, onAnswer](std::optional<Answer> it) {
      if (Owner && OwnerTerm == term)
        onAnswer(std::move(it));
    };
    auto lose = [this, answer](base::Duration sentBefore) {
      after(CallTimeout - sentBefore, [answer] { answer(std::nullopt); });
    };
    if (isDown(w) && now() >= w.CutUntil)
      return after(1ms, [answer] { answer(std::nullopt); });
    if (!isReachable(w) || chance(lostPercent)) {
      lose(0ms);
      if (chance(latePercent))
        after(between(0ms, LongestCallDelay), [this, &w, carryOut] {
          if (!isDown(w))
            carryOut();
        });
      return;
    }
    auto there = between(1ms, 30ms);
    after(there, [this, &w, carryOut, answer, lose, there] {
      if (isDown(w))
        return lose(there);
      Answer it = carryOut();
      std::int64_t life = w.Life;
      auto back = between(1ms, 30ms);
      after(back, [this, &w, answer, lose, it, life, there, back] {
        if (isReachable(w) && w.Life == life)
          answer(it);
        else
          lose(there + back);
      });
    });
  }

  void sendPoll(ModelWorker &w) {
    if (!Owner)
      return;
    std::optional<dispatch::PlannedPoll> plan =
        Owner->nextPoll(base::WorkerId(w.Id), now(), true);
    if (!plan)
      return;
    base::TimePoint sent = now();
    bool refused = isDown(w) && now() >= w.CutUntil;
    call<PollReport>(
        w, LostPolls, LatePolls,
        [this, &w, request = plan->Request, term = OwnerTerm] {
          return carryOutPoll(w, request, term);
        },
        [this, &w, token = plan->Request.Token, sent,
         refused](std::optional<PollReport> report) {
          if (report)
            onPollAnswer(w, token, *report, sent);
          else
            Owner->onPollFailed(base::WorkerId(w.Id), "lost", now(), refused);
          w.Heard = report.has_value();
          if (w.Heard)
            w.HeardAt = now();
          after(report ? between(20ms, 400ms) : PollRetryDelay,
                [this, &w, term = OwnerTerm] {
                  if (OwnerTerm == term)
                    sendPoll(w);
                });
        });
  }

  static bool isListed(const PollReport &report, const RunId &run) {
    return std::any_of(report.Running.begin(), report.Running.end(),
                       [&](const auto &it) { return it.Id == run; });
  }

  void onPollAnswer(ModelWorker &w, base::FencingToken token,
                    const PollReport &report, base::TimePoint sent) {
    Owner->onPoll(base::WorkerId(w.Id), report, sent, now());
    EXPECT_FALSE(Owner->isFenced());
    if (report.Fenced)
      return;
    w.AnsweredLife = std::max(w.AnsweredLife, report.StartTime / 1000ms);
    for (auto &[run, start] : Starts)
      if (start.Worker == w.Id && start.Term < OwnerTerm &&
          start.Token < token && start.RefusedInLife == 0 &&
          !isListed(report, run))
        start.RefusedInLife = w.AnsweredLife;
    w.ShownLife = std::max(w.ShownLife, w.AnsweredLife);
  }

  /// The owner counts the runs on a silent worker as ended.
  void noteGivenUp(ModelWorker &w) {
    for (auto &[run, start] : Starts)
      if (start.Worker == w.Id)
        giveUp(w, run, start);
  }

  void giveUp(ModelWorker &w, const RunId &run, ModelStart &start) {
    if (start.ShownWhenGivenUp)
      return;
    start.ShownWhenGivenUp = w.ShownLife;
    if (isUncovered(w, run.Task, start))
      w.Running.erase(run);
  }

  /// The owner does not wait for late starts of a task on workers that have
  /// been silent for the time of a lease.
  void noteNotAwaited(const WorkerCommand &order) {
    for (auto &[run, start] : Starts) {
      ModelWorker &w = named(start.Worker);
      if (run.Task == order.Run.Task && start.Worker != order.Worker.Id.str() &&
          !w.Heard && now() - w.HeardAt >= Options.LeaseDuration)
        giveUp(w, run, start);
    }
  }

  std::string describeUnverified() const {
    return " " + Owner->describeUnverified(now());
  }

  static bool isIn(const std::string &unverified, const ModelWorker &w) {
    return unverified.find(" " + w.Id + ":") != std::string::npos;
  }

  std::uint64_t lossCount() const {
    auto counts = Events.counts();
    auto it = counts.find(base::EventCode::RunsLost);
    return it == counts.end() ? 0 : it->second;
  }

  /// Plans, and notes which silent workers are no longer waited for.
  std::vector<WorkerCommand> planAndNoteLosses() {
    std::uint64_t losses = lossCount();
    std::string unverified = describeUnverified();
    std::vector<WorkerCommand> orders =
        Owner->plan(now(), Time.wallNow(), true);
    std::string still = describeUnverified();
    for (ModelWorker &it : Workers)
      if (isIn(unverified, it) && !isIn(still, it))
        noteGivenUp(it);
    losses = lossCount() - losses;
    std::vector<base::EventRecord> events;
    if (losses > 0)
      events = Events.snapshot();
    for (auto it = events.rbegin(); it != events.rend() && losses > 0; ++it)
      if (it->Code == base::EventCode::RunsLost) {
        --losses;
        noteGivenUp(named(it->Fields.front().second));
      }
    return orders;
  }

  void sendStart(const WorkerCommand &order) {
    if (!Owner->isStartWanted(order))
      return Owner->withdrawStart(order);
    EXPECT_FALSE(AcknowledgedDone.contains(order.Run.Task))
        << text(order.Run) << " is sent although the task was done";
    ModelWorker &w = named(order.Worker.Id.str());
    noteNotAwaited(order);
    Starts[order.Run] = {w.Id, w.AnsweredLife, order.Token, OwnerTerm,
                         0,    false,          {}};
    bool refused = isDown(w) && now() >= w.CutUntil;
    call<CommandResult>(
        w, LostCommands, LateStarts,
        [this, &w, order] { return carryOutStart(w, order); },
        [this, order, refused](std::optional<CommandResult> result) {
          if (result)
            Owner->onStart(order, *result, now());
          else
            Owner->onStart(order,
                           base::fail(refused ? base::Errc::WorkerUnreachable
                                              : base::Errc::WorkerAnswerLost,
                                      ""),
                           now());
        });
  }

  void sendStop(const WorkerCommand &order) {
    ModelWorker &w = named(order.Worker.Id.str());
    call<CommandResult>(
        w, LostCommands, LateStops,
        [this, &w, order] { return carryOutStop(w, order); },
        [this, order](std::optional<CommandResult> result) {
          if (!result)
            return Owner->onStop(
                order, base::fail(base::Errc::WorkerAnswerLost, ""), now());
          Owner->onStop(order, *result, now());
        });
  }

  // The owner.

  void announce(const ModelWorker &w) {
    if (!Owner)
      return;
    model::WorkerProfile profile = worker(w.Id);
    profile.StartTime = w.born(w.EntryLife);
    Owner->updateWorker(profile, now());
    ModelWorker &shown = named(w.Id);
    shown.ShownLife = std::max(shown.ShownLife, w.EntryLife);
  }

  void storeRecords() {
    std::vector<dispatch::JobWrite> writes = Owner->takeWrites(100);
    for (dispatch::JobWrite &it : writes) {
      it.Revision = ++Revision;
      if (it.Final) {
        Jobs.erase(it.Job);
        if (*it.Final == model::JobState::Failed) {
          EXPECT_GE(crashCount(it.Job), MinCrashesOfGivenUpJob);
        }
      } else {
        Progress[it.Job] = it;
      }
    }
    if (!writes.empty())
      Owner->onStored(writes, now());
  }

  /// Returns the largest number of starts of one task of a job whose workers
  /// have restarted since.
  std::size_t crashCount(JobNumber job) {
    std::map<TaskKey, std::size_t> crashes;
    std::size_t largest = 0;
    for (const auto &[run, start] : Starts)
      if (run.Task.Job == job && start.MeantLife < named(start.Worker).Life)
        largest = std::max(largest, ++crashes[run.Task]);
    return largest;
  }

  void storeRoster() {
    std::vector<dispatch::RosterEntry> roster = Owner->roster();
    Owner->onRosterSent(roster);
    StoredRoster = dispatch::encodeRoster(roster);
    for (const dispatch::RosterEntry &row : roster)
      for (auto &[run, start] : Starts)
        start.Stored |= start.Worker == row.Id.str() &&
                        start.Term == OwnerTerm &&
                        std::binary_search(row.LateStarts.begin(),
                                           row.LateStarts.end(), run.Task);
    Owner->onRosterStored(roster);
  }

  void planLoop() {
    if (Owner) {
      storeRoster();
      for (const WorkerCommand &it : planAndNoteLosses()) {
        if (it.Type == WorkerCommand::Kind::Start)
          sendStart(it);
        else if (it.Type == WorkerCommand::Kind::Stop)
          sendStop(it);
      }
      storeRecords();
    }
    after(between(50ms, 150ms), [this] { planLoop(); });
  }

  void addRandomJob() {
    model::StepSpec first =
        step(static_cast<std::int32_t>(between(1ms, 3ms).count()), TaskCpu);
    model::StepSpec second = step(1, TaskCpu);
    second.Dependencies = {0};
    model::AcceptedJob added = job(++LastJob, {first, second});
    added.Policy.MaxAttempts = 100;
    Jobs[added.Id] = added;
    if (Owner)
      Owner->addJob(added, 5, false, now());
  }

  void cancelRandomJob() {
    if (Jobs.empty())
      return;
    JobNumber cancelled = Jobs.begin()->first;
    Cancelled.insert(cancelled);
    if (Owner)
      Owner->cancelJob(cancelled, now());
  }

  void loseOwner() {
    Owner.reset();
    after(chance(50) ? 0ms : between(0ms, 4000ms), [this] { takeOver(); });
  }

  /// Another owner reads the records and the roster.
  void takeOver() {
    if (Owner)
      return;
    Former.push_back({OwnerTerm, now(), chance(50)});
    ++OwnerTerm;
    Owner = makeOwner();
    for (ModelWorker &it : Workers)
      it.Heard = false;
    announceAll();
    Owner->markUnverified(dispatch::decodeRoster(StoredRoster).value(), Former,
                          now());
    for (const auto &[id, it] : Jobs) {
      Owner->addJob(it, 5, true, now());
      if (auto record = Progress.find(id); record != Progress.end())
        Owner->restore(id, record->second.Progress, record->second.Revision);
      if (Cancelled.contains(id))
        Owner->cancelJob(id, now());
    }
    // Those whose leases have expired already.
    std::string unverified = describeUnverified();
    for (ModelWorker &it : Workers)
      if (!isIn(unverified, it))
        noteGivenUp(it);
    pollAll();
  }

  void announceAll() {
    for (const ModelWorker &it : Workers)
      announce(it);
  }

  void pollAll() {
    for (ModelWorker &it : Workers)
      sendPoll(it);
  }

  std::unique_ptr<Shard> makeOwner() {
    return std::make_unique<Shard>(
        Options, 0, OwnerTerm,
        base::FencingToken{static_cast<std::uint64_t>(OwnerTerm)}, Events,
        MetricsRegistry);
  }

  // The faults.

  void cut(ModelWorker &w) {
    w.CutUntil =
        std::max(w.CutUntil, now() + (chance(60) ? between(1000ms, 8000ms)
                                                 : between(12000ms, 25000ms)));
  }

  void startFault() {
    ModelWorker &w = Workers[static_cast<std::size_t>(
        between(0ms, std::chrono::milliseconds(Workers.size() - 1)).count())];
    auto restartLater = [this, &w](base::Duration delay) {
      after(delay, [this, &w] {
        if (!isDown(w))
          restart(w, between(50ms, 1500ms));
      });
    };
    // So that starts are on the way when the worker falls silent.
    after(between(0ms, 800ms), [this] { addRandomJob(); });
    switch (between(0ms, 4ms).count()) {
    case 0:
      cut(w);
      break;
    case 1:
      cut(w);
      restartLater(between(0ms, 6000ms));
      break;
    case 2:
      restartLater(0ms);
      after(between(0ms, 3000ms), [this, &w] { cut(w); });
      break;
    case 3:
      restartLater(0ms);
      restartLater(between(100ms, 3500ms));
      if (chance(50))
        after(between(0ms, 5000ms), [this, &w] { cut(w); });
      break;
    case 4:
      restartLater(0ms);
      break;
    }
    if (chance(40))
      after(between(0ms, 5000ms), [this] { loseOwner(); });
  }

  static std::string text(const RunId &run) {
    return "run " + std::to_string(run.Number) + " of task " +
           std::to_string(base::toNumber(run.Task.Job)) + "." +
           std::to_string(run.Task.Step) + "." + std::to_string(run.Task.Index);
  }

  ModelWorker &named(const std::string &id) {
    return *std::find_if(Workers.begin(), Workers.end(),
                         [&](const ModelWorker &it) { return it.Id == id; });
  }

  std::mt19937_64 Random{GetParam()};
  dispatch::ShardOptions Options;
  std::multimap<base::TimePoint, std::function<void()>> Queue;
  std::int64_t OwnerTerm = Term;
  std::unique_ptr<Shard> Owner = makeOwner();
  std::vector<dispatch::FormerTerm> Former;
  std::string StoredRoster;
  std::uint64_t LastJob = 0;
  std::map<JobNumber, model::AcceptedJob> Jobs;
  std::map<JobNumber, dispatch::JobWrite> Progress;
  std::set<JobNumber> Cancelled;
  std::vector<ModelWorker> Workers;
  std::map<RunId, ModelStart> Starts;
  /// Tasks of which a worker has forgotten an end as done, with the latest run.
  std::map<TaskKey, std::int64_t> AcknowledgedDone;
  /// Half of the sequences lose commands to workers that answer most polls.
  int LostPolls = GetParam() % 2 == 0 ? 25 : 4;
  int LostCommands = GetParam() % 2 == 0 ? 25 : 50;
  std::size_t StartCount = 0;
};

// Guards against late calls: of two runs of a task at the same time, of an end
// that is discarded unread, and of a task that waits for ever.
TEST_P(LateCalls, AnySequence_NoTaskRunsTwiceOrIsLost) {
  for (std::string id : {"w1", "w2", "w3"}) {
    ModelWorker w;
    w.Id = id;
    w.LifeBegan = now();
    Workers.push_back(w);
  }
  announceAll();
  pollAll();
  planLoop();
  base::TimePoint begin = now();
  for (base::Duration at{0}; at < TroubleTime; at += between(1000ms, 4000ms))
    after(at, [this] { addRandomJob(); });
  for (base::Duration at = 1s; at < TroubleTime; at += between(2000ms, 9000ms))
    after(at, [this] { startFault(); });
  after(between(0ms, 30000ms), [this] { cancelRandomJob(); });
  auto passes = [] { return !HasFailure(); };
  runUntil(begin + TroubleTime, passes);
  LostPolls = LostCommands = 0;
  runUntil(begin + TroubleTime + SettleTime, [&] {
    return passes() && (!Jobs.empty() || now() < begin + TroubleTime + 15s);
  });
  EXPECT_GT(StartCount, 0u);
  for (const auto &[id, it] : Jobs)
    EXPECT_TRUE(Cancelled.contains(id) || HasFailure())
        << "job " << base::toNumber(id) << " does not complete";
}

INSTANTIATE_TEST_SUITE_P(Seeds, LateCalls,
                         testing::Range<std::uint64_t>(1, 601));

} // namespace
