/// \file
/// How much each class of tasks slows each service down.
#ifndef ENDIVEDOOR_POLICY_DETAIL_INTERFERENCEMODEL_H
#define ENDIVEDOOR_POLICY_DETAIL_INTERFERENCEMODEL_H

#include "detail/History.h"

namespace endivedoor::policy::detail {

/// Linear model of a service's 95th percentile: a base and a weight for each
/// class of neighbours, learned by a Kalman filter (Kalman 1960) whose
/// covariance matrix is kept diagonal. The weight that is known least takes
/// most of the blame for an error. Weights are kept at or above 0.
class InterferenceModel {
public:
  /// Learns from one measurement.
  ///
  /// \param mix what ran beside the measured task when it was taken.
  void learn(Index service, const WorkloadMix &mix, double p95Ms);
  /// Returns the expected 95th percentile in ms, 0 if nothing is known.
  double predict(Index service, const WorkloadMix &mix) const;
  /// Returns the ms that one more task of the class adds.
  double weight(Index service, Index taskClass) const;
  double base(Index service) const;

private:
  struct ServiceModel {
    double Base = 0;
    double BaseVariance = 0;
    /// By class; negative if the class was never seen beside the service.
    std::vector<double> Weights;
    std::vector<double> Variances;
  };
  /// Marks the classes of \p mix as seen.
  static void addUnseenClasses(ServiceModel &model, const WorkloadMix &mix);
  ServiceModel &record(Index service);

  std::vector<ServiceModel> Services;
};

} // namespace endivedoor::policy::detail

#endif
