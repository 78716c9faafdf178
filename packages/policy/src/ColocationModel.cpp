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
/// Weight of the mean of all pairs against what one filler or one service was
/// measured to do: equals one well measured pair.
constexpr double ExpectationPrior = 1;
/// Allowance of cautiousSlope() for a pair without measurements, as a fraction
/// of its expected slope.
constexpr double UnmeasuredAllowance = 0.5;
/// Number of solutions between two updates of the expected slopes.
constexpr std::size_t ExpectationInterval = 16;
/// Number of measurements between two solutions of the regression.
constexpr std::size_t SolveInterval = 8;
/// Sum of squared shares from which a pair counts as known: a few measurements
/// at a share of 0.1.
constexpr double MinKnownWeight = 0.03;
/// Range of a measured loss of headroom: a single stall must not outweigh all
/// other measurements.
constexpr double MaxLoss = 4;

std::size_t ColocationModel::indexOf(Fit &fit, const std::string &fillerImage) {
  auto [it, added] = fit.Index.try_emplace(fillerImage, fit.Index.size() + 1);
  if (!added)
    return it->second;
  std::size_t size = fit.RightHandSide.size() + 1;
  for (auto *matrix : {&fit.NormalMatrix, &fit.PeerMatrix}) {
    for (std::vector<double> &row : *matrix)
      row.push_back(0);
    matrix->emplace_back(size, 0.0);
  }
  fit.RightHandSide.push_back(0);
  fit.PeerSide.push_back(0);
  fit.Solution.push_back(0);
  fit.Cautious.push_back(0);
  return it->second;
}

ColocationModel::Fit &ColocationModel::fitOf(const std::string &servingImage) {
  Fit &fit = Fits[servingImage];
  if (fit.RightHandSide.empty()) {
    fit.NormalMatrix = fit.PeerMatrix = {{0.0}};
    fit.RightHandSide = fit.PeerSide = fit.Solution = fit.Cautious = {0.0};
  }
  return fit;
}

void ColocationModel::observe(const std::string &servingImage, double lost,
                              const std::vector<FillerShare> &fillers,
                              double weight) {
  Fit &fit = fitOf(servingImage);
  lost = std::clamp(lost, -MaxLoss, MaxLoss);
  std::map<std::size_t, double> row{{0, 1.0}};
  for (const FillerShare &filler : fillers)
    row[indexOf(fit, filler.Image)] += filler.Share;
  for (std::vector<double> &line : fit.NormalMatrix)
    for (double &entry : line)
      entry *= ForgettingFactor;
  for (double &sum : fit.RightHandSide)
    sum *= ForgettingFactor;
  for (const auto &[i, x] : row) {
    fit.RightHandSide[i] += weight * x * lost;
    for (const auto &[j, y] : row)
      fit.NormalMatrix[i][j] += weight * x * y;
  }
  if (++fit.ObservationsSinceSolve >= SolveInterval)
    solve(fit, servingImage);
}

static double valueOr(const std::map<std::string, double> &values,
                      const std::string &key, double otherwise) {
  auto it = values.find(key);
  return it == values.end() ? otherwise : it->second;
}

double ColocationModel::expectedSlope(const std::string &servingImage,
                                      const std::string &fillerImage) const {
  return valueOr(Pressures, fillerImage, MeanPressure) *
         valueOr(Sensitivities, servingImage, 1);
}

void ColocationModel::updateExpectations() {
  struct Sum {
    double Weight = 0;
    double Value = 0;
  };
  std::map<std::string, Sum> pressures, sensitivities;
  Sum all;
  // Both passes weigh a pair between 0 without measurements and 1 with many.
  auto forEachPair = [&](auto visit) {
    for (const auto &[serving, fit] : Fits)
      for (const auto &[filler, i] : fit.Index) {
        double measured = fit.NormalMatrix[i][i] + fit.PeerMatrix[i][i];
        visit(serving, filler, measured / (measured + SlopePrior),
              fit.Solution[i]);
      }
  };
  forEachPair([&](const std::string &serving, const std::string &filler,
                  double weight, double slope) {
    double sensitivity = valueOr(Sensitivities, serving, 1);
    pressures[filler].Weight += weight * sensitivity;
    pressures[filler].Value += weight * slope;
    all.Weight += weight;
    all.Value += weight * slope;
  });
  MeanPressure = all.Weight > 0 ? all.Value / all.Weight : 0;
  for (const auto &[filler, sum] : pressures)
    Pressures[filler] = (sum.Value + ExpectationPrior * MeanPressure) /
                        (sum.Weight + ExpectationPrior);
  if (MeanPressure <= 0)
    return;
  forEachPair([&](const std::string &serving, const std::string &filler,
                  double weight, double slope) {
    sensitivities[serving].Weight += weight * Pressures[filler];
    sensitivities[serving].Value += weight * slope;
  });
  double prior = ExpectationPrior * MeanPressure;
  for (const auto &[serving, sum] : sensitivities)
    Sensitivities[serving] = (sum.Value + prior) / (sum.Weight + prior);
}

/// Projected Gauss-Seidel iteration that keeps all unknowns non-negative. The
/// matrix is symmetric and, with the priors, positive definite.
void ColocationModel::solve(Fit &fit, const std::string &servingImage) {
  constexpr int rounds = 25;
  fit.ObservationsSinceSolve = 0;
  std::size_t n = fit.RightHandSide.size();
  std::vector<double> expected(n, 0);
  for (const auto &[filler, i] : fit.Index)
    expected[i] = expectedSlope(servingImage, filler);
  for (int round = 0; round < rounds; ++round) {
    double change = 0;
    for (std::size_t i = 1; i < n; ++i) {
      double sum = fit.RightHandSide[i] + fit.PeerSide[i];
      for (std::size_t j = 1; j < n; ++j)
        if (j != i)
          sum -=
              (fit.NormalMatrix[i][j] + fit.PeerMatrix[i][j]) * fit.Solution[j];
      double weight = fit.NormalMatrix[i][i] + fit.PeerMatrix[i][i];
      double next = std::max(0.0, (sum + SlopePrior * expected[i]) /
                                      (weight + SlopePrior));
      change = std::max(change, std::abs(next - fit.Solution[i]));
      fit.Solution[i] = next;
    }
    // Far below the resolution of a gauge.
    if (change < 1e-4)
      break;
  }
  for (std::size_t i = 1; i < n; ++i) {
    double weight = fit.NormalMatrix[i][i] + fit.PeerMatrix[i][i];
    fit.Cautious[i] = fit.Solution[i] + UnmeasuredAllowance * expected[i] *
                                            SlopePrior / (weight + SlopePrior);
  }
  if (++SolvesSinceUpdate >= ExpectationInterval) {
    SolvesSinceUpdate = 0;
    updateExpectations();
  }
}

std::vector<ColocationStatistics> ColocationModel::statistics() const {
  std::vector<ColocationStatistics> all;
  for (const auto &[serving, fit] : Fits) {
    // Known from other shards only.
    if (fit.NormalMatrix[0][0] == 0)
      continue;
    ColocationStatistics statistics{
        serving, {}, fit.NormalMatrix, fit.RightHandSide};
    statistics.Fillers.resize(fit.Index.size());
    for (const auto &[filler, index] : fit.Index)
      statistics.Fillers[index - 1] = filler;
    all.push_back(std::move(statistics));
  }
  return all;
}

/// Returns whether the sizes agree and the sums are those of the number of
/// measurements that forgetting allows.
static bool isPlausible(const ColocationStatistics &statistics) {
  constexpr double maxWeight = 1.01 / (1 - ForgettingFactor);
  std::size_t n = statistics.Fillers.size() + 1;
  if (statistics.RightHandSide.size() != n ||
      statistics.NormalMatrix.size() != n)
    return false;
  for (std::size_t i = 0; i < n; ++i) {
    const std::vector<double> &row = statistics.NormalMatrix[i];
    if (row.size() != n || row[i] < 0 || row[i] > maxWeight)
      return false;
  }
  return true;
}

void ColocationModel::importStatistics(
    const std::vector<ColocationStatistics> &imported) {
  for (const ColocationStatistics &statistics : imported) {
    if (!isPlausible(statistics) || Fits.contains(statistics.ServingImage))
      continue;
    Fit &fit = fitOf(statistics.ServingImage);
    for (const std::string &it : statistics.Fillers)
      indexOf(fit, it);
    if (fit.RightHandSide.size() != statistics.RightHandSide.size())
      continue;
    fit.NormalMatrix = statistics.NormalMatrix;
    fit.RightHandSide = statistics.RightHandSide;
  }
  // The iteration starts far from the solution, and the expected slopes depend
  // on the solutions of all services.
  constexpr int initialSolutions = 4;
  for (int i = 0; i < initialSolutions; ++i) {
    for (auto &[serving, fit] : Fits)
      solve(fit, serving);
    updateExpectations();
  }
}

void ColocationModel::sumPeers(const std::string &servingImage, Fit &fit) {
  for (std::vector<double> &row : fit.PeerMatrix)
    std::fill(row.begin(), row.end(), 0.0);
  std::fill(fit.PeerSide.begin(), fit.PeerSide.end(), 0.0);
  for (const auto &[shard, published] : Peers)
    for (const ColocationStatistics &statistics : published) {
      if (statistics.ServingImage != servingImage)
        continue;
      std::vector<std::size_t> to{0};
      for (const std::string &it : statistics.Fillers)
        to.push_back(indexOf(fit, it));
      for (std::size_t i = 0; i < to.size(); ++i) {
        fit.PeerSide[to[i]] += statistics.RightHandSide[i];
        for (std::size_t j = 0; j < to.size(); ++j)
          fit.PeerMatrix[to[i]][to[j]] += statistics.NormalMatrix[i][j];
      }
    }
}

void ColocationModel::setPeerStatistics(
    std::int32_t shard, const std::vector<ColocationStatistics> &published) {
  std::vector<ColocationStatistics> &kept = Peers[shard];
  kept.clear();
  for (const ColocationStatistics &it : published)
    if (isPlausible(it))
      kept.push_back(it);
  for (const ColocationStatistics &it : kept) {
    Fit &fit = fitOf(it.ServingImage);
    sumPeers(it.ServingImage, fit);
    solve(fit, it.ServingImage);
  }
}

double ColocationModel::slope(const std::string &servingImage,
                              const std::string &fillerImage) const {
  auto fit = Fits.find(servingImage);
  if (fit != Fits.end())
    if (auto it = fit->second.Index.find(fillerImage);
        it != fit->second.Index.end())
      return fit->second.Solution[it->second];
  return expectedSlope(servingImage, fillerImage);
}

double ColocationModel::cautiousSlope(const std::string &servingImage,
                                      const std::string &fillerImage) const {
  if (auto fit = Fits.find(servingImage); fit != Fits.end())
    if (auto it = fit->second.Index.find(fillerImage);
        it != fit->second.Index.end())
      return fit->second.Cautious[it->second];
  return (1 + UnmeasuredAllowance) * expectedSlope(servingImage, fillerImage);
}

std::set<std::string> ColocationModel::fillerImages() const {
  std::set<std::string> images;
  for (const auto &[serving, fit] : Fits)
    for (const auto &[filler, i] : fit.Index)
      images.insert(filler);
  return images;
}

bool ColocationModel::isKnown(const std::string &servingImage,
                              const std::string &fillerImage) const {
  auto fit = Fits.find(servingImage);
  if (fit == Fits.end())
    return false;
  auto it = fit->second.Index.find(fillerImage);
  return it != fit->second.Index.end() &&
         fit->second.NormalMatrix[it->second][it->second] +
                 fit->second.PeerMatrix[it->second][it->second] >=
             MinKnownWeight;
}

} // namespace endivedoor::policy
