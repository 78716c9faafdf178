// Tests rule validation: a rule that cannot be satisfied, or that names no
// customer, must be rejected with its position before it takes effect.
#include "endivedoor/model/Rules.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>
#include <sstream>

using namespace endivedoor;
using namespace endivedoor::model;
using base::Errc;
using namespace std::chrono_literals;

namespace {

const RuleScope Scope{{base::ZoneId("germiston"), base::ZoneId("midrand"),
                       base::ZoneId("vereeniging")}};

const std::string Example =
    R"(at-least 2 zones service orders            # mabena: wards must stay supplied when a zone leaves
spread racks service orders max 2          # mabena: a rack fault must leave most of the desk up
reserve 25% zone germiston                 # karoo: room for morning peaks
quota team planning slots 40               # karoo: planning must not crowd out delivery runs

# A line that holds only a comment.
separate class sampling service orders     # karoo: sampling doubles order latency
latency service orders p95 250ms           # mabena: clinics wait on the phone
deadline class term-batch 2h               # siam-schools: term starts on Monday
zone-out midrand                           # karoo: power work
worker-out g-07                            # karoo: failing fans
)";

std::string formatDiagnostics(const std::string &text,
                              const RuleScope &scope = Scope) {
  std::string all;
  for (const Diagnostic &it : parseRules("r", text, scope).Diagnostics)
    all += it.message() + "\n";
  return all;
}

// The parser must accept every rule form of the design page.
TEST(Rules, DesignPageExampleIsParsed) {
  RulesOutcome out = parseRules("r", Example, Scope);
  ASSERT_EQ(formatDiagnostics(Example), "");
  ASSERT_EQ(out.Value.Rules.size(), 9u);
  const auto &rules = out.Value.Rules;
  EXPECT_EQ(std::get<AtLeastZones>(rules[0].Body).Zones, 2);
  EXPECT_EQ(std::get<SpreadRacks>(rules[1].Body).MaxPerRack, 2);
  EXPECT_EQ(std::get<ReserveShare>(rules[2].Body).Percent, 25);
  EXPECT_EQ(std::get<TeamQuota>(rules[3].Body).Slots, 40);
  EXPECT_EQ(std::get<SeparateClass>(rules[4].Body).Class.str(), "sampling");
  EXPECT_EQ(std::get<LatencyTarget>(rules[5].Body).P95, 250ms);
  EXPECT_EQ(std::get<ClassDeadline>(rules[6].Body).MaxDuration, 2h);
  EXPECT_EQ(std::get<ZoneOut>(rules[7].Body).Zone.str(), "midrand");
  EXPECT_EQ(std::get<WorkerOut>(rules[8].Body).Worker.str(), "g-07");
  EXPECT_EQ(rules[4].Line, 7u);
  EXPECT_EQ(rules[0].Text, "at-least 2 zones service orders");
  EXPECT_EQ(rules[0].Contract.str(), "mabena");
  EXPECT_EQ(rules[0].Reason, "wards must stay supplied when a zone leaves");
}

// All errors must be reported in one pass, each with its position.
TEST(Rules, AllErrorsAreReportedAtOnceInOrder) {
  EXPECT_EQ(formatDiagnostics("at-lest 2 zones service orders # a: b\n"
                              "zone-out midran\n"
                              "reserve 101% zone germistn # karoo: x\n"
                              "quota team planning slot 4 5 # karoo: x\n"
                              "latency service orders p95 # karoo: x\n"
                              "latency service orders p95 250 # : why\n"
                              "zone-out midrand # karoo\n"
                              "zone-out\x01\n"),
            "r:1:1: E221 unknown rule \"at-lest\"; did you mean \"at-least\"?\n"
            "r:2:16: E222 the rule has no comment; end the line with \"# WHO: "
            "WHY\", where WHO is the contract's name\n"
            "r:2:10: E225 zone \"midran\" is not known; did you mean "
            "\"midrand\"?\n"
            "r:3:9: E224 \"101%\" is out of range; use 0% to 100%\n"
            "r:3:19: E225 zone \"germistn\" is not known; did you mean "
            "\"germiston\"?\n"
            "r:4:21: E223 \"slot\" where \"slots\" is expected; write \"quota "
            "team <team> slots <slots>\"\n"
            "r:4:28: E223 extra word \"5\"; write \"quota team <team> slots "
            "<slots>\"\n"
            "r:5:27: E223 \"<p95>\" is missing; write \"latency service "
            "<service> p95 <p95>\"\n"
            "r:6:32: E222 the comment does not say who asked; end the line "
            "with \"# WHO: WHY\", where WHO is the contract's name\n"
            "r:6:28: E223 \"250\" is not a duration such as 250ms; use 1ms to "
            "10m\n"
            "r:7:18: E222 the comment does not say why; end the line with \"# "
            "WHO: WHY\", where WHO is the contract's name\n"
            "r:8:9: E229 a control character; remove it\n");
}

struct RelationCase {
  std::string Text;
  std::string Fault;
};

// Rules that cannot all be satisfied must be rejected.
TEST(Rules, ContradictionsAndImpossibleTargetsAreRejected) {
  const RelationCase cases[] = {
      {"quota team t slots 1 # a: x\nquota team t slots 2 # b: y\n",
       "r:2: E226"},
      {"quota team t slots 1 # a: x\nquota team t slots 1 # a: y\n",
       "r:2: E228"},
      {"at-least 4 zones service s # a: x\n", "r:1: E227"},
      {"at-least 3 zones service s # a: x\nzone-out midrand # b: y\n",
       "r:1: E226"},
      {"zone-out midrand # a: x\nzone-out germiston # a: x\n"
       "zone-out vereeniging # a: x\n",
       "r:3: E227"},
      {"latency service s p95 0ms # a: x\n", "r:1:23: E224"},
      {"deadline class c 99999h # a: x\n", "r:1:18: E224"},
      {"quota team t slots -1 # a: x\n", "r:1:20: E223"},
      {"quota team t slots 99999999999 # a: x\n", "r:1:20: E224"},
      {"at-least 1 zones service a/b # a: x\n", "r:1:26: E223"},
  };
  for (const RelationCase &it : cases)
    EXPECT_EQ(formatDiagnostics(it.Text).substr(0, it.Fault.size()), it.Fault)
        << it.Text;
}

// A customer's rule must not be rejected because another customer has the same.
TEST(Rules, SameRuleOfTwoContractsIsAccepted) {
  EXPECT_EQ(formatDiagnostics("latency service s p95 1s # a: x\n"
                              "latency service s p95 1s # b: y\r\n"),
            "");
}

RC_GTEST_PROP(Rules, AnyTextIsHandled, (const std::string &text)) {
  for (const Diagnostic &it : parseRules("r", text, Scope).Diagnostics)
    RC_ASSERT(it.Line > 0u);
}

// Every non-empty line must yield a rule or a diagnostic.
RC_GTEST_PROP(Rules, EveryMutatedLineYieldsRuleOrDiagnostic, ()) {
  std::string text = Example;
  for (int i = *rc::gen::inRange(1, 6); i > 0; --i)
    text[*rc::gen::inRange<std::size_t>(0, text.size())] =
        *rc::gen::element('\0', ' ', '#', ':', '%', '\r', '9', '\t', '-');
  RulesOutcome out = parseRules("r", text, Scope);
  std::set<std::size_t> seen;
  for (const Diagnostic &it : out.Diagnostics)
    seen.insert(it.Line);
  for (const Rule &it : out.Value.Rules)
    seen.insert(it.Line);
  std::size_t number = 0;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    ++number;
    auto word = line.find_first_not_of(" \t\r");
    if (word != std::string::npos && line[word] != '#')
      RC_ASSERT(seen.contains(number));
  }
}

} // namespace
