/// \file
/// Umbrella header of the policy package.
#ifndef ENDIVEDOOR_POLICY_POLICY_H
#define ENDIVEDOOR_POLICY_POLICY_H

#include "endivedoor/policy/PolicySettings.h"
#include "endivedoor/policy/Scheduler.h"

#endif
