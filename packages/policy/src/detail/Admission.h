/// \file
/// Why a job can never run here.
#ifndef ENDIVEDOOR_POLICY_DETAIL_ADMISSION_H
#define ENDIVEDOOR_POLICY_DETAIL_ADMISSION_H

#include "detail/RuleTable.h"

#include <optional>
#include <string>

namespace endivedoor::policy::detail {

/// Returns why no worker can ever take a task of the job, even when empty:
/// every known worker counts, also those that are out for now. Nothing if one
/// can.
///
/// Cost: linear in the number of workers.
std::optional<std::string> refusalReason(const SchedulerRecords &records,
                                         const RuleTable &rules,
                                         const JobRec &job);

} // namespace endivedoor::policy::detail

#endif
