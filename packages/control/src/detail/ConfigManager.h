/// \file
/// The configuration in force and its changes.
#ifndef ENDIVEDOOR_CONTROL_DETAIL_CONFIGMANAGER_H
#define ENDIVEDOOR_CONTROL_DETAIL_CONFIGMANAGER_H

#include "detail/Context.h"

#include <map>

namespace endivedoor::control::detail {

/// Who owns a zone's shard, as last read from the store.
struct ObservedOwner {
  std::string Name;
  std::string Instance;
  base::Epoch Epoch{0};
};

/// Holds the configuration in force. It only ever moves to a higher version,
/// whatever the order in which reads and offers arrive.
class ConfigManager {
public:
  explicit ConfigManager(Context &context) : Ctx(context) {}

  const Configuration &current() const { return Current; }
  const model::RuleSet &rules() const { return Rules; }
  /// Returns whether a zone is out by the configuration or by a rule.
  bool isZoneOut(const base::ZoneId &zone) const;
  bool isWorkerOut(const base::WorkerId &worker) const;
  /// Returns the zones that are in: those whose shard has an owner, or all of
  /// them if none has. In the order of the settings.
  std::vector<base::ZoneId> availableZones() const;
  const std::map<base::ZoneId, ObservedOwner> &owners() const { return Owners; }

  /// Takes over \p config if its version is higher; completes the mod revision
  /// of the same version.
  void adopt(const Configuration &config);
  /// Takes over the value of the configuration's key.
  void adopt(const platform::StoreEntry &entry);
  void onChange(std::function<void(const Configuration &)> observer);

  /// Reads the configuration and all owners in one call.
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
