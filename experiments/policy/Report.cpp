#include "Report.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <thread>

namespace endivedoor::experiment {

namespace {

struct Column {
  const char *Name;
  const char *Title;
  double RunMetrics::*Value;
  int Decimals;
};

constexpr std::array<Column, 8> Columns{{
    {"latency_p95", "service p95 / undisturbed", &RunMetrics::LatencyP95, 2},
    {"throughput", "batch work s/s", &RunMetrics::Throughput, 1},
    {"evictions", "evictions", &RunMetrics::Evictions, 0},
    {"outage_work", "work while a zone leaves and returns, s",
     &RunMetrics::OutageWork, 0},
    {"failures", "failed attempts", &RunMetrics::Failures, 0},
    {"starts", "starts", &RunMetrics::Starts, 0},
    {"late", "late tasks, %", &RunMetrics::LatePercent, 2},
    {"unserved", "service-seconds not running", &RunMetrics::UnservedSeconds,
     0},
}};

std::string format(double value, int decimals) {
  char buf[64];
  std::snprintf(buf, sizeof buf, "%.*f", decimals, value);
  return buf;
}

std::vector<double> sorted(const Row &row, double RunMetrics::*value) {
  std::vector<double> all;
  for (const RunMetrics &it : row.Runs)
    all.push_back(it.*value);
  std::sort(all.begin(), all.end());
  return all;
}

double median(const std::vector<double> &all) {
  return (all[(all.size() - 1) / 2] + all[all.size() / 2]) / 2;
}

} // namespace

std::vector<Row> runAll(LoadFactory load, const std::vector<Variant> &variants,
                        std::uint64_t seeds, std::size_t threads) {
  std::vector<Row> rows;
  for (const Variant &it : variants)
    rows.push_back({it.Name, it.Baseline, std::vector<RunMetrics>(seeds)});
  std::atomic<std::size_t> next{0};
  auto work = [&] {
    for (std::size_t n; (n = next++) < variants.size() * seeds;) {
      std::uint64_t seed = n % seeds + 1;
      Load of = load(seed);
      rows[n / seeds].Runs[n % seeds] =
          Simulation(of, seed, variants[n / seeds].Make).run();
    }
  };
  std::vector<std::thread> pool;
  for (std::size_t n = 0; n < threads; ++n)
    pool.emplace_back(work);
  for (std::thread &it : pool)
    it.join();
  return rows;
}

std::string markdownOf(const std::vector<Row> &rows) {
  std::string out = "| scheduler |", line = "|---|";
  for (const Column &column : Columns) {
    out += std::string(" ") + column.Title + " |";
    line += "---|";
  }
  out += "\n" + line + "\n";
  for (const Row &row : rows) {
    out += "| " + row.Variant + " |";
    for (const Column &column : Columns) {
      std::vector<double> all = sorted(row, column.Value);
      out += " " + format(median(all), column.Decimals) + " (" +
             format(all.front(), column.Decimals) + " to " +
             format(all.back(), column.Decimals) + ") |";
    }
    out += "\n";
  }
  return out;
}

std::string csvOf(const std::string &load, const std::vector<Row> &rows) {
  std::string out = "load,scheduler,seed";
  for (const Column &column : Columns)
    out += std::string(",") + column.Name;
  out += "\n";
  for (const Row &row : rows)
    for (std::size_t n = 0; n < row.Runs.size(); ++n) {
      out += load + "," + row.Variant + "," + std::to_string(n + 1);
      for (const Column &column : Columns)
        out += "," + format(row.Runs[n].*column.Value, 4);
      out += "\n";
    }
  return out;
}

std::string gnuplotOf(const std::string &load, const std::vector<Row> &rows) {
  std::string out = "# Run: gnuplot " + load + ".gp\n$runs << END\n";
  for (std::size_t n = 0; n < rows.size(); ++n) {
    out += std::to_string(n) + " \"" + rows[n].Variant + "\"";
    for (std::size_t c = 0; c < 4; ++c) {
      std::vector<double> all = sorted(rows[n], Columns[c].Value);
      for (double value : {median(all), all.front(), all.back()})
        out += " " + format(value, 3);
    }
    out += "\n";
  }
  out += "END\nset terminal svg size 1000,800\nset output '" + load +
         ".svg'\nset style fill solid 0.4\nset boxwidth 0.7\n"
         "set xtics rotate by -50\nset yrange [0:*]\nunset key\n"
         "set multiplot layout 2,2 title '" +
         load + ": median, least and largest of " +
         std::to_string(rows.empty() ? 0 : rows[0].Runs.size()) + " seeds'\n";
  for (std::size_t c = 0; c < 4; ++c) {
    std::string first = std::to_string(3 + 3 * c);
    out += std::string("set title '") + Columns[c].Title +
           "'\nplot $runs using 1:" + first +
           ":xtic(2) with boxes, $runs using 1:" + first + ":" +
           std::to_string(4 + 3 * c) + ":" + std::to_string(5 + 3 * c) +
           " with yerrorbars pt 0 lc 'black'\n";
  }
  return out + "unset multiplot\n";
}

} // namespace endivedoor::experiment
