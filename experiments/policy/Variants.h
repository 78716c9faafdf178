/// \file
/// The schedulers that are compared.
#ifndef ENDIVEDOOR_EXPERIMENTS_POLICY_VARIANTS_H
#define ENDIVEDOOR_EXPERIMENTS_POLICY_VARIANTS_H

#include "Simulation.h"

namespace endivedoor::experiment {

struct Variant {
  std::string Name;
  SchedulerFactory Make;
  bool Baseline = false;
};

/// The baselines, the scheduler in use, and the scheduler in use with one
/// mechanism off each.
std::vector<Variant> allVariants();

} // namespace endivedoor::experiment

#endif
