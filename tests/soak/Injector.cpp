#include "Injector.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <csignal>

namespace endivedoor::soak {

using standin::KeyValues;
using standin::TaskHost;
using std::chrono::milliseconds;
using namespace std::chrono_literals;

/// Time between SIGTERM and SIGKILL; the stopGrace of the settings.
constexpr auto StopGrace = 6000ms;

/// A kind that stands twice is drawn twice as often.
const std::vector<Injector::Kind> Injector::Kinds = {
    {"kill", &Injector::killDaemon},
    {"stop", &Injector::stopDaemon},
    {"freeze", &Injector::freezeDaemon},
    {"kill-all", &Injector::killAllDaemons},
    {"store-link", &Injector::harmStoreLink},
    {"store-link", &Injector::harmStoreLink},
    {"worker-links", &Injector::harmWorkerLinks},
    {"worker-links", &Injector::harmWorkerLinks},
    {"resets", &Injector::resetConnections},
    {"store-down", &Injector::takeStoreDown},
    {"store-slow", &Injector::slowStore},
    {"answers-lost", &Injector::loseStoreAnswers},
    {"history-gone", &Injector::dropHistory},
    {"worker-crash", &Injector::crashWorkers},
    {"worker-odd", &Injector::disturbWorkers},
    {"worker-drain", &Injector::drainWorker},
    {"zone-out", &Injector::evacuateZone},
    {"config", &Injector::changeConfiguration},
    {"foreign-entry", &Injector::writeForeignEntry},
};

Injector::Injector(asio::io_context &io, const base::Clock &clock, Plant &plant,
                   std::uint64_t seed)
    : Io(io), Time(clock), Under(plant), Random(seed) {}

int Injector::number(int least, int most) {
  return std::uniform_int_distribution<int>(least, most)(Random);
}

milliseconds Injector::time(int least, int most) {
  return milliseconds(number(least, most));
}

TaskHost &Injector::anyWorker() {
  return *Under.Workers[static_cast<std::size_t>(
      number(0, static_cast<int>(Under.Workers.size()) - 1))];
}

/// Returns a daemon that no other fault has, or null.
DaemonSlot *Injector::takeDaemon() {
  DaemonSlot &slot = Under.Daemons[static_cast<std::size_t>(
      number(0, static_cast<int>(Under.Daemons.size()) - 1))];
  if (slot.Taken)
    return nullptr;
  slot.Taken = true;
  return &slot;
}

Awaitable<void> Injector::runUntil(base::TimePoint end) {
  while (Time.now() < end) {
    Kind kind = Kinds[static_cast<std::size_t>(
        number(0, static_cast<int>(Kinds.size()) - 1))];
    asio::co_spawn(Io, inject(kind), asio::detached);
    co_await pause(time(100, 1200));
  }
  while (Active > 0)
    co_await pause(50ms);
}

Awaitable<void> Injector::inject(Kind kind) {
  ++Active;
  ++Injected[kind.Name];
  co_await (this->*kind.Run)();
  --Active;
}

Awaitable<void> Injector::killDaemon() {
  DaemonSlot *slot = takeDaemon();
  if (!slot)
    co_return;
  slot->Running->signal(SIGKILL);
  co_await pause(time(50, 2500));
  Under.startDaemon(*slot);
  slot->Taken = false;
}

Awaitable<void> Injector::stopDaemon() {
  DaemonSlot *slot = takeDaemon();
  if (!slot)
    co_return;
  slot->Running->signal(SIGTERM);
  base::TimePoint end = Time.now() + StopGrace;
  while (Time.now() < end && slot->Running->isRunning())
    co_await pause(20ms);
  co_await pause(time(0, 800));
  Under.startDaemon(*slot);
  slot->Taken = false;
}

Awaitable<void> Injector::freezeDaemon() {
  DaemonSlot *slot = takeDaemon();
  if (!slot)
    co_return;
  slot->Running->signal(SIGSTOP);
  co_await pause(time(200, 7000));
  slot->Running->signal(SIGCONT);
  slot->Taken = false;
}

Awaitable<void> Injector::killAllDaemons() {
  std::vector<DaemonSlot *> taken;
  for (DaemonSlot &it : Under.Daemons)
    if (!it.Taken) {
      it.Taken = true;
      taken.push_back(&it);
    }
  for (DaemonSlot *it : taken)
    it->Running->signal(SIGKILL);
  co_await pause(time(50, 2000));
  for (DaemonSlot *it : taken) {
    Under.startDaemon(*it);
    it->Taken = false;
  }
}

std::string Injector::linkHarm() {
  static const char *const harms[] = {R"({"cut":"both"})",
                                      R"({"cut":"forward"})",
                                      R"({"cut":"backward"})",
                                      R"({"stall":"both"})",
                                      R"({"stall":"forward"})",
                                      R"({"refuse":true,"reset":true})",
                                      R"({"delayMs":150,"jitterMs":200})"};
  return harms[number(0, static_cast<int>(std::size(harms)) - 1)];
}

Awaitable<void> Injector::harmStoreLink() {
  std::string link =
      "store-" +
      std::to_string(number(0, static_cast<int>(Under.Daemons.size()) - 1));
  co_await Under.harmLink(link, linkHarm());
  co_await pause(time(300, 7000));
  co_await Under.harmLink(link, "{}");
}

Awaitable<void> Injector::harmWorkerLinks() {
  int count = number(1, 4);
  int first = number(0, static_cast<int>(Under.Workers.size()) - count);
  std::string harm = linkHarm();
  for (int i = first; i < first + count; ++i)
    co_await Under.harmLink("worker-" + std::to_string(i), harm);
  co_await pause(time(300, 8000));
  for (int i = first; i < first + count; ++i)
    co_await Under.harmLink("worker-" + std::to_string(i), "{}");
}

Awaitable<void> Injector::resetConnections() {
  co_await Under.harmLink(number(0, 1) == 0 ? "store-*" : "worker-*",
                          R"({"reset":true})");
}

Awaitable<void> Injector::takeStoreDown() {
  static constexpr KeyValues::Outage modes[] = {KeyValues::Outage::Hang,
                                                KeyValues::Outage::Busy,
                                                KeyValues::Outage::Reset};
  KeyValues::Faults faults;
  faults.Down = modes[number(0, 2)];
  faults.Lapse = number(0, 1) == 0;
  Under.Store.setFaults(faults);
  co_await pause(time(300, 5000));
  Under.Store.setFaults({});
}

Awaitable<void> Injector::slowStore() {
  KeyValues::Faults faults;
  faults.Delay = time(50, 300);
  Under.Store.setFaults(faults);
  co_await pause(time(500, 4000));
  Under.Store.setFaults({});
}

Awaitable<void> Injector::loseStoreAnswers() {
  KeyValues::Faults faults;
  faults.Lost = 0.35;
  faults.Late = number(0, 1) == 0 ? 0ms : time(1000, 5000);
  Under.Store.setFaults(faults);
  co_await pause(time(500, 4000));
  Under.Store.setFaults({});
}

Awaitable<void> Injector::dropHistory() {
  Under.Store.dropHistory();
  co_return;
}

Awaitable<void> Injector::crashWorkers() {
  int count = number(1, 4);
  for (int i = 0; i < count; ++i)
    anyWorker().crash(time(100, 3000));
  co_return;
}

Awaitable<void> Injector::disturbWorkers() {
  TaskHost::Faults faults;
  switch (number(0, 2)) {
  case 0:
    faults.Stuck = true;
    break;
  case 1:
    faults.Failing = true;
    break;
  default:
    faults.Late = 0.3;
  }
  std::vector<TaskHost *> taken = {&anyWorker(), &anyWorker()};
  for (TaskHost *it : taken)
    it->setFaults(faults);
  co_await pause(time(500, 5000));
  for (TaskHost *it : taken)
    it->setFaults({});
}

Awaitable<void> Injector::drainWorker() {
  TaskHost &worker = anyWorker();
  worker.setDraining(true);
  co_await pause(time(1500, 4000));
  worker.crash(time(100, 1000));
  worker.setDraining(false);
}

Awaitable<void> Injector::evacuateZone() {
  static const char *const zones[] = {"a", "b", "c"};
  std::string key = std::string("op/evacuate/") + zones[number(0, 2)];
  Under.Store.put(key, "{}");
  co_await pause(time(1000, 5000));
  Under.Store.erase(key);
}

Awaitable<void> Injector::changeConfiguration() {
  int changes = number(1, 4);
  for (int i = 0; i < changes; ++i)
    Under.configure();
  co_return;
}

Awaitable<void> Injector::writeForeignEntry() {
  static const char *const entries[] = {"", "{}", "[7]", "\xff\xfe",
                                        R"({"service":7,"state":"ready"})"};
  Under.Store.put("servers/x-" + std::to_string(number(0, 3)),
                  entries[number(0, 4)]);
  co_return;
}

} // namespace endivedoor::soak
