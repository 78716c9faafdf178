/// \file
/// How much the programs that fill a worker slow the programs that serve on it.
#ifndef ENDIVEDOOR_POLICY_COLOCATIONMODEL_H
#define ENDIVEDOOR_POLICY_COLOCATIONMODEL_H

#include <map>
#include <string>
#include <vector>

namespace endivedoor::policy {

/// Share of a worker's processor that a filling program uses.
struct FillerShare {
  std::string Image;
  double Share = 0;
};

/// What has been learned about one serving program: the sums of its regression.
struct ColocationStatistics {
  std::string ServingImage;
  /// Filling programs in the order of the unknowns from 1; unknown 0 is the
  /// base.
  std::vector<std::string> Fillers;
  /// The normal matrix, and the right-hand side: one row and entry for each
  /// unknown.
  std::vector<std::vector<double>> NormalMatrix;
  std::vector<double> RightHandSide;
};

/// Learns, for each serving program, its response time alone and the time that
/// each filling program adds for a full worker's processor.
///
/// A ridge regression with exponential forgetting: response time = base + sum
/// of slope times share. Slopes are not negative.
class ColocationModel {
public:
  /// Adds a measurement.
  ///
  /// \param serving program of the task that was measured.
  /// \param responseMs its response time, in ms.
  /// \param fillers what ran beside it while it was measured.
  /// Cost: quadratic in the filling programs seen.
  void observe(const std::string &servingImage, double responseMs,
               const std::vector<FillerShare> &fillers);

  /// Returns the ms that \p filler adds for each full share; 0 if unknown.
  double slope(const std::string &servingImage,
               const std::string &fillerImage) const;

  /// Returns the response time alone, in ms; 0 if it was never measured.
  double base(const std::string &servingImage) const;

  /// Returns whether the pair has been measured often enough to be relied on.
  bool isKnown(const std::string &servingImage,
               const std::string &fillerImage) const;

  /// Returns what has been learned, for another model to go on from.
  std::vector<ColocationStatistics> statistics() const;
  /// Goes on from what another model has learned; programs that this one knows
  /// are left out, and so are facts whose sizes do not match.
  void importStatistics(const std::vector<ColocationStatistics> &imported);

private:
  struct Fit {
    /// Filling programs in the order of the unknowns; unknown 0 is the base.
    std::map<std::string, std::size_t> Index;
    std::vector<std::vector<double>> NormalMatrix;
    std::vector<double> RightHandSide;
    std::vector<double> Solution;
    std::size_t ObservationsSinceSolve = 0;
  };

  static void solve(Fit &fit);
  static std::size_t indexOf(Fit &fit, const std::string &fillerImage);

  std::map<std::string, Fit> Fits;
};

} // namespace endivedoor::policy

#endif
