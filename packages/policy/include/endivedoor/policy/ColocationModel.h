/// \file
/// Model of the slowdown that co-located fillers cause for services.
#ifndef ENDIVEDOOR_POLICY_COLOCATIONMODEL_H
#define ENDIVEDOOR_POLICY_COLOCATIONMODEL_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace endivedoor::policy {

/// Share of a worker's CPU capacity used by a filler.
struct FillerShare {
  std::string Image;
  double Share = 0;
};

/// Regression sums for one service image.
struct ColocationStatistics {
  std::string ServingImage;
  /// Filler images in the order of the unknowns, starting at unknown 1; unknown
  /// 0 is the base.
  std::vector<std::string> Fillers;
  /// Matrix and right-hand side of the normal equations, with one row and one
  /// entry per unknown.
  std::vector<std::vector<double>> NormalMatrix;
  std::vector<double> RightHandSide;
};

/// Estimates, for each service image, its response time without fillers and the
/// time that each filler adds per full worker CPU.
///
/// Ridge regression with exponential forgetting: response time = base + sum of
/// slope times share. Slopes are non-negative. A slope is drawn towards what
/// the filler adds to other services, in relation to their bases, so that a
/// pair without measurements of its own is not assumed to be harmless.
class ColocationModel {
public:
  /// Adds a measurement.
  ///
  /// \param servingImage image of the measured task.
  /// \param responseMs measured response time, in ms.
  /// \param fillers fillers that ran on the worker during the measurement.
  /// Cost: quadratic in the number of filler images seen.
  void observe(const std::string &servingImage, double responseMs,
               const std::vector<FillerShare> &fillers);

  /// Returns the ms that \p fillerImage adds per full share; 0 if the service
  /// or all fillers are unknown.
  double slope(const std::string &servingImage,
               const std::string &fillerImage) const;

  /// Returns the response time without fillers, in ms; 0 if it was never
  /// measured.
  double base(const std::string &servingImage) const;

  /// Returns whether the pair has enough measurements for a reliable estimate.
  bool isKnown(const std::string &servingImage,
               const std::string &fillerImage) const;

  /// Returns the regression sums, for import into another model.
  std::vector<ColocationStatistics> statistics() const;
  /// Imports the regression sums of another model. Entries for images that this
  /// model already knows or with inconsistent sizes are ignored.
  void importStatistics(const std::vector<ColocationStatistics> &imported);

  /// Replaces the regression sums that another shard has published. They count
  /// in addition to this model's own and are not part of statistics(). Entries
  /// with inconsistent sizes or an implausible weight are ignored.
  ///
  /// \param shard number of the other shard.
  void setPeerStatistics(std::int32_t shard,
                         const std::vector<ColocationStatistics> &published);

private:
  struct Fit {
    /// Index of the unknown of each filler image; unknown 0 is the base.
    std::map<std::string, std::size_t> Index;
    std::vector<std::vector<double>> NormalMatrix;
    std::vector<double> RightHandSide;
    /// Sums of all other shards.
    std::vector<std::vector<double>> PeerMatrix;
    std::vector<double> PeerSide;
    std::vector<double> Solution;
    std::size_t ObservationsSinceSolve = 0;
  };

  void solve(Fit &fit);
  /// Updates Pressures and MeanPressure from all services.
  void updatePressures();
  /// Returns the expected slope of a filler for a service of base 1.
  double pressureOf(const std::string &fillerImage) const;
  static std::size_t indexOf(Fit &fit, const std::string &fillerImage);

  Fit &fitOf(const std::string &servingImage);
  /// Adds up the sums of the other shards for one service.
  void sumPeers(const std::string &servingImage, Fit &fit);

  std::map<std::string, Fit> Fits;
  std::map<std::int32_t, std::vector<ColocationStatistics>> Peers;
  /// Mean ratio of slope to base over the services, by filler image.
  std::map<std::string, double> Pressures;
  /// The same over all fillers.
  double MeanPressure = 0;
  std::size_t SolvesSinceUpdate = 0;
};

} // namespace endivedoor::policy

#endif
