/// \file
/// The form of each rule: its words and how they become a value.
#ifndef ENDIVEDOOR_MODEL_SRC_DETAIL_RULESYNTAX_H
#define ENDIVEDOOR_MODEL_SRC_DETAIL_RULESYNTAX_H

#include "endivedoor/model/Rules.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endivedoor::model::detail {

/// A word of a line and its column, from 1.
struct Word {
  std::string Text;
  std::size_t Column = 0;
};

/// A word that stands for a placeholder of the form; Number is set for number
/// kinds only.
struct Capture {
  std::string Text;
  std::int64_t Number = 0;
};

/// A rule's form. A word in angle brackets is a placeholder: "<zone>" must be
/// known, a number kind must be in range, any other is a name.
struct RuleSyntax {
  std::vector<std::string> Words;
  RuleBody (*Build)(const std::vector<Capture> &captures);
  /// Returns the words separated by spaces.
  std::string str() const;
};

/// A placeholder that holds a number, its range included at both ends.
struct NumberKind {
  std::string_view Name;
  std::optional<std::int64_t> (*Parse)(std::string_view text);
  std::int64_t Min;
  std::int64_t Max;
  std::string_view Description;
  std::string_view RangeText;
};

/// Returns all rules' forms; the first word of each is different.
const std::vector<RuleSyntax> &ruleSyntaxes();

/// Returns the number kind of a placeholder, or nothing if it is not one.
const NumberKind *findNumberKind(std::string_view placeholder);

} // namespace endivedoor::model::detail

#endif
