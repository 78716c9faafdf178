#include "endivedoor/policy/ColocationModel.h"

#include <algorithm>
#include <cmath>

namespace endivedoor::policy {

/// Factor by which each later measurement reduces the weight of a measurement;
/// the effective sample size is about 2,000.
constexpr double ForgettingFactor = 0.9995;
/// Weight of the expected slope against measurements: equals three of them at a
/// share of 0.1.
constexpr double SlopePrior = 0.03;
/// Weight of the mean of all fillers against what one filler does to the
/// services measured with it: equals one such service.
constexpr double PressurePrior = 1;
/// Number of solutions between two updates of the expected slopes.
constexpr std::size_t PressureInterval = 16;
/// Ridge penalty of the base, small enough to be almost without effect.
constexpr double BasePrior = 1e-3;
/// Number of measurements between two solutions of the regression.
constexpr std::size_t SolveInterval = 8;
/// Sum of squared shares from which a pair counts as known: a few measurements
/// at a share of 0.1.
constexpr double MinKnownWeight = 0.03;
/// Response times are capped at this multiple of the base, so that a single
/// stall does not outweigh all other measurements.
constexpr double OutlierFactor = 8;

std::size_t ColocationModel::indexOf(Fit &fit, const std::string &fillerImage) {
  auto [it, added] = fit.Index.try_emplace(fillerImage, fit.Index.size() + 1);
  if (!added)
    return it->second;
  for (std::vector<double> &row : fit.NormalMatrix)
    row.push_back(0);
  fit.NormalMatrix.emplace_back(fit.RightHandSide.size() + 1, 0.0);
  fit.RightHandSide.push_back(0);
  fit.Solution.push_back(0);
  return it->second;
}

void ColocationModel::observe(const std::string &servingImage,
                              double responseMs,
                              const std::vector<FillerShare> &fillers) {
  Fit &fit = Fits[servingImage];
  if (fit.RightHandSide.empty()) {
    fit.NormalMatrix = {{0.0}};
    fit.RightHandSide = {0.0};
    fit.Solution = {responseMs};
  }
  if (fit.Solution[0] > 0)
    responseMs = std::min(responseMs, OutlierFactor * fit.Solution[0]);
  std::map<std::size_t, double> row{{0, 1.0}};
  for (const FillerShare &filler : fillers)
    row[indexOf(fit, filler.Image)] += filler.Share;
  for (std::vector<double> &line : fit.NormalMatrix)
    for (double &entry : line)
      entry *= ForgettingFactor;
  for (double &sum : fit.RightHandSide)
    sum *= ForgettingFactor;
  for (const auto &[i, x] : row) {
    fit.RightHandSide[i] += x * responseMs;
    for (const auto &[j, y] : row)
      fit.NormalMatrix[i][j] += x * y;
  }
  if (++fit.ObservationsSinceSolve >= SolveInterval)
    solve(fit);
}

double ColocationModel::pressureOf(const std::string &fillerImage) const {
  auto it = Pressures.find(fillerImage);
  return it == Pressures.end() ? MeanPressure : it->second;
}

void ColocationModel::updatePressures() {
  struct Sum {
    double Weight = 0;
    double Ratio = 0;
  };
  std::map<std::string, Sum> sums;
  Sum all;
  for (const auto &[serving, fit] : Fits) {
    if (fit.Solution[0] <= 0)
      continue;
    for (const auto &[filler, i] : fit.Index) {
      // Between 0 without measurements and 1 with many.
      double weight =
          fit.NormalMatrix[i][i] / (fit.NormalMatrix[i][i] + SlopePrior);
      double ratio = weight * fit.Solution[i] / fit.Solution[0];
      sums[filler].Weight += weight;
      sums[filler].Ratio += ratio;
      all.Weight += weight;
      all.Ratio += ratio;
    }
  }
  MeanPressure = all.Weight > 0 ? all.Ratio / all.Weight : 0;
  for (const auto &[filler, sum] : sums)
    Pressures[filler] = (sum.Ratio + PressurePrior * MeanPressure) /
                        (sum.Weight + PressurePrior);
}

/// Projected Gauss-Seidel iteration that keeps all unknowns non-negative. The
/// matrix is symmetric and, with the priors, positive definite.
void ColocationModel::solve(Fit &fit) {
  constexpr int rounds = 25;
  fit.ObservationsSinceSolve = 0;
  std::size_t n = fit.RightHandSide.size();
  std::vector<double> expected(n, 0);
  for (const auto &[filler, i] : fit.Index)
    expected[i] = pressureOf(filler) * fit.Solution[0];
  for (int round = 0; round < rounds; ++round)
    for (std::size_t i = 0; i < n; ++i) {
      double sum = fit.RightHandSide[i];
      for (std::size_t j = 0; j < n; ++j)
        if (j != i)
          sum -= fit.NormalMatrix[i][j] * fit.Solution[j];
      double prior = i == 0 ? BasePrior : SlopePrior;
      fit.Solution[i] = std::max(0.0, (sum + prior * expected[i]) /
                                          (fit.NormalMatrix[i][i] + prior));
    }
  if (++SolvesSinceUpdate >= PressureInterval) {
    SolvesSinceUpdate = 0;
    updatePressures();
  }
}

std::vector<ColocationStatistics> ColocationModel::statistics() const {
  std::vector<ColocationStatistics> all;
  for (const auto &[serving, fit] : Fits) {
    ColocationStatistics statistics{
        serving, {}, fit.NormalMatrix, fit.RightHandSide};
    statistics.Fillers.resize(fit.Index.size());
    for (const auto &[filler, index] : fit.Index)
      statistics.Fillers[index - 1] = filler;
    all.push_back(std::move(statistics));
  }
  return all;
}

void ColocationModel::importStatistics(
    const std::vector<ColocationStatistics> &imported) {
  for (const ColocationStatistics &statistics : imported) {
    std::size_t n = statistics.Fillers.size() + 1;
    bool matches =
        statistics.RightHandSide.size() == n &&
        statistics.NormalMatrix.size() == n &&
        std::all_of(statistics.NormalMatrix.begin(),
                    statistics.NormalMatrix.end(),
                    [&](const auto &row) { return row.size() == n; });
    if (!matches || Fits.contains(statistics.ServingImage))
      continue;
    Fit &fit = Fits[statistics.ServingImage];
    for (std::size_t i = 0; i < statistics.Fillers.size(); ++i)
      fit.Index.emplace(statistics.Fillers[i], i + 1);
    fit.NormalMatrix = statistics.NormalMatrix;
    fit.RightHandSide = statistics.RightHandSide;
    fit.Solution.assign(n, 0);
    solve(fit);
  }
  updatePressures();
}

double ColocationModel::slope(const std::string &servingImage,
                              const std::string &fillerImage) const {
  auto fit = Fits.find(servingImage);
  if (fit == Fits.end())
    return 0;
  auto it = fit->second.Index.find(fillerImage);
  return it == fit->second.Index.end()
             ? pressureOf(fillerImage) * fit->second.Solution[0]
             : fit->second.Solution[it->second];
}

double ColocationModel::base(const std::string &servingImage) const {
  auto fit = Fits.find(servingImage);
  return fit == Fits.end() ? 0 : fit->second.Solution[0];
}

bool ColocationModel::isKnown(const std::string &servingImage,
                              const std::string &fillerImage) const {
  auto fit = Fits.find(servingImage);
  if (fit == Fits.end())
    return false;
  auto it = fit->second.Index.find(fillerImage);
  return it != fit->second.Index.end() &&
         fit->second.NormalMatrix[it->second][it->second] >= MinKnownWeight;
}

} // namespace endivedoor::policy
