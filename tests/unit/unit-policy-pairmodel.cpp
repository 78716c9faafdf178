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
    model.observe("s", 15 * harmful,
                  {{"harmful", harmful}, {"harmless", harmless}});
  }
  EXPECT_NEAR(model.slope("s", "harmful"), 15, 1);
  EXPECT_LT(model.slope("s", "harmless"), 0.5);
  EXPECT_TRUE(model.isKnown("s", "harmful"));
}

TEST(ColocationModel, WithoutFillers_NothingIsKnown) {
  ColocationModel model;
  model.observe("s", 0.5, {});
  EXPECT_EQ(model.slope("s", "new"), 0);
  EXPECT_FALSE(model.isKnown("s", "new"));
  EXPECT_TRUE(model.fillerImages().empty());
}

// 30 fillers and 16 services are 480 pairs. If each unseen pair counted as
// harmless, fillers would be tried beside every service in turn.
TEST(ColocationModel, UnseenPair_TakesWhatTheFillerDoesToOtherServices) {
  ColocationModel model;
  for (int i = 0; i < 400; ++i)
    for (double sensitivity : {0.8, 1.0, 1.2})
      model.observe("s" + std::to_string(sensitivity),
                    sensitivity * (10 * 0.02 * (i % 5) + 1 * 0.02 * (i % 3)),
                    {{"heavy", 0.02 * (i % 5)}, {"light", 0.02 * (i % 3)}});
  EXPECT_GT(model.slope("new", "heavy"), 6);
  EXPECT_LT(model.slope("new", "light"), 4);
  // A filler that was never seen counts as the mean of the others.
  EXPECT_GT(model.slope("new", "unseen"), model.slope("new", "light"));
  EXPECT_LT(model.slope("new", "unseen"), model.slope("new", "heavy"));
  EXPECT_GT(model.cautiousSlope("new", "heavy"), model.slope("new", "heavy"));
}

// Fillers hurt a new service as much as its first measured pairs suggest.
TEST(ColocationModel, UnseenPair_TakesTheSensitivityOfTheService) {
  ColocationModel model;
  auto measure = [&](const char *serving, const char *filler, double slope) {
    for (int i = 0; i < 200; ++i)
      model.observe(serving, slope * 0.02 * (i % 5),
                    {{filler, 0.02 * (i % 5)}});
  };
  for (const char *filler : {"f1", "f2", "f3"}) {
    measure("robust", filler, 2);
    measure("fragile", filler, 14);
  }
  measure("other", "f4", 8);
  measure("robust", "f1", 2);
  measure("fragile", "f1", 14);
  EXPECT_GT(model.slope("fragile", "f4"), 1.5 * model.slope("robust", "f4"));
}

// What a pair was measured to do goes before what is expected of it.
TEST(ColocationModel, MeasuredPair_OverridesTheExpectation) {
  ColocationModel model;
  for (int i = 0; i < 400; ++i) {
    model.observe("s1", 20 * 0.02 * (i % 5), {{"f", 0.02 * (i % 5)}});
    model.observe("immune", 0, {{"f", 0.02 * (i % 5)}});
  }
  EXPECT_LT(model.slope("immune", "f"), 1);
  EXPECT_NEAR(model.slope("s1", "f"), 20, 2);
}

TEST(ColocationModel, OneStall_DoesNotOutweighTheRest) {
  ColocationModel model;
  for (int i = 0; i < 40; ++i)
    model.observe("s", 0.5, {{"f", 0.1}});
  model.observe("s", 100000, {{"f", 0.1}});
  for (int i = 0; i < 16; ++i)
    model.observe("s", 0.5, {{"f", 0.1}});
  EXPECT_LT(0.1 * model.slope("s", "f"), 0.65);
}

// A new owner of a shard must start from the learned model; without it, it
// places fillers where they slow services until it has relearned.
TEST(ColocationModel, ImportedStatistics_TransferLearnedValues) {
  ColocationModel model;
  for (int i = 0; i < 200; ++i)
    model.observe("desk", 20 * 0.01 * (i % 10) + 2 * 0.01 * (i % 7),
                  {{"heavy", 0.01 * (i % 10)}, {"light", 0.01 * (i % 7)}});
  ColocationModel successor;
  successor.importStatistics(model.statistics());
  EXPECT_NEAR(successor.slope("desk", "heavy"), model.slope("desk", "heavy"),
              0.5);
  EXPECT_TRUE(successor.isKnown("desk", "heavy"));
  // Values that the successor has learned itself are kept.
  successor.observe("other", 0, {});
  successor.importStatistics({{"other", {"x"}, {{1, 0}, {0, 1}}, {1, 1}}});
  EXPECT_FALSE(successor.isKnown("other", "x"));
}

/// A model that has measured one filler beside one service.
static ColocationModel measuredModel(const std::string &serving, double slope,
                                     int measurements = 400) {
  ColocationModel model;
  for (int i = 0; i < measurements; ++i)
    model.observe(serving, slope * 0.02 * (i % 5), {{"f", 0.02 * (i % 5)}});
  return model;
}

// Each of eight shards learned 480 pairs alone although all measure the same
// programs.
TEST(ColocationModel, PeerStatistics_AreUsedButNotPublishedAgain) {
  ColocationModel model;
  model.setPeerStatistics(3, measuredModel("desk", 10).statistics());
  EXPECT_NEAR(model.slope("desk", "f"), 10, 1);
  EXPECT_TRUE(model.isKnown("desk", "f"));
  EXPECT_TRUE(model.statistics().empty());
  for (int i = 0; i < 16; ++i)
    model.observe("desk", 0, {{"g", 0.01}});
  ASSERT_EQ(model.statistics().size(), 1u);
  EXPECT_LE(model.statistics()[0].NormalMatrix[0][0], 16);
}

TEST(ColocationModel, PeerStatistics_ReplaceTheEarlierOnesOfTheShard) {
  ColocationModel model;
  model.setPeerStatistics(3, measuredModel("desk", 30).statistics());
  model.setPeerStatistics(3, measuredModel("desk", 10).statistics());
  EXPECT_NEAR(model.slope("desk", "f"), 10, 1);
}

// A shard that publishes nonsense must not outweigh the others.
TEST(ColocationModel, ImplausiblePeerStatistics_AreIgnored) {
  ColocationModel model = measuredModel("desk", 10);
  model.setPeerStatistics(3, {{"desk", {"f"}, {{1e9, 1e9}, {1e9, 1e9}}, {1, 1}},
                              {"desk", {"f"}, {{-1, 0}, {0, 1}}, {1, 1}},
                              {"desk", {"f", "f"}, {{1}}, {1}}});
  EXPECT_NEAR(model.slope("desk", "f"), 10, 1);
}

TEST(ColocationModel, StatisticsOfMismatchedSizes_AreIgnored) {
  ColocationModel model;
  model.importStatistics({{"desk", {"x"}, {{1}}, {1, 1}},
                          {"till", {}, {{1}, {1}}, {1}},
                          {"door", {"x"}, {{1, 0}, {0}}, {1, 1}}});
  EXPECT_TRUE(model.fillerImages().empty());
  EXPECT_FALSE(model.isKnown("desk", "x") || model.isKnown("door", "x"));
}

} // namespace
