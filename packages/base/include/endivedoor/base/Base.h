/// \file
/// Umbrella header of the package base.
#ifndef ENDIVEDOOR_BASE_BASE_H
#define ENDIVEDOOR_BASE_BASE_H

#include "endivedoor/base/Clock.h"
#include "endivedoor/base/Error.h"
#include "endivedoor/base/Event.h"
#include "endivedoor/base/HybridClock.h"
#include "endivedoor/base/Ids.h"
#include "endivedoor/base/Units.h"

#endif
