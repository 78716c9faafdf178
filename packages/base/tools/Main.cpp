// Writes errors.md and events.md into the directory given as the argument.
#include "Catalogue.h"

#include <fstream>
#include <iostream>

int main(int argc, char **argv) {
  if (argc != 2) {
    std::cerr << "usage: endivedoor-catalogue DOCS-FOLDER\n";
    return 2;
  }
  std::string folder = argv[1];
  std::ofstream errors(folder + "/errors.md"), events(folder + "/events.md");
  errors << endivedoor::base::tools::errorsPage();
  events << endivedoor::base::tools::eventsPage();
  return errors.flush() && events.flush() ? 0 : 1;
}
