// Measures the cost of one owning daemon per worker, running task, start and
// configuration change. Each series varies one size and keeps the others
// constant; the slope is the least-squares fit of its rows.
#include "BenchmarkSetup.h"
#include "harness/Cluster.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <cstdio>
#include <functional>
#include <thread>

ABSL_FLAG(std::string, folder, "build/capacity", "folder for logs");
ABSL_FLAG(int, seconds, 10, "length of each measurement");

using namespace endivedoor;
using namespace endivedoor::bench;
using namespace std::chrono_literals;

namespace {

/// One row: the varied size and the cost of the daemon per second.
struct Row {
  double Size = 0;
  double Cpu = 0, Mb = 0, WorkerBytes = 0, StoreBytes = 0, StoreCalls = 0;
  double Starts = 0;
};

using Work = std::function<void(BenchmarkSetup &, double size)>;

Row measure(BenchmarkSetup &bench, double size, const Work &work) {
  auto length = std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
  // Excludes joining and the first commits from the steady state.
  std::this_thread::sleep_for(2s);
  Totals before = bench.totals();
  auto begin = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() - begin < length) {
    auto next = std::chrono::steady_clock::now() + 500ms;
    if (work)
      work(bench, size);
    std::this_thread::sleep_until(next);
  }
  std::chrono::duration<double> took = std::chrono::steady_clock::now() - begin;
  Totals after = bench.totals();
  double t = took.count();
  Row row{size};
  row.Cpu = (after.ProcessorSeconds - before.ProcessorSeconds) / t;
  row.Mb = after.ResidentMb;
  row.WorkerBytes = (after.WorkerBytes - before.WorkerBytes) / t;
  row.StoreBytes = (after.StoreBytes - before.StoreBytes) / t;
  for (const auto &[kind, n] : after.StoreCalls)
    row.StoreCalls += (n - before.StoreCalls[kind]) / t;
  row.Starts = (after.Starts - before.Starts) / t;
  return row;
}

/// Least-squares line through (Size, value).
void printSlope(const std::vector<Row> &rows, const char *name,
                double Row::*value) {
  double n = 0, sx = 0, sy = 0, sxx = 0, sxy = 0;
  for (const Row &it : rows) {
    n += 1;
    sx += it.Size;
    sy += it.*value;
    sxx += it.Size * it.Size;
    sxy += it.Size * it.*value;
  }
  double slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
  double start = (sy - slope * sx) / n;
  double worst = 0;
  for (const Row &it : rows)
    worst = std::max(worst, std::abs(it.*value - start - slope * it.Size));
  std::printf("  %-14s %12.6g + %12.6g * size, largest residual %.3g\n", name,
              start, slope, worst);
}

void report(const char *title, const std::vector<Row> &rows) {
  std::printf("\n%s\n%10s %10s %10s %14s %14s %12s %9s\n", title, "size",
              "cpu %", "MB", "worker B/s", "store B/s", "store call/s",
              "starts/s");
  for (const Row &it : rows)
    std::printf("%10.0f %10.3f %10.1f %14.0f %14.0f %12.2f %9.1f\n", it.Size,
                it.Cpu * 100, it.Mb, it.WorkerBytes, it.StoreBytes,
                it.StoreCalls, it.Starts);
  printSlope(rows, "cpu s/s", &Row::Cpu);
  printSlope(rows, "MB", &Row::Mb);
  printSlope(rows, "worker B/s", &Row::WorkerBytes);
  printSlope(rows, "store B/s", &Row::StoreBytes);
  printSlope(rows, "store call/s", &Row::StoreCalls);
  std::fflush(stdout);
}

/// Runs one series; every size has a new daemon and new stand-ins.
bool runSeries(const char *title, const std::vector<double> &sizes,
               const std::function<int(double)> &workers, const Work &prepare,
               const Work &work) {
  std::vector<Row> rows;
  for (double it : sizes) {
    BenchmarkSetup bench(absl::GetFlag(FLAGS_folder), workers(it));
    if (!bench.start()) {
      std::fprintf(stderr, "%s: the daemon did not claim its workers\n", title);
      return false;
    }
    if (prepare)
      prepare(bench, it);
    rows.push_back(measure(bench, it, work));
  }
  report(title, rows);
  return true;
}

void startHeldTasks(BenchmarkSetup &bench, double tasks) {
  for (int left = static_cast<int>(tasks); left > 0; left -= 100)
    bench.submit(std::min(left, 100), 1h);
  if (!bench.waitForTasks(static_cast<int>(tasks), 30s))
    std::fprintf(stderr, "not all of %.0f tasks run\n", tasks);
}

} // namespace

int main(int argc, char **argv) {
  absl::ParseCommandLine(argc, argv);
  auto many = [](double) { return 160; };
  bool ok = runSeries("workers, idle", {20, 60, 120, 240},
                      [](double n) { return static_cast<int>(n); }, {}, {});
  ok = runSeries("running tasks on 160 workers", {0, 300, 600, 1200}, many,
                 startHeldTasks, {}) &&
       ok;
  ok = runSeries("starts a second on 160 workers", {0, 20, 60, 120}, many, {},
                 [](BenchmarkSetup &bench, double rate) {
                   if (rate > 0)
                     bench.submit(static_cast<int>(rate / 2), 500ms);
                 }) &&
       ok;
  ok = runSeries("configuration changes a second, 24 kB of rules", {0, 2, 4, 8},
                 many, {},
                 [](BenchmarkSetup &bench, double rate) {
                   for (double n = 0; n < rate; n += 2)
                     bench.changeConfiguration(24000);
                 }) &&
       ok;
  return ok ? 0 : 1;
}
