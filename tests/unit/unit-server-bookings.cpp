// Tests that a booking runs at most once despite store faults and repeated
// requests to different daemons.
#include "support/ServerFakes.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace endivedoor::tests {
namespace {

using std::chrono::milliseconds;

struct TwoDaemons {
  asio::io_context Io;
  FaultyStore Store;
  FakeTarget Target{Io, echo};
  EntryHost First{Io, Store, "e1"};
  EntryHost Second{Io, Store, "e2"};

  TwoDaemons() {
    First.addTarget(Target.address());
    Second.addTarget(Target.address());
  }
  static HttpRequest booking(std::string key = "k1", std::string body = "gas") {
    return {"POST", "/s/orders/new", {{"Idempotency-Key", key}}, body};
  }
  /// Waits until the background writes of both daemons have completed.
  void waitForPendingWrites() {
    for (int i = 0; i < 500 && First.Booking.pendingWrites() +
                                   Second.Booking.pendingWrites();
         ++i)
      runFor(Io, milliseconds(10));
    EXPECT_EQ(First.Booking.pendingWrites() + Second.Booking.pendingWrites(),
              0u);
  }
};

struct Bookings : testing::Test, TwoDaemons {};

// Guards against a repeated request that runs again or returns only part of the
// recorded response.
TEST_F(Bookings, RepeatAtAnotherDaemonGetsTheRecordedResponse) {
  Target.MakeResponse = [](const HttpRequest &r) {
    HttpResponse response = echo(r);
    response.Status = 201;
    response.Body = std::string("a\n\0\xff{", 5);
    response.Headers.emplace_back("X-Byte", "\xe9");
    return response;
  };
  HttpResponse one = First.send(booking());
  HttpRequest repeated = booking();
  repeated.Headers.emplace_back("X-Request-Id", "second");
  HttpResponse two = Second.send(repeated);
  EXPECT_EQ(Target.Requests, 1);
  EXPECT_EQ(two.Status, 201u);
  EXPECT_EQ(two.Body, one.Body);
  EXPECT_EQ(outcomeOf(two), "answered");
  EXPECT_EQ(platform::findHeader(two.Headers, "X-Own"), "1");
  EXPECT_EQ(platform::findHeader(two.Headers, "X-Byte"), "\xe9");
  EXPECT_EQ(platform::findHeader(two.Headers, "X-Request-Id"), "second");
  EXPECT_EQ(Second.send(booking("k1", "other")).Status, 422u);
  EXPECT_EQ(Second.send(booking("k2", "other")).Status, 201u);
  HttpRequest otherPath = booking();
  otherPath.Path += "/elsewhere";
  EXPECT_EQ(Second.send(otherPath).Status, 422u);
}

// Guards against two daemons that both acquire the claim of a booking.
TEST_F(Bookings, RaceOfTwoDaemonsRunsOnce) {
  Target.Delay = milliseconds(60);
  std::vector<unsigned> statuses;
  auto sendBooking = [&](EntryHost &host) -> asio::awaitable<void> {
    auto r = co_await host.call(booking());
    statuses.push_back(r.value().Status);
  };
  for (EntryHost *host : {&First, &Second, &First, &Second})
    asio::co_spawn(Io, sendBooking(*host), asio::detached);
  Io.restart();
  while (statuses.size() < 4 && Io.run_one())
    ;
  EXPECT_EQ(Target.Requests, 1);
  EXPECT_EQ(std::ranges::count(statuses, 200u), 1);
  EXPECT_EQ(std::ranges::count(statuses, 409u), 3);
  EXPECT_EQ(Second.send(booking()).Status, 200u);
}

// Guards against a second run after the response to the claim (first write) or
// to the record (second write) is lost.
TEST_F(Bookings, EachLostResponseIsResolved) {
  int n = 0;
  for (Fault fault : {Fault::RequestLost, Fault::ResponseLost, Fault::Delayed})
    for (std::size_t position : {0, 1})
      for (int repeats : {1, 2}) {
        std::string key = "lost-" + std::to_string(++n);
        Store.NextFaults.assign(position, Fault::None);
        Store.NextFaults.insert(Store.NextFaults.end(),
                                static_cast<std::size_t>(repeats), fault);
        EXPECT_EQ(First.send(booking(key)).Status, 200u) << n;
        waitForPendingWrites();
        await(Io, Store.applyDelayed()).value();
        EXPECT_EQ(Second.send(booking(key)).Body, "ran:gas") << n;
        EXPECT_EQ(Target.Requests, n);
      }
}

// Guards against a booking that is sent without a claim, or rejected forever
// because of an abandoned claim.
TEST_F(Bookings, OutageRejectsAndUncertainClaimIsReleased) {
  Store.DefaultFault = Fault::Unavailable;
  HttpResponse r = First.send(booking());
  EXPECT_EQ(r.Status, 503u);
  EXPECT_EQ(outcomeOf(r), "not-run");
  EXPECT_FALSE(platform::findHeader(r.Headers, "Retry-After").empty());

  for (Fault fault :
       {Fault::RequestLost, Fault::ResponseLost, Fault::Delayed}) {
    std::string key = "uncertain-" + std::to_string(static_cast<int>(fault));
    int before = Target.Requests;
    Store.DefaultFault = fault;
    HttpRequest shortDeadlineRequest = booking(key);
    shortDeadlineRequest.Headers.emplace_back("Endivedoor-Deadline-Ms", "100");
    r = First.send(shortDeadlineRequest);
    EXPECT_EQ(outcomeOf(r), "not-run");
    EXPECT_EQ(Target.Requests, before);
    EXPECT_EQ(First.Booking.pendingWrites(), 1u);
    Store.DefaultFault = Fault::None;
    waitForPendingWrites();
    await(Io, Store.applyDelayed()).value();
    EXPECT_EQ(Second.send(booking(key)).Status, 200u);
    EXPECT_EQ(Target.Requests, before + 1);
  }
}

// Guards against a key that stays claimed after a rejection, or is released
// after a run with unknown outcome.
TEST_F(Bookings, RejectionReleasesTheKeyAndUnknownKeepsIt) {
  Target.MakeResponse = rejectNotRun;
  EXPECT_EQ(outcomeOf(First.send(booking())), "not-run");
  EXPECT_EQ(Target.Requests, 1);
  waitForPendingWrites();
  Target.MakeResponse = [](const HttpRequest &) { return HttpResponse{}; };
  EXPECT_EQ(outcomeOf(Second.send(booking())), "unknown");
  EXPECT_EQ(Target.Requests, 2);
  Target.MakeResponse = echo;
  HttpResponse r = First.send(booking());
  EXPECT_EQ(r.Status, 504u);
  EXPECT_EQ(outcomeOf(r), "unknown");
  EXPECT_EQ(Target.Requests, 2);

  // A booking whose response is too large for the store must not run again.
  Target.MakeResponse = [](const HttpRequest &q) {
    HttpResponse response = echo(q);
    response.Body.assign(1024 * 1024, 'x');
    return response;
  };
  EXPECT_EQ(First.send(booking("big")).Body.size(), 1024u * 1024);
  EXPECT_EQ(Second.send(booking("big")).Status, 504u);
  EXPECT_EQ(Target.Requests, 3);
}

// Guards against any sequence of faults, repeats and rejections that runs a
// booking twice or reports a booking that ran as not-run.
RC_GTEST_PROP(BookingProperty, RunsAtMostOnce, ()) {
  TwoDaemons two;
  auto faults = *rc::gen::container<std::vector<Fault>>(
      rc::gen::weightedElement<Fault>({{6, Fault::None},
                                       {1, Fault::Unavailable},
                                       {1, Fault::RequestLost},
                                       {1, Fault::ResponseLost},
                                       {1, Fault::Delayed}}));
  faults.resize(std::min<std::size_t>(faults.size(), 8));
  two.Store.NextFaults.assign(faults.begin(), faults.end());
  auto actions = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
  actions.resize(std::min<std::size_t>(actions.size(), 6));
  int ran = 0;
  bool rejecting = false;
  two.Target.MakeResponse = [&](const HttpRequest &r) {
    if (rejecting)
      return rejectNotRun(r);
    ++ran;
    return echo(r);
  };
  for (int action : actions) {
    if (action == 2)
      await(two.Io, two.Store.applyDelayed()).value();
    rejecting = action == 3;
    int before = ran;
    HttpResponse r =
        (action % 2 ? two.First : two.Second).send(TwoDaemons::booking());
    std::string outcome = outcomeOf(r);
    RC_ASSERT(ran <= 1);
    if (outcome == "not-run")
      RC_ASSERT(ran == before);
    if (outcome == "answered")
      RC_ASSERT(ran == 1);
  }
  // The store has recovered.
  two.Store.NextFaults.clear();
  two.waitForPendingWrites();
  await(two.Io, two.Store.applyDelayed()).value();
  rejecting = false;
  HttpResponse last = two.First.send(TwoDaemons::booking());
  RC_ASSERT(ran == 1);
  RC_ASSERT(last.Body == "ran:gas");
}

} // namespace
} // namespace endivedoor::tests
