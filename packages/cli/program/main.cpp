#include "endivedoor/cli/Cli.h"

#include <iostream>

int main(int argc, char **argv) {
  return static_cast<int>(endivedoor::cli::runOverHttp({argv + 1, argv + argc},
                                                       {std::cout, std::cerr}));
}
