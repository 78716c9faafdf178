/// \file
/// Model of the latency that co-located task classes add to each service.
#ifndef ENDIVEDOOR_POLICY_DETAIL_INTERFERENCEMODEL_H
#define ENDIVEDOOR_POLICY_DETAIL_INTERFERENCEMODEL_H

#include "detail/History.h"

namespace endivedoor::policy::detail {

/// Linear model of a service's 95th percentile latency: a base and a weight per
/// class of neighbours, estimated by a Kalman filter (Kalman 1960) with a
/// diagonal covariance matrix. The most uncertain weight receives the largest
/// part of a correction. Weights are non-negative.
class InterferenceModel {
public:
  /// Updates the model with a measurement.
  ///
  /// \param mix workload beside the measured task at the time of the
  /// measurement.
  void learn(Index service, const WorkloadMix &mix, double p95Ms);
  /// Returns the predicted 95th percentile in ms, or 0 for an unknown service.
  double predict(Index service, const WorkloadMix &mix) const;
  /// Returns the latency in ms that one more task of the class adds.
  double weight(Index service, Index taskClass) const;
  double base(Index service) const;

private:
  struct ServiceModel {
    double Base = 0;
    double BaseVariance = 0;
    /// By class; negative if the class was never observed beside the service.
    std::vector<double> Weights;
    std::vector<double> Variances;
  };
  /// Initializes the weights of classes in \p mix that were not seen before.
  static void addUnseenClasses(ServiceModel &model, const WorkloadMix &mix);
  ServiceModel &record(Index service);

  std::vector<ServiceModel> Services;
};

} // namespace endivedoor::policy::detail

#endif
