/// \file
/// Names of the keys in the store.
#ifndef ENDIVEDOOR_CONTROL_DETAIL_KEYS_H
#define ENDIVEDOOR_CONTROL_DETAIL_KEYS_H

#include "endivedoor/base/Ids.h"

#include <cstdint>
#include <string>

namespace endivedoor::control::detail {

inline const std::string ConfigKey = "/endivedoor/config/current";

std::string zonePrefix(const base::ZoneId &zone);
std::string ownerKey(const base::ZoneId &zone);
std::string inboxPrefix(const base::ZoneId &zone);
std::string segmentPrefix(const base::ZoneId &zone);
/// Segment keys sort by segment number.
std::string segmentKey(const base::ZoneId &zone, std::uint64_t number);
std::string snapshotPrefix(const base::ZoneId &zone);
/// Key of the document that identifies the valid snapshot.
std::string snapshotHeadKey(const base::ZoneId &zone);
std::string snapshotPartKey(const base::ZoneId &zone, std::uint64_t number,
                            std::size_t part);
std::string reportPrefix(const base::ContractName &contract);
/// Each zone has its own key for an hour, so the owners of two zones never
/// write the same key.
std::string reportKey(const base::ContractName &contract, std::int64_t hour,
                      const base::ZoneId &zone);

} // namespace endivedoor::control::detail

#endif
