// Compares schedulers on the same seeded input; see docs/policy.md.
#include "Report.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <fstream>
#include <iostream>
#include <map>

ABSL_FLAG(std::string, load, "karoo", "karoo, siam, design or short");
ABSL_FLAG(std::uint64_t, seeds, 10, "number of seeds, from 1");
ABSL_FLAG(std::uint64_t, threads, 4, "number of runs at the same time");
ABSL_FLAG(std::string, only, "",
          "names of schedulers separated by commas; all if empty");
ABSL_FLAG(std::string, out, "",
          "prefix of the .md, .csv and .gp files; none are written if empty");

using namespace endivedoor::experiment;

static std::vector<Variant> chosenVariants() {
  std::vector<Variant> all = allVariants();
  std::string only = "," + absl::GetFlag(FLAGS_only) + ",";
  if (only != ",,")
    std::erase_if(all, [&](const Variant &it) {
      return only.find("," + it.Name + ",") == std::string::npos;
    });
  return all;
}

int main(int argc, char **argv) {
  absl::SetProgramUsageMessage("compares schedulers on the same seeded input");
  absl::ParseCommandLine(argc, argv);
  const std::map<std::string, LoadFactory> loads = {{"karoo", karoo},
                                                    {"siam", siam},
                                                    {"design", designZone},
                                                    {"short", shortLoad}};
  std::string load = absl::GetFlag(FLAGS_load);
  auto it = loads.find(load);
  if (it == loads.end()) {
    std::cerr << "unknown load " << load << "\n";
    return 1;
  }
  std::vector<Row> rows =
      runAll(it->second, chosenVariants(), absl::GetFlag(FLAGS_seeds),
             absl::GetFlag(FLAGS_threads));
  std::cout << markdownOf(rows);
  std::string out = absl::GetFlag(FLAGS_out);
  if (out.empty())
    return 0;
  std::ofstream(out + ".md") << markdownOf(rows);
  std::ofstream(out + ".csv") << csvOf(load, rows);
  std::ofstream(out + ".gp") << gnuplotOf(load, rows);
  return 0;
}
