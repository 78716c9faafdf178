#include "Load.h"

#include <cmath>

namespace endivedoor::experiment {

double uniform(Random &random) { return double(random() >> 11) * 0x1.0p-53; }

double uniform(Random &random, double from, double to) {
  return from + (to - from) * uniform(random);
}

double logNormal(Random &random, double sigma) {
  // Box-Muller transform (1958); std::normal_distribution may differ between
  // platforms.
  double r = std::sqrt(-2 * std::log(1 - uniform(random)));
  return std::exp(sigma * r * std::cos(2 * M_PI * uniform(random)));
}

static TaskClassProfile service(std::string name, double baseMs, double cores,
                                double bandwidth, double cache) {
  TaskClassProfile it;
  it.Name = std::move(name);
  it.Service = true;
  it.Cores = cores;
  it.MemoryMb = 4000;
  it.BandwidthSensitivity = bandwidth;
  it.CacheSensitivity = cache;
  it.BaseMs = baseMs;
  it.TargetMs = 2.5 * baseMs;
  it.Cache = 0.05;
  return it;
}

static TaskClassProfile batch(std::string name, double cores, double memoryMb,
                              double seconds, double bandwidth, double cache) {
  TaskClassProfile it;
  it.Name = std::move(name);
  it.Cores = cores;
  it.MemoryMb = memoryMb;
  it.Seconds = seconds;
  it.Bandwidth = bandwidth;
  it.Cache = cache;
  return it;
}

/// Draws errors of up to a factor of four for declared sizes and run times, the
/// same for all tasks of a class.
static void drawDeclarationErrors(Load &load, std::uint64_t seed) {
  Random random(seed * 7919 + 17);
  for (TaskClassProfile &it : load.Classes) {
    if (it.Service)
      continue;
    it.DeclaredCores = std::exp2(uniform(random, -1, 1));
    it.DeclaredMemory = std::exp2(uniform(random, -0.5, 1));
    it.DeclaredSeconds = std::exp2(uniform(random, -2, 2));
  }
}

static base::Resources workerSize(std::int32_t slots, std::int32_t connections,
                                  std::int64_t cores, std::int64_t memoryMb) {
  return {slots, connections, base::MilliCores{cores * 1000},
          base::MebiBytes{memoryMb}, 0};
}

Load karoo(std::uint64_t seed) {
  Load it;
  it.Name = "karoo";
  it.Zones = 3;
  it.WorkersPerZone = 17;
  it.WorkersPerRack = 8;
  it.Worker = workerSize(8, 64, 32, 125'000);
  it.Classes = {service("orders", 40, 2, 1.0, 0.6),
                service("depots", 60, 2, 0.5, 1.0),
                service("tracking", 25, 1.5, 0.8, 0.3),
                batch("routes", 4, 9'000, 70, 0.05, 0.05),
                batch("invoices", 3, 6'000, 50, 0.05, 0.05),
                batch("sampling", 4, 14'000, 60, 1.2, 0.3),
                batch("scans", 3, 12'000, 45, 0.3, 1.2)};
  it.TasksPerService = 30;
  it.Arrivals = 2.6;
  it.WaveArrivals = 2.4;
  it.Seconds = 900;
  it.ZoneOutAt = 400;
  it.ZoneReturnsAt = 520;
  it.FaultyFrom = 200;
  it.FaultyUntil = 700;
  it.CancelAt = {330, 640};
  it.InitialBatch = 100;
  drawDeclarationErrors(it, seed);
  return it;
}

Load siam(std::uint64_t seed) {
  Load it;
  it.Name = "siam";
  it.Zones = 3;
  it.WorkersPerZone = 22;
  it.WorkersPerRack = 11;
  it.Worker = workerSize(8, 64, 32, 125'000);
  it.Classes = {service("loans", 50, 2, 0.8, 0.8),
                service("stock-watch", 30, 1, 0.4, 0.6),
                batch("term-batch", 4, 10'000, 80, 0.1, 0.05),
                batch("repairs", 2, 5'000, 30, 0.05, 0.05),
                batch("catalogue", 4, 16'000, 60, 0.4, 1.1),
                batch("imaging", 5, 12'000, 70, 1.3, 0.2)};
  it.TasksPerService = 50;
  it.Arrivals = 4.2;
  it.WaveArrivals = 2.5;
  it.Seconds = 900;
  it.ZoneOutAt = 400;
  it.ZoneReturnsAt = 520;
  it.FaultyFrom = 200;
  it.FaultyUntil = 700;
  it.CancelAt = {330, 640};
  it.InitialBatch = 100;
  drawDeclarationErrors(it, seed);
  return it;
}

Load designZone(std::uint64_t seed) {
  Load it;
  it.Name = "design";
  it.WorkersPerZone = 555;
  it.WorkersPerRack = 20;
  // 17,700 tasks on 555 workers are 32 per worker, so a worker of the design
  // size needs more than the 8 slots of the customer loads.
  it.Worker = workerSize(40, 256, 64, 256'000);
  it.Classes = {service("orders", 40, 1, 0.5, 0.3),
                service("loans", 50, 1, 0.4, 0.4),
                service("watch", 30, 0.5, 0.3, 0.3),
                batch("routes", 1.5, 4'000, 90, 0.02, 0.02),
                batch("invoices", 1, 3'000, 60, 0.02, 0.02),
                batch("term-batch", 1.5, 5'000, 120, 0.03, 0.02),
                batch("sampling", 1.5, 5'000, 90, 0.5, 0.1),
                batch("scans", 1, 4'000, 60, 0.1, 0.5)};
  it.TasksPerService = 1100;
  it.Arrivals = 150;
  it.WaveArrivals = 40;
  it.Seconds = 240;
  it.WavePeriod = 80;
  it.WaveLength = 25;
  it.FaultyFrom = 60;
  it.FaultyUntil = 200;
  it.FaultyShare = 0.01;
  it.CancelAt = {130};
  it.InitialBatch = 9'600;
  drawDeclarationErrors(it, seed);
  return it;
}

Load shortLoad(std::uint64_t seed) {
  Load it = karoo(seed);
  it.Name = "short";
  it.WorkersPerZone = 4;
  it.TasksPerService = 5;
  it.Arrivals = 0.6;
  it.WaveArrivals = 0.8;
  it.Seconds = 60;
  it.WavePeriod = 20;
  it.WaveLength = 10;
  it.ZoneOutAt = 20;
  it.ZoneReturnsAt = 35;
  it.FaultyFrom = 5;
  it.CancelAt = {40};
  it.InitialBatch = 16;
  return it;
}

model::RuleSet rulesOf(const Load &load) {
  model::RuleSet rules;
  for (const TaskClassProfile &it : load.Classes)
    if (it.Service)
      rules.Rules.push_back(
          {rules.Rules.size() + 1, "latency service " + it.Name,
           model::LatencyTarget{
               base::ServiceName(it.Name),
               std::chrono::milliseconds(std::int64_t(it.TargetMs))},
           base::ContractName(load.Name), "experiment"});
  return rules;
}

} // namespace endivedoor::experiment
