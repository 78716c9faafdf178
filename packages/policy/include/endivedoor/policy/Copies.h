/// \file
/// When a copy of a running task is worth its capacity.
///
/// Load pattern: a few workers are slow without any report of it, so that one
/// task of a wide step runs several times as long as the others and the whole
/// job waits for it.
#ifndef ENDIVEDOOR_POLICY_COPIES_H
#define ENDIVEDOOR_POLICY_COPIES_H

#include "endivedoor/policy/RunTimes.h"

namespace endivedoor::policy {

/// Returns whether a run takes much longer than earlier runs of its program.
/// Never if too few have ended, since declared times are wrong by half or more.
bool isStraggler(const RunTimes &times, const ProgramKey &program,
                 std::chrono::nanoseconds elapsed);

} // namespace endivedoor::policy

#endif
