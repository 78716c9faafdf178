/// \file
/// Writes the catalogues of errors and events as Markdown pages.
#ifndef ENDIVEDOOR_BASE_TOOLS_CATALOGUE_H
#define ENDIVEDOOR_BASE_TOOLS_CATALOGUE_H

#include "endivedoor/base/Error.h"
#include "endivedoor/base/Event.h"

#include <string>

namespace endivedoor::base::tools {

/// Returns the text of docs/errors.md.
inline std::string errorsPage() {
  std::string page =
      "# Errors\n\n"
      "Every error has a number. This page is written by "
      "`build/bin/endivedoor-catalogue` from `Errors.def`; a test compares "
      "both.\n";
  for (const ErrorInfo &it : errorCatalogue()) {
    page += "\n## E" + std::to_string(static_cast<int>(it.Code)) + " " +
            std::string(it.Name) + "\n\n";
    page += "- Raised when: " + std::string(it.Cause) + ".\n";
    page += "- Example: `" + Error{it.Code, "detail"}.message() + "`\n";
    page += "- What to do: " + std::string(it.Action) + ".\n";
  }
  return page;
}

/// Returns the text of docs/events.md.
inline std::string eventsPage() {
  constexpr std::string_view names[] = {"info", "warning", "error", "fatal"};
  std::string page =
      "# Events\n\n"
      "Every log event has a number. A line of the log is a list of key=value "
      "pairs: `event`, `name`,\n`text`, `process`, `hlc` (hybrid logical time: "
      "microseconds and counter), then the fields of the\nevent. This page is "
      "written by `build/bin/endivedoor-catalogue` from `Events.def`; a test "
      "compares\nboth.\n";
  for (const EventInfo &it : eventCatalogue()) {
    page += "\n## " + std::to_string(static_cast<int>(it.Code)) + " " +
            std::string(it.Name) + "\n\n";
    page += "- Severity: " +
            std::string(names[static_cast<std::size_t>(it.Level)]) + "\n";
    page += "- Meaning: " + std::string(it.Text) + ".\n";
    page += "- What to do: " + std::string(it.Action) + ".\n";
  }
  return page;
}

} // namespace endivedoor::base::tools

#endif
