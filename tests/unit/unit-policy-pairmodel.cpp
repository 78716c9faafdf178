// Checks the interference model behind the placement of filler programs: a
// program that slows a service must be distinguished from programs that ran on
// the same worker at the time.
#include "endivedoor/policy/ColocationModel.h"

#include <gtest/gtest.h>

using endivedoor::policy::ColocationModel;

namespace {

TEST(ColocationModel, HarmfulProgram_IsDistinguishedFromColocatedOnes) {
  ColocationModel model;
  for (int i = 0; i < 200; ++i) {
    double harmful = (i % 5) * 0.05, harmless = (i % 3) * 0.1;
    model.observe("s", 8 + 200 * harmful,
                  {{"harmful", harmful}, {"harmless", harmless}});
  }
  EXPECT_NEAR(model.slope("s", "harmful"), 200, 20);
  EXPECT_LT(model.slope("s", "harmless"), 10);
  EXPECT_NEAR(model.base("s"), 8, 1.5);
  EXPECT_TRUE(model.isKnown("s", "harmful"));
}

TEST(ColocationModel, WithoutFillers_NothingIsKnown) {
  ColocationModel model;
  model.observe("s", 9, {});
  EXPECT_EQ(model.slope("s", "new"), 0);
  EXPECT_FALSE(model.isKnown("s", "new"));
  EXPECT_EQ(model.base("other"), 0);
}

// 30 fillers and 16 services are 480 pairs. If each unseen pair counted as
// harmless, fillers would be tried beside every service in turn.
TEST(ColocationModel, UnseenPair_TakesWhatTheFillerDoesToOtherServices) {
  ColocationModel model;
  for (int i = 0; i < 400; ++i)
    for (double base : {4.0, 6.0, 8.0})
      model.observe("s" + std::to_string(static_cast<int>(base)),
                    base * (1 + 10 * 0.02 * (i % 5) + 1 * 0.02 * (i % 3)),
                    {{"heavy", 0.02 * (i % 5)}, {"light", 0.02 * (i % 3)}});
  for (int i = 0; i < 16; ++i)
    model.observe("new", 5, {});
  EXPECT_GT(model.slope("new", "heavy"), 25);
  EXPECT_LT(model.slope("new", "light"), 15);
  // A filler that was never seen counts as the mean of the others.
  EXPECT_GT(model.slope("new", "unseen"), model.slope("new", "light"));
  EXPECT_LT(model.slope("new", "unseen"), model.slope("new", "heavy"));
}

// What a pair was measured to do goes before what is expected of it.
TEST(ColocationModel, MeasuredPair_OverridesTheExpectation) {
  ColocationModel model;
  for (int i = 0; i < 400; ++i) {
    model.observe("s1", 4 * (1 + 20 * 0.02 * (i % 5)), {{"f", 0.02 * (i % 5)}});
    model.observe("immune", 4, {{"f", 0.02 * (i % 5)}});
  }
  EXPECT_LT(model.slope("immune", "f"), 4);
  EXPECT_NEAR(model.slope("s1", "f"), 80, 8);
}

TEST(ColocationModel, OneStall_DoesNotOutweighTheRest) {
  ColocationModel model;
  for (int i = 0; i < 40; ++i)
    model.observe("s", 10, {{"f", 0.1}});
  model.observe("s", 100000, {{"f", 0.1}});
  for (int i = 0; i < 16; ++i)
    model.observe("s", 10, {{"f", 0.1}});
  EXPECT_LT(model.base("s") + 0.1 * model.slope("s", "f"), 13);
}

// A new owner of a shard must start from the learned model; without it, it
// places fillers where they slow services until it has relearned.
TEST(ColocationModel, ImportedStatistics_TransferLearnedValues) {
  ColocationModel model;
  for (int i = 0; i < 200; ++i)
    model.observe("desk", 5 + 40 * 0.01 * (i % 10) + 3 * 0.01 * (i % 7),
                  {{"heavy", 0.01 * (i % 10)}, {"light", 0.01 * (i % 7)}});
  ColocationModel successor;
  successor.importStatistics(model.statistics());
  EXPECT_NEAR(successor.slope("desk", "heavy"), model.slope("desk", "heavy"),
              2);
  EXPECT_NEAR(successor.base("desk"), model.base("desk"), 0.2);
  EXPECT_TRUE(successor.isKnown("desk", "heavy"));
  // Values that the successor has learned itself are kept.
  successor.observe("other", 7, {});
  successor.importStatistics({{"other", {"x"}, {{1, 0}, {0, 1}}, {1, 1}}});
  EXPECT_NEAR(successor.base("other"), 7, 0.1);
}

/// A model that has measured one filler beside one service.
static ColocationModel measuredModel(const std::string &serving, double slope,
                                     int measurements = 400) {
  ColocationModel model;
  for (int i = 0; i < measurements; ++i)
    model.observe(serving, 5 + slope * 0.02 * (i % 5), {{"f", 0.02 * (i % 5)}});
  return model;
}

// Each of eight shards learned 480 pairs alone although all measure the same
// programs.
TEST(ColocationModel, PeerStatistics_AreUsedButNotPublishedAgain) {
  ColocationModel model;
  model.setPeerStatistics(3, measuredModel("desk", 100).statistics());
  EXPECT_NEAR(model.slope("desk", "f"), 100, 10);
  EXPECT_TRUE(model.isKnown("desk", "f"));
  EXPECT_TRUE(model.statistics().empty());
  for (int i = 0; i < 16; ++i)
    model.observe("desk", 5, {{"g", 0.01}});
  ASSERT_EQ(model.statistics().size(), 1u);
  EXPECT_LE(model.statistics()[0].NormalMatrix[0][0], 16);
}

TEST(ColocationModel, PeerStatistics_ReplaceTheEarlierOnesOfTheShard) {
  ColocationModel model;
  model.setPeerStatistics(3, measuredModel("desk", 300).statistics());
  model.setPeerStatistics(3, measuredModel("desk", 100).statistics());
  EXPECT_NEAR(model.slope("desk", "f"), 100, 10);
}

// A shard that publishes nonsense must not outweigh the others.
TEST(ColocationModel, ImplausiblePeerStatistics_AreIgnored) {
  ColocationModel model = measuredModel("desk", 100);
  model.setPeerStatistics(3, {{"desk", {"f"}, {{1e9, 1e9}, {1e9, 1e9}}, {1, 1}},
                              {"desk", {"f"}, {{-1, 0}, {0, 1}}, {1, 1}},
                              {"desk", {"f", "f"}, {{1}}, {1}}});
  EXPECT_NEAR(model.slope("desk", "f"), 100, 10);
}

TEST(ColocationModel, StatisticsOfMismatchedSizes_AreIgnored) {
  ColocationModel model;
  model.importStatistics({{"desk", {"x"}, {{1}}, {1, 1}},
                          {"till", {}, {{1}, {1}}, {1}},
                          {"door", {"x"}, {{1, 0}, {0}}, {1, 1}}});
  EXPECT_EQ(model.base("desk") + model.base("till") + model.base("door"), 0);
}

} // namespace
