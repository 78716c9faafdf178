#include "Load.h"

#include "endivedoor/platform/HttpClient.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <thread>

namespace endivedoor::bench {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr auto CallTimeout = milliseconds(5000);
constexpr std::size_t BodyBytes = 200;

double LoadResult::quantile(double q) {
  if (Micros.empty())
    return 0;
  std::ranges::sort(Micros);
  auto last = static_cast<double>(Micros.size() - 1);
  return Micros[static_cast<std::size_t>(q * last)];
}

namespace {

/// One sending thread.
class Sender {
public:
  explicit Sender(model::Address to)
      : To(std::move(to)), Client(Io.get_executor(), Time, {}) {}

  asio::awaitable<void> call(Clock::time_point due) {
    platform::HttpRequest request;
    request.Method = "POST";
    request.Path = "/s/orders/new";
    request.Headers = {{"X-Request-Id", "bench"}};
    request.Body.assign(BodyBytes, 'x');
    ++InProgress;
    auto answer = co_await Client.send(To, std::move(request), CallTimeout);
    --InProgress;
    if (!answer || answer.value().Status != 200) {
      ++Result.Failures;
      co_return;
    }
    std::chrono::duration<float, std::micro> took = Clock::now() - due;
    Result.Micros.push_back(took.count());
  }

  asio::awaitable<void> openLoop(double rate, milliseconds time) {
    auto gap = std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double>(1 / rate));
    Clock::time_point start = Clock::now() + milliseconds(10);
    asio::steady_timer timer(Io);
    for (Clock::time_point due = start; due < start + time; due += gap) {
      timer.expires_at(due);
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
      asio::co_spawn(Io, call(due), asio::detached);
    }
    while (InProgress > 0) {
      timer.expires_after(milliseconds(1));
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    Result.Elapsed = Clock::now() - start;
  }

  asio::awaitable<void> closedLoop(std::uint64_t requests,
                                   const std::function<void(int)> &progress) {
    std::uint64_t step = std::max<std::uint64_t>(1, requests / 100);
    while (Begun < requests) {
      std::uint64_t n = ++Begun;
      co_await call(Clock::now());
      if (progress && n % step == 0)
        progress(static_cast<int>(n / step));
    }
  }

  asio::io_context Io{1};
  model::Address To;
  base::SystemClock Time;
  platform::HttpClient Client;
  LoadResult Result;
  std::uint64_t Begun = 0;
  int InProgress = 0;
};

} // namespace

LoadResult runOpenLoop(const model::Address &to, double rate,
                       milliseconds time) {
  Sender sender(to);
  asio::co_spawn(sender.Io, sender.openLoop(rate, time), asio::detached);
  sender.Io.run();
  return std::move(sender.Result);
}

LoadResult runClosedLoop(const model::Address &to, int threads, int connections,
                         std::uint64_t requests,
                         const std::function<void(int)> &progress) {
  std::vector<std::unique_ptr<Sender>> senders;
  std::vector<std::thread> running;
  std::uint64_t each = requests / static_cast<std::uint64_t>(threads);
  Clock::time_point start = Clock::now();
  for (int i = 0; i < threads; ++i) {
    senders.push_back(std::make_unique<Sender>(to));
    Sender &sender = *senders.back();
    // Reserves the memory up front, so that the process does not grow during
    // the run.
    sender.Result.Micros.reserve(each);
    std::function<void(int)> report = i == 0 ? progress : nullptr;
    running.emplace_back([&sender, each, connections, report] {
      for (int c = 0; c < connections; ++c)
        asio::co_spawn(sender.Io, sender.closedLoop(each, report),
                       asio::detached);
      sender.Io.run();
    });
  }
  LoadResult sum;
  for (std::size_t i = 0; i < senders.size(); ++i) {
    running[i].join();
    LoadResult &part = senders[i]->Result;
    sum.Micros.insert(sum.Micros.end(), part.Micros.begin(), part.Micros.end());
    sum.Failures += part.Failures;
  }
  sum.Elapsed = Clock::now() - start;
  return sum;
}

} // namespace endivedoor::bench
