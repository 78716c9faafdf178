#include "detail/Keys.h"

namespace endivedoor::control::detail {

static std::string zeroPadded(std::uint64_t number) {
  std::string text = std::to_string(number);
  return std::string(20 - text.size(), '0') + text;
}

std::string zonePrefix(const base::ZoneId &zone) {
  return "/endivedoor/zones/" + zone.str() + "/";
}
std::string ownerKey(const base::ZoneId &zone) {
  return zonePrefix(zone) + "shards/0/owner";
}
std::string inboxPrefix(const base::ZoneId &zone) {
  return zonePrefix(zone) + "inbox/";
}
std::string segmentPrefix(const base::ZoneId &zone) {
  return zonePrefix(zone) + "shards/0/segments/";
}
std::string segmentKey(const base::ZoneId &zone, std::uint64_t number) {
  return segmentPrefix(zone) + zeroPadded(number);
}
std::string snapshotPrefix(const base::ZoneId &zone) {
  return zonePrefix(zone) + "shards/0/snapshots/";
}
std::string snapshotHeadKey(const base::ZoneId &zone) {
  return zonePrefix(zone) + "shards/0/snapshot";
}
std::string snapshotPartKey(const base::ZoneId &zone, std::uint64_t number,
                            std::size_t part) {
  return snapshotPrefix(zone) + zeroPadded(number) + "/" + zeroPadded(part);
}
std::string reportPrefix(const base::ContractName &contract) {
  return "/endivedoor/report/" + contract.str() + "/";
}
std::string reportKey(const base::ContractName &contract, std::int64_t hour,
                      const base::ZoneId &zone) {
  return reportPrefix(contract) + zeroPadded(static_cast<std::uint64_t>(hour)) +
         "/" + zone.str();
}

} // namespace endivedoor::control::detail
