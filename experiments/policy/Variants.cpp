#include "Variants.h"

namespace endivedoor::experiment {

static Variant baseline(std::string name, policy::BaselineKind kind) {
  return {std::move(name),
          [kind](const base::Clock &clock, std::uint64_t seed) {
            return policy::makeBaseline(kind, clock, seed);
          },
          true};
}

static Variant with(std::string name,
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
      baseline("random", BaselineKind::Random),
      baseline("first fit", BaselineKind::FirstFit),
      baseline("least loaded", BaselineKind::LeastLoaded),
      baseline("two choices", BaselineKind::TwoChoices),
      with("endivedoor", [](PolicySettings &) {}),
      with("no hysteresis",
           [](PolicySettings &s) {
             s.Guard = policy::guardWithoutHysteresis();
           }),
      with("no throttle", [](PolicySettings &s) { s.Guard.Throttle = false; }),
      with("no eviction", [](PolicySettings &s) { s.Guard.Evict = false; }),
      with("no guard",
           [](PolicySettings &s) { s.Guard.Throttle = s.Guard.Evict = false; }),
      with("youngest victim",
           [](PolicySettings &s) { s.Guard.ChooseVictim = false; }),
      with("no throttle and youngest victim",
           [](PolicySettings &s) {
             s.Guard.Throttle = s.Guard.ChooseVictim = false;
           }),
      with("no interference cost",
           [](PolicySettings &s) { s.InterferenceCost = false; }),
      with("no holding back",
           [](PolicySettings &s) { s.DeferBatchTasks = false; }),
      with("no gathering",
           [](PolicySettings &s) { s.ConsolidateServices = false; }),
      with("no attribution",
           [](PolicySettings &s) { s.AttributeToHistory = false; }),
      with("declared sizes",
           [](PolicySettings &s) { s.MeasuredSizes = false; }),
      with("order of arrival",
           [](PolicySettings &s) { s.OrderByLatestStart = false; }),
      with("no quarantine", [](PolicySettings &s) { s.Quarantine = false; }),
  };
}

} // namespace endivedoor::experiment
