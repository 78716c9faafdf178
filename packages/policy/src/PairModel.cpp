#include "endivedoor/policy/PairModel.h"

#include <algorithm>
#include <cmath>

namespace endivedoor::policy {

/// Weight that a measurement keeps with each later one: some 2,000 count.
constexpr double Forgetting = 0.9995;
/// Pulls slopes to 0 with the weight of one measurement at a share of 0.1.
constexpr double SlopePrior = 0.01;
/// Pulls the base to 0 hardly at all.
constexpr double BasePrior = 1e-3;
/// Measurements between two solutions.
constexpr std::size_t SolveEvery = 8;
/// Sum of squared shares from which a pair is known: a few measurements at a
/// share of 0.1.
constexpr double KnownWeight = 0.03;
/// Response times above this many times the base count as this many, so that
/// one stall does not outweigh all others.
constexpr double OutlierFactor = 8;

std::size_t PairModel::indexOf(Fit &fit, const std::string &filler) {
  auto [it, added] = fit.Index.try_emplace(filler, fit.Index.size() + 1);
  if (!added)
    return it->second;
  for (std::vector<double> &row : fit.Normal)
    row.push_back(0);
  fit.Normal.emplace_back(fit.Right.size() + 1, 0.0);
  fit.Right.push_back(0);
  fit.Solution.push_back(0);
  return it->second;
}

void PairModel::observe(const std::string &serving, double responseMs,
                        const std::vector<FillerShare> &fillers) {
  Fit &fit = Fits[serving];
  if (fit.Right.empty()) {
    fit.Normal = {{0.0}};
    fit.Right = {0.0};
    fit.Solution = {responseMs};
  }
  if (fit.Solution[0] > 0)
    responseMs = std::min(responseMs, OutlierFactor * fit.Solution[0]);
  std::map<std::size_t, double> row{{0, 1.0}};
  for (const FillerShare &it : fillers)
    row[indexOf(fit, it.Image)] += it.Share;
  for (std::vector<double> &line : fit.Normal)
    for (double &it : line)
      it *= Forgetting;
  for (double &it : fit.Right)
    it *= Forgetting;
  for (const auto &[i, x] : row) {
    fit.Right[i] += x * responseMs;
    for (const auto &[j, y] : row)
      fit.Normal[i][j] += x * y;
  }
  if (++fit.SinceSolved >= SolveEvery)
    solve(fit);
}

/// Gauss-Seidel with slopes kept at 0 or above; the matrix is symmetric and,
/// with the priors, positive definite.
void PairModel::solve(Fit &fit) {
  constexpr int rounds = 25;
  fit.SinceSolved = 0;
  std::size_t n = fit.Right.size();
  for (int round = 0; round < rounds; ++round)
    for (std::size_t i = 0; i < n; ++i) {
      double sum = fit.Right[i];
      for (std::size_t j = 0; j < n; ++j)
        if (j != i)
          sum -= fit.Normal[i][j] * fit.Solution[j];
      double prior = i == 0 ? BasePrior : SlopePrior;
      fit.Solution[i] = std::max(0.0, sum / (fit.Normal[i][i] + prior));
    }
}

std::vector<PairFacts> PairModel::facts() const {
  std::vector<PairFacts> all;
  for (const auto &[serving, fit] : Fits) {
    PairFacts facts{serving, {}, fit.Normal, fit.Right};
    facts.Fillers.resize(fit.Index.size());
    for (const auto &[filler, index] : fit.Index)
      facts.Fillers[index - 1] = filler;
    all.push_back(std::move(facts));
  }
  return all;
}

void PairModel::adopt(const std::vector<PairFacts> &facts) {
  for (const PairFacts &it : facts) {
    std::size_t n = it.Fillers.size() + 1;
    bool matches =
        it.Right.size() == n && it.Normal.size() == n &&
        std::all_of(it.Normal.begin(), it.Normal.end(),
                    [&](const auto &row) { return row.size() == n; });
    if (!matches || Fits.contains(it.Serving))
      continue;
    Fit &fit = Fits[it.Serving];
    for (std::size_t i = 0; i < it.Fillers.size(); ++i)
      fit.Index.emplace(it.Fillers[i], i + 1);
    fit.Normal = it.Normal;
    fit.Right = it.Right;
    fit.Solution.assign(n, 0);
    solve(fit);
  }
}

double PairModel::slope(const std::string &serving,
                        const std::string &filler) const {
  auto fit = Fits.find(serving);
  if (fit == Fits.end())
    return 0;
  auto it = fit->second.Index.find(filler);
  return it == fit->second.Index.end() ? 0 : fit->second.Solution[it->second];
}

double PairModel::base(const std::string &serving) const {
  auto fit = Fits.find(serving);
  return fit == Fits.end() ? 0 : fit->second.Solution[0];
}

bool PairModel::isKnown(const std::string &serving,
                        const std::string &filler) const {
  auto fit = Fits.find(serving);
  if (fit == Fits.end())
    return false;
  auto it = fit->second.Index.find(filler);
  return it != fit->second.Index.end() &&
         fit->second.Normal[it->second][it->second] >= KnownWeight;
}

} // namespace endivedoor::policy
