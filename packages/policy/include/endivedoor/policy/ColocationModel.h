/// \file
/// Model of the slowdown that co-located fillers cause for services.
#ifndef ENDIVEDOOR_POLICY_COLOCATIONMODEL_H
#define ENDIVEDOOR_POLICY_COLOCATIONMODEL_H

#include <cstdint>
#include <map>
#include <set>
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
  /// Filler images in the order of the unknowns, starting at unknown 1; row 0
  /// holds the sum of the weights of the measurements.
  std::vector<std::string> Fillers;
  /// Matrix and right-hand side of the normal equations, with one row and one
  /// entry per unknown.
  std::vector<std::vector<double>> NormalMatrix;
  std::vector<double> RightHandSide;
};

/// Estimates how much of the headroom of each service image each filler takes
/// per full worker CPU. Headroom is the ratio of target to response time
/// without fillers, as in ServingLoad. Response times grow with 1 / (1 - load)
/// and fillers act like load, so that their effects on this ratio add up,
/// whatever the service's own load is.
///
/// Weighted ridge regression through the origin with exponential forgetting:
/// lost headroom = sum of slope times share. Slopes are non-negative. A slope
/// is drawn towards the pressure of the filler times the sensitivity of the
/// service, both learned from all pairs, so that a pair without measurements of
/// its own is not assumed to be harmless.
class ColocationModel {
public:
  /// Adds a measurement.
  ///
  /// \param servingImage image of the measured task.
  /// \param lost headroom lost to fillers: expected without fillers minus
  /// measured.
  /// \param fillers fillers that ran on the worker during the measurement.
  /// \param weight weight of the measurement, in (0, 1].
  /// Cost: quadratic in the number of filler images seen.
  void observe(const std::string &servingImage, double lost,
               const std::vector<FillerShare> &fillers, double weight = 1);

  /// Returns the headroom that \p fillerImage takes per full share; 0 if all
  /// fillers are unknown.
  double slope(const std::string &servingImage,
               const std::string &fillerImage) const;

  /// As slope(), with an allowance for what is not known of the pair yet.
  double cautiousSlope(const std::string &servingImage,
                       const std::string &fillerImage) const;

  /// Returns the fillers that have been measured beside any service.
  std::set<std::string> fillerImages() const;

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
    /// Index of the unknown of each filler image. Unknown 0 is fixed at 0; its
    /// row holds the sum of the weights.
    std::map<std::string, std::size_t> Index;
    std::vector<std::vector<double>> NormalMatrix;
    std::vector<double> RightHandSide;
    /// Sums of all other shards.
    std::vector<std::vector<double>> PeerMatrix;
    std::vector<double> PeerSide;
    std::vector<double> Solution;
    /// Results of cautiousSlope() as of the latest solution.
    std::vector<double> Cautious;
    std::size_t ObservationsSinceSolve = 0;
  };

  void solve(Fit &fit, const std::string &servingImage);
  /// Updates the pressures and sensitivities from all services.
  void updateExpectations();
  /// Returns the expected slope of a pair.
  double expectedSlope(const std::string &servingImage,
                       const std::string &fillerImage) const;
  static std::size_t indexOf(Fit &fit, const std::string &fillerImage);

  Fit &fitOf(const std::string &servingImage);
  /// Adds up the sums of the other shards for one service.
  void sumPeers(const std::string &servingImage, Fit &fit);

  std::map<std::string, Fit> Fits;
  std::map<std::int32_t, std::vector<ColocationStatistics>> Peers;
  /// Slope for a service of mean sensitivity, by filler image.
  std::map<std::string, double> Pressures;
  /// The same over all fillers.
  double MeanPressure = 0;
  /// Slopes of a service relative to the pressures, by image; 1 on average.
  std::map<std::string, double> Sensitivities;
  std::size_t SolvesSinceUpdate = 0;
};

} // namespace endivedoor::policy

#endif
