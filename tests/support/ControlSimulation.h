/// \file
/// Virtual time for the control package tests.
#ifndef ENDIVEDOOR_TESTS_SUPPORT_CONTROLSIMULATION_H
#define ENDIVEDOOR_TESTS_SUPPORT_CONTROLSIMULATION_H

#include "endivedoor/control/Control.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <set>

namespace fakes {

using namespace endivedoor;
using namespace std::chrono_literals;
using base::Errc;
using boost::asio::awaitable;

/// Event loop on virtual time: runs all ready handlers, then advances the clock
/// to the next timer.
class Simulation {
public:
  base::ManualClock Clock;
  std::mt19937_64 Random{1};
  boost::asio::io_context Io;

  using Timer = std::shared_ptr<boost::asio::steady_timer>;
  awaitable<void> sleep(base::Duration d, const bool *frozen) {
    auto timer = std::make_shared<boost::asio::steady_timer>(
        Io, boost::asio::steady_timer::time_point::max());
    Due.emplace(Clock.now() + d, std::make_pair(timer, frozen));
    co_await timer->async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
  }
  void runFor(base::Duration d) {
    base::TimePoint end = Clock.now() + d;
    poll();
    for (auto it = next(); it != Due.end() && it->first <= end; it = next()) {
      Clock.advance(std::max(it->first - Clock.now(), base::Duration(0)));
      it->second.first->cancel();
      Due.erase(it);
      poll();
    }
    Clock.advance(std::max(end - Clock.now(), base::Duration(0)));
  }
  /// Runs until \p done returns true or \p limit has elapsed; returns the
  /// result of \p done.
  template <typename Done>
  bool runUntil(Done done, base::Duration limit = 60s) {
    base::TimePoint end = Clock.now() + limit;
    while (!done() && Clock.now() < end)
      runFor(10ms);
    return done();
  }
  template <typename T> void spawn(awaitable<T> coroutine) {
    boost::asio::co_spawn(Io, std::move(coroutine), boost::asio::detached);
  }
  int pick(int n) {
    return static_cast<int>(Random() % static_cast<unsigned>(n));
  }

private:
  void poll() {
    Io.restart();
    Io.poll();
  }
  /// Returns the first timer whose daemon is not frozen.
  std::multimap<base::TimePoint, std::pair<Timer, const bool *>>::iterator
  next() {
    return std::find_if(Due.begin(), Due.end(), [](const auto &it) {
      return it.second.second == nullptr || !*it.second.second;
    });
  }
  std::multimap<base::TimePoint, std::pair<Timer, const bool *>> Due;
};

} // namespace fakes

#endif
