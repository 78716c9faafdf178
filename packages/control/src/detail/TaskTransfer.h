/// \file
/// Transfers queued tasks of a zone that is out of service to zones that are in
/// service.
#ifndef ENDIVEDOOR_CONTROL_DETAIL_TASKTRANSFER_H
#define ENDIVEDOOR_CONTROL_DETAIL_TASKTRANSFER_H

#include "detail/ConfigManager.h"
#include "detail/Journal.h"
#include "detail/TaskTable.h"

namespace endivedoor::control::detail {

/// Removing a task from this zone's journal and writing it to the other zone's
/// inbox happen in the same commit, so a task is always in exactly one place.
class TaskTransfer {
public:
  TaskTransfer(Context &context, const ConfigManager &config, TaskTable &table)
      : Ctx(context), Config(config), Table(table) {}

  /// Appends queued tasks to \p batch, marks them as moving and returns their
  /// ids.
  std::vector<base::TaskId> appendTransfers(WriteBatch &batch);
  /// Completes the commit: removes the tasks if it succeeded, else keeps them
  /// here.
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
