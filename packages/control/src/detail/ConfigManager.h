/// \file
/// The current configuration and its changes.
#ifndef ENDIVEDOOR_CONTROL_DETAIL_CONFIGMANAGER_H
#define ENDIVEDOOR_CONTROL_DETAIL_CONFIGMANAGER_H

#include "detail/Context.h"

#include <map>

namespace endivedoor::control::detail {

/// The owner of a zone's shard, as last read from the store.
struct ObservedOwner {
  std::string Name;
  std::string Instance;
  base::Epoch Epoch{0};
};

/// Holds the current configuration. Its version never decreases, regardless of
/// the order in which store reads and updates from peers arrive.
class ConfigManager {
public:
  explicit ConfigManager(Context &context) : Ctx(context) {}

  const Configuration &current() const { return Current; }
  const model::RuleSet &rules() const { return Rules; }
  /// Returns whether a zone is out of service, by the list in the configuration
  /// or by a rule.
  bool isZoneOut(const base::ZoneId &zone) const;
  bool isWorkerOut(const base::WorkerId &worker) const;
  /// Returns the zones in service whose shard has an owner, or all zones in
  /// service if none has. In the order of the settings.
  std::vector<base::ZoneId> availableZones() const;
  const std::map<base::ZoneId, ObservedOwner> &owners() const { return Owners; }

  /// Applies \p config if its version is higher. For the current version, adds
  /// the modification revision if it was still unknown.
  void adopt(const Configuration &config);
  /// Applies the value of the configuration key.
  void adopt(const platform::StoreEntry &entry);
  void onChange(std::function<void(const Configuration &)> observer);

  /// Reads the configuration and all shard owners in one call.
  platform::Async<void> poll();
  /// Polls until the daemon stops.
  boost::asio::awaitable<void> run();

  platform::Async<ChangeOutcome>
  putRules(std::string text, std::uint64_t baseVersion, std::string author);
  platform::Async<ChangeOutcome> setZoneOut(base::ZoneId zone, bool out,
                                            std::string author);

private:
  platform::Async<ChangeOutcome> write(Configuration next);
  ChangeOutcome reportConflict(const Configuration &rejected);
  void updateRules();

  Context &Ctx;
  Configuration Current;
  model::RuleSet Rules;
  std::set<base::ZoneId> ZonesOutByRule;
  std::set<base::WorkerId> WorkersOutByRule;
  std::map<base::ZoneId, ObservedOwner> Owners;
  std::function<void(const Configuration &)> Observer;
};

} // namespace endivedoor::control::detail

#endif
