/// \file
/// Moves queued tasks of a zone that is out to zones that are in.
#ifndef ENDIVEDOOR_CONTROL_DETAIL_ZONEMOVES_H
#define ENDIVEDOOR_CONTROL_DETAIL_ZONEMOVES_H

#include "detail/ConfigKeeper.h"
#include "detail/Journal.h"
#include "detail/TaskTable.h"

namespace endivedoor::control::detail {

/// The commit that removes a task from this zone's journal also writes it into
/// the other zone's inbox, so it is always in exactly one place.
class ZoneMoves {
public:
  ZoneMoves(Context &context, const ConfigKeeper &keeper, TaskTable &table)
      : Ctx(context), Keeper(keeper), Table(table) {}

  /// Adds queued tasks to a draft and marks them as moving; returns their ids.
  std::vector<base::TaskId> add(Draft &draft);
  /// Ends the commit: removes the tasks, or leaves them here.
  void settle(const std::vector<base::TaskId> &moved, bool committed,
              policy::Scheduler &scheduler);

private:
  using Groups = std::map<base::JobId, std::vector<base::TaskId>>;
  Groups queued() const;
  Command takeTasks(const JobRecord &job,
                    const std::vector<base::TaskId> &tasks, std::size_t &bytes);

  Context &Ctx;
  const ConfigKeeper &Keeper;
  TaskTable &Table;
};

} // namespace endivedoor::control::detail

#endif
