// Checks that the documentation pages list exactly the errors and events in the
// catalogue, and that their numbers are unique and within range.
#include "../../packages/base/tools/Catalogue.h"

#include <gtest/gtest.h>

#include <fstream>
#include <set>
#include <sstream>

using namespace endivedoor::base;

namespace {

std::string readDocs(const std::string &name) {
  std::ifstream file(std::string(ENDIVEDOOR_SOURCE_DIR) + "/docs/" + name);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

TEST(Catalogue, ErrorsPageMatchesCatalogue) {
  EXPECT_EQ(tools::errorsPage(), readDocs("errors.md"));
}

TEST(Catalogue, EventsPageMatchesCatalogue) {
  EXPECT_EQ(tools::eventsPage(), readDocs("events.md"));
}

TEST(Catalogue, NumbersAreUniqueAndInRange) {
  std::set<int> numbers;
  for (const ErrorInfo &it : errorCatalogue()) {
    int n = static_cast<int>(it.Code);
    EXPECT_TRUE(numbers.insert(n).second) << n;
    EXPECT_TRUE(n > 100 && n < 900) << n;
  }
  for (const EventInfo &it : eventCatalogue()) {
    int n = static_cast<int>(it.Code);
    EXPECT_TRUE(numbers.insert(n).second) << n;
    EXPECT_TRUE(n > 1000 && n < 9000) << n;
  }
}

} // namespace
