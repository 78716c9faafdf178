/// \file
/// Writes the commands of callers to the inboxes of zones.
#ifndef ENDIVEDOOR_CONTROL_DETAIL_ADMISSION_H
#define ENDIVEDOOR_CONTROL_DETAIL_ADMISSION_H

#include "detail/Codec.h"
#include "detail/ConfigManager.h"
#include "detail/Context.h"

#include <deque>

namespace endivedoor::control::detail {

/// Collects commands for up to 20 ms and writes each batch in one transaction.
/// Only one transaction is in flight at a time, so a store outage does not
/// cause a burst of calls.
class Admission {
public:
  Admission(Context &context, ConfigManager &config)
      : Ctx(context), Config(config) {}

  platform::Async<base::JobId> admit(model::JobSpec job);
  platform::Async<void> cancel(base::JobId job);

private:
  /// A command that waits to be written to one or more inboxes.
  struct PendingCommand {
    std::vector<std::pair<base::ZoneId, std::string>> ZoneCommands;
    std::size_t Bytes = 0;
    std::shared_ptr<OneShotEvent> Done;
    std::optional<base::Error> Failure;
  };
  using Batch = std::vector<std::shared_ptr<PendingCommand>>;

  base::Result<void> validate(const model::JobSpec &job) const;
  std::vector<std::pair<base::ZoneId, std::string>>
  route(const model::JobSpec &job) const;
  std::int32_t requiredZoneCount(const model::JobSpec &job) const;
  platform::Async<void>
  submit(std::vector<std::pair<base::ZoneId, std::string>> zoneCommands);
  boost::asio::awaitable<void> flush();
  Batch takeBatch();
  platform::Async<void> write(const Batch &batch);

  Context &Ctx;
  ConfigManager &Config;
  std::deque<std::shared_ptr<PendingCommand>> Queue;
  bool Flushing = false;
};

} // namespace endivedoor::control::detail

#endif
