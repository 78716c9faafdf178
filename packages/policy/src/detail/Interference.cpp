#include "detail/Interference.h"

#include <algorithm>

namespace endivedoor::policy::detail {

/// Step of the normalized gradient: a compromise between noise of single
/// measurements and the speed at which a new class is recognized.
static constexpr double StepSize = 0.1;
/// A class that was never seen beside a service is taken to add this share of
/// the service's base: it is tried first where it can do little harm.
static constexpr double UnknownShare = 0.1;

/// How readily a weight moves after \p seen samples: a change is rather due to
/// a class that is new beside the service than to one that was long there.
static double gain(std::uint64_t seen) {
  return std::max(0.02, 1 / (1 + double(seen) / 10));
}

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
  for (const ClassAmount &part : mix)
    if (part.Class >= it.Weights.size()) {
      it.Weights.resize(part.Class + 1, -1);
      it.Seen.resize(part.Class + 1);
    }
  for (const ClassAmount &part : mix)
    if (it.Weights[part.Class] < 0)
      it.Weights[part.Class] = 0;
}

double Interference::base(Index service) const {
  return service < Services.size() ? Services[service].Base : 0;
}

void Interference::learn(Index service, const Composition &mix, double p95Ms) {
  ServiceModel &it = record(service);
  if (it.Samples++ == 0)
    it.Base = p95Ms;
  meet(it, mix);
  double norm = gain(it.Samples);
  for (const ClassAmount &part : mix)
    norm += gain(it.Seen[part.Class]) * part.Amount * part.Amount;
  double step = StepSize * (p95Ms - predict(service, mix)) / norm;
  it.Base = std::max(0.0, it.Base + step * gain(it.Samples));
  for (const ClassAmount &part : mix) {
    double &w = it.Weights[part.Class];
    w = std::max(0.0, w + step * gain(it.Seen[part.Class]++) * part.Amount);
  }
}

} // namespace endivedoor::policy::detail
