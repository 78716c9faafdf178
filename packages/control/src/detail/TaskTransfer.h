/// \file
/// Moves queued tasks of a zone that is out to zones that are in.
#ifndef ENDIVEDOOR_CONTROL_DETAIL_TASKTRANSFER_H
#define ENDIVEDOOR_CONTROL_DETAIL_TASKTRANSFER_H

#include "detail/ConfigManager.h"
#include "detail/Journal.h"
#include "detail/TaskTable.h"

namespace endivedoor::control::detail {

/// The commit that removes a task from this zone's journal also writes it into
/// the other zone's inbox, so it is always in exactly one place.
class TaskTransfer {
public:
  TaskTransfer(Context &context, const ConfigManager &config, TaskTable &table)
      : Ctx(context), Config(config), Table(table) {}

  /// Adds queued tasks to a draft and marks them as moving; returns their ids.
  std::vector<base::TaskId> appendTransfers(WriteBatch &batch);
  /// Ends the commit: removes the tasks, or leaves them here.
  void finishCommit(const std::vector<base::TaskId> &moved, bool committed,
                    policy::Scheduler &scheduler);

private:
  using TasksByJob = std::map<base::JobId, std::vector<base::TaskId>>;
  TasksByJob queuedTasksByJob() const;
  Command buildTransferCommand(const JobRecord &job,
                               const std::vector<base::TaskId> &tasks,
                               std::size_t &bytes);

  Context &Ctx;
  const ConfigManager &Config;
  TaskTable &Table;
};

} // namespace endivedoor::control::detail

#endif
