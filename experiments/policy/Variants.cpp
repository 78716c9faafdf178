#include "Variants.h"

namespace endivedoor::experiment {

static Variant makeBaselineVariant(std::string name,
                                   policy::BaselineKind kind) {
  return {std::move(name),
          [kind](const base::Clock &clock, std::uint64_t seed) {
            return policy::makeBaseline(kind, clock, seed);
          },
          true};
}

static Variant
makeVariant(std::string name,
            const std::function<void(policy::PolicySettings &)> &set) {
  policy::PolicySettings settings;
  set(settings);
  return {std::move(name),
          [settings](const base::Clock &clock, std::uint64_t seed) {
            return policy::makeScheduler(clock, seed, settings);
          }};
}

std::vector<Variant> allVariants() {
  using policy::BaselineKind;
  using policy::PolicySettings;
  return {
      makeBaselineVariant("random", BaselineKind::Random),
      makeBaselineVariant("first fit", BaselineKind::FirstFitScheduler),
      makeBaselineVariant("least loaded", BaselineKind::LeastLoaded),
      makeBaselineVariant("two choices", BaselineKind::TwoChoices),
      makeVariant("endivedoor", [](PolicySettings &) {}),
      makeVariant("no hysteresis",
                  [](PolicySettings &s) {
                    s.Guard = policy::guardWithoutHysteresis();
                  }),
      makeVariant("no throttle",
                  [](PolicySettings &s) { s.Guard.Throttle = false; }),
      makeVariant("no eviction",
                  [](PolicySettings &s) { s.Guard.Evict = false; }),
      makeVariant(
          "no guard",
          [](PolicySettings &s) { s.Guard.Throttle = s.Guard.Evict = false; }),
      makeVariant("youngest victim",
                  [](PolicySettings &s) { s.Guard.ChooseVictim = false; }),
      makeVariant("no throttle and youngest victim",
                  [](PolicySettings &s) {
                    s.Guard.Throttle = s.Guard.ChooseVictim = false;
                  }),
      makeVariant("no interference cost",
                  [](PolicySettings &s) { s.InterferenceCost = false; }),
      makeVariant("no holding back",
                  [](PolicySettings &s) { s.DeferBatchTasks = false; }),
      makeVariant("no gathering",
                  [](PolicySettings &s) { s.ConsolidateServices = false; }),
      makeVariant("no attribution",
                  [](PolicySettings &s) { s.AttributeToHistory = false; }),
      makeVariant("declared sizes",
                  [](PolicySettings &s) { s.MeasuredSizes = false; }),
      makeVariant("order of arrival",
                  [](PolicySettings &s) { s.OrderByLatestStart = false; }),
      makeVariant("no quarantine",
                  [](PolicySettings &s) { s.Quarantine = false; }),
  };
}

} // namespace endivedoor::experiment
