#include "detail/InterferenceModel.h"

#include <algorithm>

namespace endivedoor::policy::detail {

/// Standard deviations as shares of the base latency: uncertainty of the weight
/// of a newly seen class, and drift of a known weight per sample.
static constexpr double UnknownDeviation = 2;
static constexpr double DriftDeviation = 0.01;
/// Standard deviation of a measurement as a share of its value. Covers noise
/// and the error of the linear approximation.
static constexpr double MeasurementDeviation = 0.25;
/// Share of the base latency that a class never seen beside the service is
/// assumed to add, so that it is first tried where it can do little harm.
static constexpr double UnknownShare = 0.1;

InterferenceModel::ServiceModel &InterferenceModel::record(Index service) {
  if (service >= Services.size())
    Services.resize(service + 1);
  return Services[service];
}

double InterferenceModel::predict(Index service, const WorkloadMix &mix) const {
  if (service >= Services.size())
    return 0;
  const ServiceModel &model = Services[service];
  double sum = model.Base;
  for (const ClassAmount &part : mix)
    if (part.Class < model.Weights.size() && model.Weights[part.Class] > 0)
      sum += model.Weights[part.Class] * part.Amount;
  return sum;
}

double InterferenceModel::weight(Index service, Index taskClass) const {
  if (service >= Services.size())
    return 0;
  const ServiceModel &model = Services[service];
  if (taskClass >= model.Weights.size() || model.Weights[taskClass] < 0)
    return UnknownShare * model.Base;
  return model.Weights[taskClass];
}

void InterferenceModel::addUnseenClasses(ServiceModel &model,
                                         const WorkloadMix &mix) {
  double variance =
      UnknownDeviation * UnknownDeviation * model.Base * model.Base;
  for (const ClassAmount &part : mix)
    if (part.Class >= model.Weights.size()) {
      model.Weights.resize(part.Class + 1, -1);
      model.Variances.resize(part.Class + 1);
    }
  for (const ClassAmount &part : mix)
    if (model.Weights[part.Class] < 0) {
      model.Weights[part.Class] = 0;
      model.Variances[part.Class] = variance;
    }
}

double InterferenceModel::base(Index service) const {
  return service < Services.size() ? Services[service].Base : 0;
}

void InterferenceModel::learn(Index service, const WorkloadMix &mix,
                              double p95Ms) {
  ServiceModel &model = record(service);
  if (model.Base <= 0) {
    model.Base = p95Ms;
    model.BaseVariance = p95Ms * p95Ms;
  }
  addUnseenClasses(model, mix);
  double drift = DriftDeviation * DriftDeviation * model.Base * model.Base;
  double noise = MeasurementDeviation * p95Ms;
  double total = noise * noise + model.BaseVariance;
  for (const ClassAmount &part : mix)
    total += model.Variances[part.Class] * part.Amount * part.Amount;
  double error = p95Ms - predict(service, mix);
  auto update = [&](double &value, double &variance, double amount) {
    double gain = variance * amount / total;
    value = std::max(0.0, value + gain * error);
    variance += drift - gain * amount * variance;
  };
  update(model.Base, model.BaseVariance, 1);
  for (const ClassAmount &part : mix)
    update(model.Weights[part.Class], model.Variances[part.Class], part.Amount);
}

} // namespace endivedoor::policy::detail
