/// \file
/// Detection of jobs that no worker can ever run.
#ifndef ENDIVEDOOR_POLICY_DETAIL_ADMISSION_H
#define ENDIVEDOOR_POLICY_DETAIL_ADMISSION_H

#include "detail/RuleTable.h"

#include <optional>
#include <string>

namespace endivedoor::policy::detail {

/// Returns the reason why no worker could run a task of the job even when
/// empty, or nothing if one could. All known workers are considered, including
/// those temporarily out of service.
///
/// Cost: linear in the number of workers.
std::optional<std::string> refusalReason(const SchedulerRecords &records,
                                         const RuleTable &rules,
                                         const JobRec &job);

} // namespace endivedoor::policy::detail

#endif
