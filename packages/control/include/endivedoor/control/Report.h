/// \file
/// Hourly counters of rule checks, for the report to customers.
#ifndef ENDIVEDOOR_CONTROL_REPORT_H
#define ENDIVEDOOR_CONTROL_REPORT_H

#include "endivedoor/base/Ids.h"

#include <cstdint>
#include <string>

namespace endivedoor::control {

/// Compliance with one rule in one zone during one hour. Rules about states are
/// checked once a second; rules about deadlines once for each job that ends.
struct ReportRow {
  base::ContractName Contract;
  /// Hours since 1970-01-01 00:00 UTC.
  std::int64_t Hour = 0;
  base::ZoneId Zone;
  /// The rule's text without its comment.
  std::string Rule;
  /// Why the customer asked for the rule.
  std::string Reason;
  /// Number of checks that found the rule satisfied.
  std::uint64_t Kept = 0;
  /// Number of checks that found the rule violated.
  std::uint64_t Violated = 0;
  /// Description of the worst violation; empty if there was none.
  std::string Worst;
};

} // namespace endivedoor::control

#endif
