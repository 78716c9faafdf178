/// \file
/// Consistency checks across the rules of one file.
#ifndef ENDIVEDOOR_MODEL_SRC_DETAIL_RULECHECKS_H
#define ENDIVEDOOR_MODEL_SRC_DETAIL_RULECHECKS_H

#include "endivedoor/model/Rules.h"

#include <string>
#include <vector>

namespace endivedoor::model::detail {

/// Reports each rule that duplicates or contradicts an earlier one, and each
/// that can never be satisfied.
void checkRules(const std::string &file, const RuleSet &rules,
                const RuleScope &scope, std::vector<Diagnostic> &diagnostics);

} // namespace endivedoor::model::detail

#endif
