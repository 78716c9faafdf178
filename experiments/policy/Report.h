/// \file
/// Result tables and plots over several seeds.
#ifndef ENDIVEDOOR_EXPERIMENTS_POLICY_REPORT_H
#define ENDIVEDOOR_EXPERIMENTS_POLICY_REPORT_H

#include "Variants.h"

namespace endivedoor::experiment {

using LoadFactory = Load (*)(std::uint64_t seed);

/// The runs of one variant, by seed.
struct Row {
  std::string Variant;
  bool Baseline = false;
  std::vector<RunMetrics> Runs;
};

/// Runs every variant with the seeds 1 to \p seeds. The result does not depend
/// on \p threads.
std::vector<Row> runAll(LoadFactory load, const std::vector<Variant> &variants,
                        std::uint64_t seeds, std::size_t threads);

/// Returns one Markdown row per variant with the median and, in parentheses,
/// minimum and maximum.
std::string markdownOf(const std::vector<Row> &rows);
/// Returns one CSV line per variant and seed.
std::string csvOf(const std::string &load, const std::vector<Row> &rows);
/// Returns a gnuplot script with embedded data that writes \p load.svg.
std::string gnuplotOf(const std::string &load, const std::vector<Row> &rows);

} // namespace endivedoor::experiment

#endif
