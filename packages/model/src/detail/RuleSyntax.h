/// \file
/// Syntax of each rule and its conversion to a value.
#ifndef ENDIVEDOOR_MODEL_SRC_DETAIL_RULESYNTAX_H
#define ENDIVEDOOR_MODEL_SRC_DETAIL_RULESYNTAX_H

#include "endivedoor/model/Rules.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endivedoor::model::detail {

/// A word of a line and its column, counted from 1.
struct Word {
  std::string Text;
  std::size_t Column = 0;
};

/// A word that matched a placeholder of the syntax; Number is set for numeric
/// placeholders only.
struct Capture {
  std::string Text;
  std::int64_t Number = 0;
};

/// The syntax of a rule. A word in angle brackets is a placeholder: "<zone>"
/// matches a known zone, a numeric placeholder matches a number within its
/// range, any other matches a valid name.
struct RuleSyntax {
  std::vector<std::string> Words;
  RuleBody (*Build)(const std::vector<Capture> &captures);
  /// Returns the words separated by spaces.
  std::string str() const;
};

/// A numeric placeholder and its inclusive range.
struct NumberKind {
  std::string_view Name;
  std::optional<std::int64_t> (*Parse)(std::string_view text);
  std::int64_t Min;
  std::int64_t Max;
  std::string_view Description;
  std::string_view RangeText;
};

/// Returns the syntax of every rule; each begins with a different keyword.
const std::vector<RuleSyntax> &ruleSyntaxes();

/// Returns the definition of a numeric placeholder, or nullptr for any other
/// placeholder.
const NumberKind *findNumberKind(std::string_view placeholder);

} // namespace endivedoor::model::detail

#endif
