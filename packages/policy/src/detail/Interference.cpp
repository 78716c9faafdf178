#include "detail/Interference.h"

#include <algorithm>

namespace endivedoor::policy::detail {

/// All as shares of the base: deviation of an unknown weight, drift of a known
/// one from sample to sample.
static constexpr double UnknownDeviation = 2;
static constexpr double DriftDeviation = 0.01;
/// Deviation of a measurement as a share of it. It covers noise and the part of
/// the true curve that a linear model misses.
static constexpr double MeasurementDeviation = 0.25;
/// A class that was never seen beside a service is taken to add this share of
/// the service's base: it is tried first where it can do little harm.
static constexpr double UnknownShare = 0.1;

Interference::ServiceModel &Interference::record(Index service) {
  if (service >= Services.size())
    Services.resize(service + 1);
  return Services[service];
}

double Interference::predict(Index service, const Composition &mix) const {
  if (service >= Services.size())
    return 0;
  const ServiceModel &it = Services[service];
  double sum = it.Base;
  for (const ClassAmount &part : mix)
    if (part.Class < it.Weights.size() && it.Weights[part.Class] > 0)
      sum += it.Weights[part.Class] * part.Amount;
  return sum;
}

double Interference::weight(Index service, Index taskClass) const {
  if (service >= Services.size())
    return 0;
  const ServiceModel &it = Services[service];
  if (taskClass >= it.Weights.size() || it.Weights[taskClass] < 0)
    return UnknownShare * it.Base;
  return it.Weights[taskClass];
}

void Interference::meet(ServiceModel &it, const Composition &mix) {
  double variance = UnknownDeviation * UnknownDeviation * it.Base * it.Base;
  for (const ClassAmount &part : mix)
    if (part.Class >= it.Weights.size()) {
      it.Weights.resize(part.Class + 1, -1);
      it.Variances.resize(part.Class + 1);
    }
  for (const ClassAmount &part : mix)
    if (it.Weights[part.Class] < 0) {
      it.Weights[part.Class] = 0;
      it.Variances[part.Class] = variance;
    }
}

double Interference::base(Index service) const {
  return service < Services.size() ? Services[service].Base : 0;
}

void Interference::learn(Index service, const Composition &mix, double p95Ms) {
  ServiceModel &it = record(service);
  if (it.Base <= 0) {
    it.Base = p95Ms;
    it.BaseVariance = p95Ms * p95Ms;
  }
  meet(it, mix);
  double drift = DriftDeviation * DriftDeviation * it.Base * it.Base;
  double noise = MeasurementDeviation * p95Ms;
  double total = noise * noise + it.BaseVariance;
  for (const ClassAmount &part : mix)
    total += it.Variances[part.Class] * part.Amount * part.Amount;
  double error = p95Ms - predict(service, mix);
  auto update = [&](double &value, double &variance, double amount) {
    double gain = variance * amount / total;
    value = std::max(0.0, value + gain * error);
    variance += drift - gain * amount * variance;
  };
  update(it.Base, it.BaseVariance, 1);
  for (const ClassAmount &part : mix)
    update(it.Weights[part.Class], it.Variances[part.Class], part.Amount);
}

} // namespace endivedoor::policy::detail
