/// \file
/// Callers of the soak: they hand jobs in, ask for them and cancel some.
#ifndef ENDIVEDOOR_TESTS_SOAK_CALLERS_H
#define ENDIVEDOOR_TESTS_SOAK_CALLERS_H

#include "Plant.h"

#include <random>

namespace endivedoor::soak {

/// Belongs to the thread of its io_context.
class Callers {
public:
  Callers(asio::io_context &io, const base::Clock &clock, Plant &plant,
          std::uint64_t seed);

  /// Hands in jobs until \p end; each is then followed to its end.
  Awaitable<void> submitUntil(base::TimePoint end);
  /// Callers stop asking.
  void stop() { Stopped = true; }
  std::size_t accepted() const { return Accepted; }
  std::size_t refused() const { return Refused; }

private:
  Awaitable<void> liveJob(model::JobNumber id, std::string path);
  Awaitable<bool> submit(model::JobNumber id, std::string path);
  Awaitable<void> cancel(model::JobNumber id, std::string path);
  Awaitable<void> ask(model::JobNumber id, std::string path);
  Awaitable<base::Result<platform::HttpResponse>>
  send(std::string method, std::string path, std::string body = {});
  standin::LedgerJob makeJob(std::string &queue);
  int number(int least, int most);
  bool chance(double share);

  asio::io_context &Io;
  const base::Clock &Time;
  Plant &Under;
  std::mt19937_64 Random;
  platform::HttpClient Http;
  bool Stopped = false;
  std::size_t Accepted = 0;
  std::size_t Refused = 0;
};

} // namespace endivedoor::soak

#endif
