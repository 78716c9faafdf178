/// \file
/// Umbrella header of the package model.
#ifndef ENDIVEDOOR_MODEL_MODEL_H
#define ENDIVEDOOR_MODEL_MODEL_H

#include "endivedoor/model/Job.h"
#include "endivedoor/model/Rules.h"
#include "endivedoor/model/Scalars.h"
#include "endivedoor/model/Settings.h"
#include "endivedoor/model/Worker.h"

#endif
