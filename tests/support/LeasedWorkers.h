/// \file
/// Fake workers whose tasks run until their lease expires.
#ifndef ENDIVEDOOR_TESTS_SUPPORT_LEASEDWORKERS_H
#define ENDIVEDOOR_TESTS_SUPPORT_LEASEDWORKERS_H

#include "endivedoor/base/Clock.h"
#include "endivedoor/dispatch/TaskWorker.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

namespace endivedoor::tests {

namespace asio = boost::asio;
using dispatch::Async;

class LeasedWorkers final : public dispatch::TaskWorker {
public:
  struct Start {
    dispatch::RunId Run;
    base::WorkerId Worker;
    base::TimePoint At;
  };
  std::vector<Start> Starts;

  explicit LeasedWorkers(const base::Clock &clock) : Time(clock) {}

  /// From now on, the worker and its present owner reach only one another.
  void isolate(const base::WorkerId &worker) {
    Isolated = worker;
    IsolatedToken = Workers[worker].Token;
  }
  base::TimePoint leaseEnd(const base::WorkerId &worker) {
    return base::TimePoint(Workers[worker].Deadline);
  }

  Async<dispatch::PollReport> poll(dispatch::WorkerRef ref,
                                   dispatch::PollRequest request,
                                   std::chrono::milliseconds) override {
    co_await delay();
    State &worker = Workers[ref.Id];
    if (!isReachable(ref.Id, request.Token))
      co_return base::fail(base::Errc::WorkerAnswerLost, "no answer in time");
    dispatch::PollReport report;
    report.Clock = clock();
    report.StartTime = std::chrono::milliseconds(1);
    report.Fenced = request.Token < worker.Token;
    if (report.Fenced)
      co_return report;
    worker.Token = request.Token;
    worker.extend(request.Deadline);
    if (worker.Deadline >= clock())
      report.Running = worker.Running;
    co_return report;
  }
  Async<dispatch::CommandResult> start(dispatch::WorkerRef ref,
                                       dispatch::StartRequest request,
                                       std::chrono::milliseconds) override {
    co_await delay();
    State &worker = Workers[ref.Id];
    if (!isReachable(ref.Id, request.Token))
      co_return base::fail(base::Errc::WorkerAnswerLost, "no answer in time");
    if (request.Token < worker.Token)
      co_return dispatch::CommandResult::Fenced;
    if (request.Deadline < clock())
      co_return dispatch::CommandResult::DeadlinePassed;
    worker.extend(request.Deadline);
    worker.Running.push_back({request.Run, "", 100, 0, false});
    Starts.push_back({request.Run, ref.Id, Time.now()});
    co_return dispatch::CommandResult::Done;
  }
  Async<dispatch::CommandResult> stop(dispatch::WorkerRef ref,
                                      dispatch::RunId run, base::FencingToken,
                                      std::chrono::milliseconds) override {
    std::erase_if(Workers[ref.Id].Running,
                  [&](const auto &it) { return it.Id == run; });
    co_return dispatch::CommandResult::Done;
  }
  Async<dispatch::CommandResult> throttle(dispatch::WorkerRef, dispatch::RunId,
                                          std::int32_t, base::FencingToken,
                                          std::chrono::milliseconds) override {
    co_return dispatch::CommandResult::Done;
  }

private:
  struct State {
    base::FencingToken Token{0};
    /// End of the lease on the worker's clock, which is that of the test.
    dispatch::WorkerTime Deadline{0};
    std::vector<dispatch::RunStatus> Running;
    void extend(dispatch::WorkerTime deadline) {
      Deadline = std::max(Deadline, deadline);
    }
  };

  bool isReachable(const base::WorkerId &worker,
                   base::FencingToken token) const {
    return !Isolated || (worker == *Isolated) == (token == IsolatedToken);
  }
  dispatch::WorkerTime clock() const {
    return std::chrono::duration_cast<dispatch::WorkerTime>(
        Time.now().time_since_epoch());
  }
  static asio::awaitable<void> delay() {
    asio::steady_timer timer(co_await asio::this_coro::executor,
                             std::chrono::milliseconds(2));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }

  const base::Clock &Time;
  std::optional<base::WorkerId> Isolated;
  base::FencingToken IsolatedToken{0};
  std::map<base::WorkerId, State> Workers;
};

} // namespace endivedoor::tests

#endif
