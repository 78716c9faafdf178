#include "FakeWorker.h"

#include <algorithm>

namespace endivedoor::experiment {

Pressure pressureOn(const FakeWorker &worker, const Load &load) {
  Pressure sum;
  for (const FakeTask *task : worker.Tasks) {
    const TaskClassProfile &of = load.Classes[task->Class];
    double share = (100 - task->Throttle) / 100.0;
    sum.Cpu += of.Cores * share;
    sum.Bandwidth += of.Bandwidth * share;
    sum.Cache += of.Cache * share;
    sum.MemoryMb += task->MemoryMb;
  }
  sum.Cpu /= double(base::count(load.Worker.Cpu)) / 1000;
  return sum;
}

double speedOf(const FakeTask &task, const Pressure &at) {
  double share = (100 - task.Throttle) / 100.0;
  double contention = 1 + 0.04 * std::max(0.0, at.Bandwidth + at.Cache - 3);
  return share / std::max(1.0, at.Cpu) / contention;
}

double latencyOf(const FakeTask &task, const TaskClassProfile &of,
                 const Pressure &at) {
  double share = (100 - task.Throttle) / 100.0;
  double x = of.BandwidthSensitivity * (at.Bandwidth - of.Bandwidth * share) +
             of.CacheSensitivity * (at.Cache - of.Cache * share);
  double squared = x * x;
  double cpu = std::min(at.Cpu, 1.0);
  return of.BaseMs * (1 + 7 * squared / (squared + 2.5 * 2.5)) /
         (1 - 0.5 * cpu * cpu * cpu);
}

} // namespace endivedoor::experiment
