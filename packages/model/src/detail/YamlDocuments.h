/// \file
/// Looks for a second document in a YAML text.
#ifndef ENDIVEDOOR_MODEL_SRC_DETAIL_YAMLDOCUMENTS_H
#define ENDIVEDOOR_MODEL_SRC_DETAIL_YAMLDOCUMENTS_H

#include <yaml-cpp/mark.h>

#include <optional>
#include <string>

namespace endivedoor::model::detail {

/// Returns where a second document begins, if there is one.
///
/// YAML::LoadAll is not used for this: yaml-cpp 0.7 finds documents without end
/// in the text ",", and LoadAll keeps each of them in memory.
/// Throws YAML::Exception if the text up to there is not valid YAML.
std::optional<YAML::Mark> findSecondDocument(const std::string &text);

} // namespace endivedoor::model::detail

#endif
