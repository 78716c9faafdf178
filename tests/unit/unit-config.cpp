// Checks that daemons accept the settings and rules under config/ and that all
// hosts agree on names and addresses.
#include "endivedoor/model/Rules.h"
#include "endivedoor/model/Settings.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

using namespace endivedoor::model;
namespace fs = std::filesystem;

namespace {

const fs::path Folder = ENDIVEDOOR_CONFIG_FOLDER;

std::string read(const fs::path &path) {
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}

std::string list(const std::vector<Diagnostic> &faults) {
  std::string text;
  for (const Diagnostic &it : faults)
    text += it.message() + "\n";
  return text;
}

class ConfigFolder : public testing::TestWithParam<const char *> {
protected:
  std::vector<Settings> all() {
    std::vector<Settings> out;
    for (const auto &it : fs::directory_iterator(Folder / GetParam())) {
      SettingsOutcome one = parseSettings(it.path().filename(), read(it));
      EXPECT_EQ(list(one.Diagnostics), "");
      EXPECT_EQ(it.path().stem(), one.Value.Name);
      out.push_back(one.Value);
    }
    return out;
  }
};

// Fails if the peers of a host list it under a different name or address.
TEST_P(ConfigFolder, SettingsAreValidAndConsistent) {
  std::vector<Settings> hosts = all();
  ASSERT_EQ(hosts.size(), 8u);
  std::map<std::string, const Settings *> byName;
  for (const Settings &it : hosts)
    byName[it.Name] = &it;
  for (const Settings &it : hosts) {
    EXPECT_EQ(it.EntryHosts, 8);
    EXPECT_EQ(it.Peers.size(), 7u);
    EXPECT_EQ(it.Store, hosts[0].Store);
    EXPECT_EQ(it.Zones, hosts[0].Zones);
    for (const PeerSettings &peer : it.Peers) {
      ASSERT_TRUE(byName.contains(peer.Name)) << peer.Name;
      EXPECT_EQ(peer.Peer, byName[peer.Name]->Peer);
      EXPECT_EQ(peer.Operator, byName[peer.Name]->Operators);
      EXPECT_EQ(peer.Zone, byName[peer.Name]->Zone);
    }
  }
}

// Fails if the user's daemons would reject the example rules.
TEST_P(ConfigFolder, RulesAreValid) {
  std::string file = std::string(GetParam()) + ".rules";
  RulesOutcome out = parseRules(file, read(Folder / file), {all().at(0).Zones});
  EXPECT_EQ(list(out.Diagnostics), "");
  EXPECT_GE(out.Value.Rules.size(), 9u);
}

INSTANTIATE_TEST_SUITE_P(Users, ConfigFolder, testing::Values("karoo", "siam"));

} // namespace
