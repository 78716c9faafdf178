/// \file
/// Runs an installation on one machine: daemons and stand-ins for the platform
/// as child processes.
#ifndef ENDIVEDOOR_TESTS_HARNESS_CLUSTER_H
#define ENDIVEDOOR_TESTS_HARNESS_CLUSTER_H

#include "harness/Process.h"

#include "endivedoor/base/Ids.h"
#include "endivedoor/model/Worker.h"

#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace endivedoor::harness {

struct ZoneConfig {
  std::string Name;
  int EntryHosts = 2;
  int Workers = 3;
};

struct ClusterConfig {
  std::vector<ZoneConfig> Zones;
  int WorkersPerRack = 8;
  /// First of 1000 ports reserved for this cluster.
  std::uint16_t BasePort = 0;
  /// Delay until host list changes become visible.
  std::chrono::milliseconds HostListLag{1000};
  /// Extra lines for the timing section of every settings file.
  std::string Timing;
  /// Folder of existing settings files; if empty, files are generated. With
  /// existing files, the daemons, the store and the host list use the addresses
  /// given there, and no link can be partitioned.
  std::string SettingsFolder;
};

/// Addresses, settings file and process of one daemon.
struct DaemonInstance {
  std::string Name;
  std::string Zone;
  model::Address Callers;
  model::Address Operators;
  model::Address Peer;
  std::string SettingsFile;
  std::unique_ptr<Process> Child;
};

/// Runs the processes of an installation. Links between zones and to the
/// platform pass through the fault proxy, which can partition them.
class Cluster {
public:
  /// \param folder receives settings, logs and the records of the stand-ins;
  /// its previous contents are removed.
  Cluster(ClusterConfig config, std::string folder);
  ~Cluster();

  /// Starts the stand-ins and all daemons, and waits until every daemon is
  /// ready and every zone's shard has an owner. Returns whether this happened
  /// within \p limit.
  bool start(std::chrono::milliseconds limit = std::chrono::seconds(20));

  void startDaemon(DaemonInstance &daemon);
  std::vector<DaemonInstance> &daemons() { return Daemons; }
  DaemonInstance &daemon(const std::string &name);
  /// Returns the daemon that owns the shard of \p zone, or null.
  DaemonInstance *owner(const std::string &zone);
  std::vector<DaemonInstance *> daemonsOf(const std::string &zone);

  model::Address store() const { return StoreAddress; }
  /// Process that runs all workers of a zone.
  Process &workers(const std::string &zone) { return *Workers.at(zone); }
  model::Address workerAddress(const std::string &zone, int index) const;

  /// Partitions or restores the links between a zone and the platform (store
  /// and host list); \p mode is "both", "forward" (requests) or "backward"
  /// (responses).
  void setPlatformPartition(const std::string &zone, bool cut,
                            const std::string &mode = "both");
  /// Partitions or restores the links from zone \p from to zone \p to; \p mode
  /// is "both", "forward" or "backward".
  void setZonePartition(const std::string &from, const std::string &to,
                        bool cut, const std::string &mode = "both");

  /// Posts to an admin endpoint of the store stand-in.
  boost::json::value storeAdmin(const std::string &path,
                                const std::string &body = "{}");

  /// Returns the records of the stand-ins from files with the name prefix \p
  /// prefix ("workers", "store"), oldest first.
  std::vector<boost::json::object> records(const std::string &prefix) const;

  const std::string &folder() const { return Folder; }

private:
  model::Address address(int offset) const;
  void assignAddresses();
  void readSettings();
  void writeSettings(const DaemonInstance &daemon) const;
  void writeHostList(const std::string &file, const std::string &from) const;
  std::vector<std::string> proxyLinks() const;
  void startStandins();
  void setLinks(const std::function<bool(const std::string &)> &chosen,
                const std::string &body);

  ClusterConfig Config;
  std::string Folder;
  model::Address StoreAddress;
  /// One for each zone; a single one with existing settings files.
  std::vector<model::Address> HostLists;
  std::vector<DaemonInstance> Daemons;
  std::map<std::string, std::unique_ptr<Process>> Workers;
  std::vector<std::unique_ptr<Process>> Standins;
  std::vector<std::string> LinkNames;
};

/// Polls \p condition every 20 ms; returns whether it held before \p limit.
bool waitFor(std::chrono::milliseconds limit,
             const std::function<bool()> &condition);

/// Returns the path of a program of this build, for example "endivedoord".
std::string program(const std::string &name);

} // namespace endivedoor::harness

#endif
