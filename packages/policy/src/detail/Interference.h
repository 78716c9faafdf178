/// \file
/// How much each class of tasks slows each service down.
#ifndef ENDIVEDOOR_POLICY_DETAIL_INTERFERENCE_H
#define ENDIVEDOOR_POLICY_DETAIL_INTERFERENCE_H

#include "detail/History.h"

namespace endivedoor::policy::detail {

/// Linear model of a service's 95th percentile: a base and a weight for each
/// class of neighbours, learned by normalized least mean squares (Widrow and
/// Hoff 1960; Nagumo and Noda 1967) with a gain for each weight that falls with
/// its samples. Weights are kept at or above 0.
class Interference {
public:
  /// Learns from one measurement.
  ///
  /// \param mix what ran beside the measured task when it was taken.
  void learn(Index service, const Composition &mix, double p95Ms);
  /// Returns the expected 95th percentile in ms, 0 if nothing is known.
  double predict(Index service, const Composition &mix) const;
  /// Returns the ms that one more task of the class adds.
  double weight(Index service, Index taskClass) const;
  double base(Index service) const;

private:
  struct ServiceModel {
    double Base = 0;
    std::uint64_t Samples = 0;
    /// By class; negative if the class was never seen beside the service.
    std::vector<double> Weights;
    /// Samples in which the class was present.
    std::vector<std::uint64_t> Seen;
  };
  /// Marks the classes of \p mix as seen.
  static void meet(ServiceModel &it, const Composition &mix);
  ServiceModel &record(Index service);

  std::vector<ServiceModel> Services;
};

} // namespace endivedoor::policy::detail

#endif
