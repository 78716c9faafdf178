/// \file
/// Test fixture with dispatch nodes, a store in memory and fake workers.
#ifndef ENDIVEDOOR_TESTS_SUPPORT_NODEFIXTURE_H
#define ENDIVEDOOR_TESTS_SUPPORT_NODEFIXTURE_H

#include "support/InMemoryStore.h"

#include "endivedoor/dispatch/DispatchNode.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <functional>
#include <set>

namespace endivedoor::tests {

using namespace std::chrono_literals;
using dispatch::DispatchNode;
using model::JobNumber;
using model::JobState;

/// Fake workers that complete every task as soon as it is started.
class ImmediateWorkers final : public dispatch::TaskWorker {
public:
  std::map<base::WorkerId, std::vector<dispatch::EndedRun>> EndedRuns;
  std::map<base::WorkerId, base::FencingToken> Tokens;
  std::map<dispatch::RunId, int> StartCounts;
  std::map<dispatch::RunId, int> StopCounts;
  std::map<base::WorkerId, int> PollCounts;
  /// Workers of which no poll is answered.
  std::set<base::WorkerId> Silent;
  /// Latest poll of each worker.
  std::map<base::WorkerId, dispatch::PollRequest> LastPolls;
  /// Workers whose address another instance has taken over.
  std::set<base::WorkerId> Replaced;
  /// Tasks keep running instead of completing.
  bool KeepRunning = false;
  std::map<base::WorkerId, std::vector<dispatch::RunStatus>> Running;

  Async<dispatch::PollReport> poll(dispatch::WorkerRef worker,
                                   dispatch::PollRequest request,
                                   std::chrono::milliseconds) override {
    asio::steady_timer timer(co_await asio::this_coro::executor, 2ms);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    dispatch::PollReport report;
    ++PollCounts[worker.Id];
    LastPolls[worker.Id] = request;
    if (Silent.contains(worker.Id))
      co_return base::fail(base::Errc::WorkerAnswerLost, "no answer in time");
    report.WrongIncarnation = Replaced.contains(worker.Id);
    report.Fenced = request.Token < Tokens[worker.Id];
    Tokens[worker.Id] = std::max(Tokens[worker.Id], request.Token);
    report.Clock = 1000ms;
    report.StartTime = 1ms;
    report.Running = Running[worker.Id];
    for (const dispatch::EndedRun &it : EndedRuns[worker.Id])
      if (it.SequenceNumber > request.AcknowledgedEnd)
        report.Ended.push_back(it);
    co_return report;
  }
  Async<dispatch::CommandResult> start(dispatch::WorkerRef worker,
                                       dispatch::StartRequest request,
                                       std::chrono::milliseconds) override {
    if (request.Token < Tokens[worker.Id])
      co_return dispatch::CommandResult::Fenced;
    ++StartCounts[request.Run];
    if (KeepRunning) {
      Running[worker.Id].push_back({request.Run, "", 100, 0, false});
      co_return dispatch::CommandResult::Done;
    }
    std::vector<dispatch::EndedRun> &endedRuns = EndedRuns[worker.Id];
    endedRuns.push_back({static_cast<std::int64_t>(endedRuns.size()) + 1,
                         request.Run, dispatch::RunOutcome::Done, ""});
    co_return dispatch::CommandResult::Done;
  }
  Async<dispatch::CommandResult> stop(dispatch::WorkerRef worker,
                                      dispatch::RunId run, base::FencingToken,
                                      std::chrono::milliseconds) override {
    ++StopCounts[run];
    std::vector<dispatch::RunStatus> &running = Running[worker.Id];
    if (std::erase_if(running, [&](const auto &it) { return it.Id == run; }))
      EndedRuns[worker.Id].push_back(
          {static_cast<std::int64_t>(EndedRuns[worker.Id].size()) + 1, run,
           dispatch::RunOutcome::Stopped, ""});
    co_return dispatch::CommandResult::Done;
  }
  Async<dispatch::CommandResult> throttle(dispatch::WorkerRef, dispatch::RunId,
                                          std::int32_t, base::FencingToken,
                                          std::chrono::milliseconds) override {
    co_return dispatch::CommandResult::Done;
  }
};

/// The system's clock with an offset that a test sets: a process that was
/// paused finds its clock moved on.
class OffsetClock final : public base::Clock {
public:
  base::Duration Offset{};
  base::TimePoint now() const override { return System.now() + Offset; }
  base::WallTime wallNow() const override { return System.wallNow(); }

private:
  base::SystemClock System;
};

class NodeFixture : public testing::Test {
protected:
  void runFor(std::chrono::milliseconds time) { Io.run_for(time); }

  bool runUntil(const std::function<bool()> &done,
                std::chrono::milliseconds limit = 8000ms) {
    auto end = std::chrono::steady_clock::now() + limit;
    while (!done() && std::chrono::steady_clock::now() < end)
      Io.run_for(5ms);
    return done();
  }

  template <typename T> T await(asio::awaitable<T> operation) {
    std::optional<T> result;
    auto storeResult = [](asio::awaitable<T> op,
                          std::optional<T> &to) -> asio::awaitable<void> {
      to.emplace(co_await std::move(op));
    };
    asio::co_spawn(Io, storeResult(std::move(operation), result),
                   asio::detached);
    runUntil([&] { return result.has_value(); });
    return *result;
  }

  DispatchNode &addNode(const std::string &name, double cores = 1,
                        double linkMbps = 1000) {
    return addNode(name, Store, Workers, cores, linkMbps);
  }

  DispatchNode &addNode(const std::string &name, dispatch::MetadataStore &store,
                        dispatch::TaskWorker &workers, double cores = 1,
                        double linkMbps = 1000) {
    dispatch::DispatchOptions options;
    options.Cores = cores;
    options.LinkMbps = linkMbps;
    options.Name = name;
    options.Instance = name + "-1";
    options.NodeLease = 400ms;
    options.Shard = ShardLimits;
    Nodes.push_back(std::make_unique<DispatchNode>(Io.get_executor(), options,
                                                   store, workers, Time, Events,
                                                   MetricsRegistry));
    for (int i = 0; i < 3; ++i) {
      model::WorkerProfile w;
      w.Id = base::WorkerId("w" + std::to_string(i));
      w.Service = base::ServiceName("desk");
      w.Endpoint = {"10.0.0.1", 8080};
      w.Zone = base::ZoneId("a");
      w.Capacity.Cpu = base::MilliCores{32000};
      w.Capacity.Memory = base::MebiBytes{128000};
      Nodes.back()->updateWorker(w);
    }
    Nodes.back()->start();
    return *Nodes.back();
  }

  static model::AcceptedJob job(std::uint64_t id, std::int32_t tasks = 3) {
    model::AcceptedJob j;
    j.Id = JobNumber{id};
    j.Queue = "q";
    j.Policy.Service = base::ServiceName("desk");
    j.Policy.MaxAttempts = 2;
    model::StepSpec step;
    step.Count = tasks;
    step.Size.Cpu = base::MilliCores{100};
    step.Estimate = 100ms;
    model::StepSpec second = step;
    second.Dependencies = {0};
    j.Graph.Steps = {step, second};
    return j;
  }

  JobState stateOf(DispatchNode &node, std::uint64_t id) {
    auto state = await(node.jobState(JobNumber{id}));
    return state && state.value() ? *state.value() : JobState::Queued;
  }

  asio::io_context Io{1};
  OffsetClock Time;
  base::HybridClock Hybrid{Time};
  base::EventLog Events{"test", Hybrid, 64};
  dispatch::Metrics MetricsRegistry;
  InMemoryStore Store;
  dispatch::ShardOptions ShardLimits;
  ImmediateWorkers Workers;
  std::vector<std::unique_ptr<DispatchNode>> Nodes;
};

} // namespace endivedoor::tests

#endif
