// Tests the command line: an invalid command must change nothing, a conflicting
// update must be shown, an unknown outcome must not be reported as success or
// rejection, and the timeline must preserve causal order.
#include "endivedoor/cli/Cli.h"
#include "endivedoor/cli/detail/Arguments.h"
#include "endivedoor/cli/detail/LineDiff.h"
#include "endivedoor/cli/detail/Table.h"
#include "endivedoor/cli/detail/Timeline.h"
#include "endivedoor/platform/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <fstream>
#include <functional>
#include <iterator>
#include <set>
#include <sstream>
#include <thread>

using namespace endivedoor;
using namespace endivedoor::cli;
using namespace endivedoor::cli::detail;
using namespace std::chrono_literals;

namespace {

const std::string FirstDaemon = "--daemon=127.0.0.1:1",
                  SecondDaemon = "--daemon=127.0.0.1:2",
                  ReasonFlag = "--reason=power work";

/// A DaemonClient whose responses come from the handler of each test.
class FakeDaemons : public DaemonClient {
public:
  using Response = base::Result<platform::HttpResponse>;
  Response send(const model::Address &to, platform::HttpRequest request,
                std::chrono::milliseconds) override {
    Log.push_back(std::to_string(to.Port) + " " + request.Method + " " +
                  request.Path);
    Bodies.push_back(request.Body);
    return Handler(to.Port, request);
  }
  void sleep(std::chrono::milliseconds time) override { Clock.advance(time); }

  std::function<Response(int port, const platform::HttpRequest &)> Handler;
  std::vector<std::string> Log, Bodies;
  base::ManualClock Clock;
};

FakeDaemons::Response jsonResponse(unsigned status, const std::string &text) {
  return platform::HttpResponse{status, {}, text};
}
FakeDaemons::Response notSent() {
  return base::fail(base::Errc::HttpNotSent, "refused");
}
FakeDaemons::Response answerLost() {
  return base::fail(base::Errc::HttpAnswerLost, "reset");
}

class CommandLine : public testing::Test {
protected:
  ExitCode call(const std::vector<std::string> &args) {
    Out.str("");
    Err.str("");
    Daemons.Log.clear();
    return run(args, {Out, Err}, Daemons, Daemons.Clock);
  }
  std::string writeTempFile(const std::string &text) {
    std::string path =
        testing::TempDir() + "unit-cli-" +
        testing::UnitTest::GetInstance()->current_test_info()->name();
    std::ofstream(path) << text;
    return path;
  }
  FakeDaemons Daemons;
  std::ostringstream Out, Err;
};

// A mistyped command or flag must be reported before any request is sent.
TEST_F(CommandLine, InvalidUsageIsRejectedBeforeAnyRequest) {
  const std::pair<std::vector<std::string>, std::string> cases[] = {
      {{}, "no command"},
      {{"zone", "uot", "x", FirstDaemon}, "did you mean \"zone out\""},
      {{"zones", "--deamon=127.0.0.1:1"}, "did you mean \"daemon\""},
      {{"zones"}, "--daemon=ip:port"},
      {{"zones", "--daemon=localhost:1"}, "numeric IPv4"},
      {{"zones", "--daemon"}, "no value"},
      {{"zones", "extra", FirstDaemon}, "extra argument"},
      {{"zones", "--reason=x", FirstDaemon}, "unknown flag"},
      {{"zones", "--output=xml", FirstDaemon}, "use one of text, json"},
      {{"zones", "--timeout=5", FirstDaemon}, "duration"},
      {{"zone", "out", FirstDaemon}, "NAME is missing"},
      {{"zone", "out", "a/b", FirstDaemon}, "not a zone name"},
      {{"rules", "apply", "f", "--base-version=x", FirstDaemon},
       "whole number"},
      {{"zone", "out", "m", FirstDaemon}, "--reason"},
      {{"report", FirstDaemon}, "--contract"},
      {{"job", "cancel", "../x", FirstDaemon}, "not a job id"},
      {{"zones", "--settings=/nonexistent"}, "could not be read"},
  };
  for (const auto &[args, text] : cases) {
    EXPECT_EQ(call(args), ExitCode::UsageError) << text;
    EXPECT_NE(Err.str().find(text), std::string::npos) << Err.str();
    EXPECT_TRUE(Daemons.Log.empty()) << text;
  }
}

// Every command must have help with examples and exit status.
TEST_F(CommandLine, EveryCommandHasHelpWithExamples) {
  EXPECT_EQ(call({"--help"}), ExitCode::Success);
  std::string all = Out.str();
  for (const char *it :
       {"rules check", "rules apply", "rules show", "zones", "zone out",
        "zone in", "workers", "jobs", "job show", "job submit", "job cancel",
        "members", "timeline", "report", "status", "wait ready"}) {
    EXPECT_NE(all.find(it), std::string::npos) << it;
    std::istringstream words(it);
    std::vector<std::string> args{std::istream_iterator<std::string>(words),
                                  {}};
    args.push_back("--help");
    EXPECT_EQ(call(args), ExitCode::Success);
    EXPECT_NE(Out.str().find("Examples:\n  endivedoor " + std::string(it)),
              std::string::npos)
        << Out.str();
    EXPECT_NE(Out.str().find("Exit status"), std::string::npos);
  }
}

// Flags of one parse must not carry over to the next.
TEST(Arguments, RepeatedFlagsAccumulateAndDefaultsAreRestored) {
  auto first = parseArguments({"timeline", FirstDaemon, "--daemon",
                               "127.0.0.1:2", "--job=j-1", "--output=trace"});
  ASSERT_TRUE(first) << first.error().message();
  EXPECT_EQ(first.value().Flags.Daemons.size(), 2u);
  EXPECT_EQ(first.value().Flags.Job, "j-1");
  auto second = parseArguments({"timeline", FirstDaemon});
  EXPECT_EQ(second.value().Flags.Daemons.size(), 1u);
  EXPECT_EQ(second.value().Flags.Job, "");
  EXPECT_EQ(second.value().Flags.OutputFormat, "text");
}

// An unreachable daemon must not prevent a request to the next one.
TEST_F(CommandLine, NextDaemonIsTriedAndAllUnreachableIsReported) {
  Daemons.Handler = [](int port, auto &) {
    return port == 1
               ? notSent()
               : jsonResponse(200, R"({"zones":[{"zone":"midrand","out":true,
                                     "owner":"m-1","epoch":7}]})");
  };
  EXPECT_EQ(call({"zones", FirstDaemon, SecondDaemon}), ExitCode::Success);
  EXPECT_EQ(Out.str(), "ZONE     OUT  OWNER  EPOCH\n"
                       "midrand  yes  m-1    7\n");
  EXPECT_EQ(call({"zones", FirstDaemon, FirstDaemon}), ExitCode::Unreachable);
  EXPECT_EQ(call({"zones", SecondDaemon, "--output=json"}), ExitCode::Success);
  EXPECT_EQ(boost::json::parse(Out.str()).at("zones").at(0).at("epoch"), 7);
}

// A change whose response is lost must be reported as unknown and not retried.
TEST_F(CommandLine, LostResponseToAChangeIsUnknownAndNotRetried) {
  std::string job = writeTempFile(R"({"name":"x"})");
  Daemons.Handler = [](int, auto &) { return answerLost(); };
  EXPECT_EQ(call({"job", "submit", job, FirstDaemon, SecondDaemon}),
            ExitCode::OutcomeUnknown);
  EXPECT_EQ(Daemons.Log.size(), 1u);
  Daemons.Handler = [](int, auto &) {
    return jsonResponse(503, R"({"error":{"number":402,"message":"lost"}})");
  };
  EXPECT_EQ(call({"job", "submit", job, FirstDaemon, SecondDaemon}),
            ExitCode::OutcomeUnknown);
  EXPECT_EQ(Daemons.Log.size(), 1u);
  Daemons.Handler = [](int port, auto &) {
    return port == 1 ? jsonResponse(
                           503, R"({"error":{"number":401,"message":"down"}})")
                     : jsonResponse(201, R"({"job":"j-1"})");
  };
  EXPECT_EQ(call({"job", "submit", job, FirstDaemon, SecondDaemon}),
            ExitCode::Success);
  EXPECT_EQ(Out.str(), "Job j-1 is admitted\n");
  Daemons.Handler = [](int, auto &) {
    return jsonResponse(404, R"({"error":{"number":702,"message":"no job"}})");
  };
  EXPECT_EQ(call({"job", "cancel", "j-1", FirstDaemon}), ExitCode::Refused);
  EXPECT_NE(Err.str().find("no job"), std::string::npos);
}

const std::string OldRules = "quota team a slots 1 # k: why\n";
const std::string NewRules = OldRules + "zone-out midrand # k: why\n";

class RulesApply : public CommandLine {
protected:
  RulesApply() {
    Daemons.Handler = [this](int, const platform::HttpRequest &request) {
      if (request.Path == "/v1/zones")
        return jsonResponse(200,
                            R"({"zones":[{"zone":"midrand"},{"zone":"g"}]})");
      if (request.Method == "GET")
        return jsonResponse(200, rules(4, OldRules, "thandi"));
      return PutResponse;
    };
  }
  static std::string rules(int version, const std::string &text,
                           const std::string &author) {
    return boost::json::serialize(boost::json::object{
        {"version", version}, {"text", text}, {"author", author}});
  }
  FakeDaemons::Response PutResponse = jsonResponse(200, R"({"version":5})");
};

// The base version must prevent a file from replacing rules that the operator
// has not seen.
TEST_F(RulesApply, ActiveVersionIsSentAndTheDiffIsShown) {
  EXPECT_EQ(call({"rules", "apply", writeTempFile(NewRules), FirstDaemon,
                  "--author=me"}),
            ExitCode::Success);
  EXPECT_EQ(Out.str(), "+ zone-out midrand # k: why\nVersion 5 is accepted\n");
  auto sent = boost::json::parse(Daemons.Bodies.back());
  EXPECT_EQ(sent.at("baseVersion"), 4);
  EXPECT_EQ(sent.at("author"), "me");
  EXPECT_EQ(sent.at("text").as_string(), NewRules);
  call({"rules", "apply", writeTempFile(NewRules), FirstDaemon,
        "--base-version=3"});
  EXPECT_EQ(boost::json::parse(Daemons.Bodies.back()).at("baseVersion"), 3);
}

// A conflict must be reported with the other operator's change.
TEST_F(RulesApply, ConflictShowsTheOtherOperatorsChange) {
  PutResponse = jsonResponse(
      409, R"({"current":)" +
               rules(5, "quota team b slots 2 # k: x\n", "sipho") + "}");
  EXPECT_EQ(call({"rules", "apply", writeTempFile(NewRules), FirstDaemon}),
            ExitCode::Refused);
  EXPECT_EQ(Out.str(), "Version 5 by sipho changed the rules:\n"
                       "- quota team a slots 1 # k: why\n"
                       "+ quota team b slots 2 # k: x\n");
  EXPECT_NE(Err.str().find("E804"), std::string::npos);
}

// Invalid rules must not be sent to a daemon.
TEST_F(RulesApply, InvalidFileIsNotSent) {
  EXPECT_EQ(call({"rules", "apply", writeTempFile("zone-out nowhere\n"),
                  FirstDaemon}),
            ExitCode::UsageError);
  EXPECT_NE(Err.str().find("E222"), std::string::npos);
  EXPECT_NE(Err.str().find("E225"), std::string::npos);
  EXPECT_EQ(Daemons.Log, std::vector<std::string>{"1 GET /v1/zones"});
  EXPECT_EQ(call({"rules", "check", writeTempFile(NewRules), FirstDaemon}),
            ExitCode::Success);
  EXPECT_EQ(call({"rules", "apply", writeTempFile(OldRules), FirstDaemon}),
            ExitCode::Success);
  EXPECT_NE(Out.str().find("in force already"), std::string::npos);
}

class ZoneOut : public CommandLine {
protected:
  ZoneOut() {
    Daemons.Handler = [this](int, const platform::HttpRequest &request) {
      if (request.Path == "/v1/members")
        return jsonResponse(
            200,
            R"({"members":[
          {"name":"g-1","zone":"g","state":"live","configVersion":9},
          {"name":"m-1","zone":"m","state":"dead","configVersion":)" +
                std::string(Daemons.Clock.now() >= AckAt ? "9" : "8") + "}]}");
      if (request.Path == "/v1/zones")
        return jsonResponse(
            200, R"({"configVersion":9,"zones":[{"zone":"m","out":)" +
                     std::string(IsZoneOut ? "true" : "false") + "}]}");
      FakeDaemons::Response next = PostResponses.front();
      if (PostResponses.size() > 1)
        PostResponses.erase(PostResponses.begin());
      return next;
    };
  }
  std::vector<FakeDaemons::Response> PostResponses{
      jsonResponse(200, R"({"version":9})")};
  base::TimePoint Start = Daemons.Clock.now();
  base::TimePoint AckAt = Start + 1h;
  bool IsZoneOut = false;
};

// Guarantee P4: the command must not report a zone as out before that is
// certain.
TEST_F(ZoneOut, OutIsReportedAfterThreeSecondsWithUnacknowledgedDaemons) {
  EXPECT_EQ(call({"zone", "out", "m", FirstDaemon, ReasonFlag}),
            ExitCode::Success);
  EXPECT_GE(Daemons.Clock.now() - Start, 3s);
  EXPECT_EQ(Out.str(), "Accepted as version 9\n"
                       "DAEMON  ZONE  STATE  IN FORCE\n"
                       "g-1     g     live   yes\n"
                       "m-1     m     dead   no\n"
                       "Not acknowledged within 3s: m-1\n"
                       "Zone m is out, version 9\n");
}

// The command must return as soon as all daemons have acknowledged.
TEST_F(ZoneOut, OutIsReportedOnceAllAcknowledged) {
  AckAt = Start + 200ms;
  EXPECT_EQ(
      call({"zone", "out", "m", FirstDaemon, ReasonFlag, "--output=json"}),
      ExitCode::Success);
  EXPECT_LT(Daemons.Clock.now() - Start, 1s);
  auto out = boost::json::parse(Out.str());
  EXPECT_TRUE(out.at("unanswered").as_array().empty());
  EXPECT_EQ(out.at("version"), 9);
}

// A lost response or a conflict must not leave a zone in service unnoticed.
TEST_F(ZoneOut, LostResponseIsVerifiedAndConflictsAreRetried) {
  PostResponses = {answerLost()};
  EXPECT_EQ(call({"zone", "out", "m", FirstDaemon, ReasonFlag}),
            ExitCode::OutcomeUnknown);
  EXPECT_EQ(Out.str(), "");
  IsZoneOut = true;
  EXPECT_EQ(call({"zone", "out", "m", FirstDaemon, ReasonFlag}),
            ExitCode::Success);
  PostResponses = {jsonResponse(409, R"({"current":{"author":"sipho"}})"),
                   jsonResponse(200, R"({"version":9})")};
  EXPECT_EQ(call({"zone", "out", "m", FirstDaemon, ReasonFlag}),
            ExitCode::Success);
  PostResponses = {jsonResponse(409, R"({"current":{"author":"sipho"}})")};
  EXPECT_EQ(call({"zone", "out", "m", FirstDaemon, ReasonFlag}),
            ExitCode::Refused);
  EXPECT_NE(Err.str().find("sipho"), std::string::npos);
}

// The wait must end once all daemons are ready, or at its timeout.
TEST_F(CommandLine, WaitReadyWaitsForAllAndTimesOut) {
  int requests = 0;
  Daemons.Handler = [&](int, auto &) {
    return jsonResponse(++requests > 3 ? 200 : 503, "");
  };
  EXPECT_EQ(call({"wait", "ready", FirstDaemon}), ExitCode::Success);
  Daemons.Handler = [](int, auto &) { return notSent(); };
  EXPECT_EQ(call({"wait", "ready", FirstDaemon, "--within=1s"}),
            ExitCode::Unreachable);
}

// Real socket results must map to the client responses simulated above.
TEST(HttpCommandLine, RealServerRespondsAndAClosedPortIsUnreachable) {
  boost::asio::io_context io;
  platform::HttpServerOptions options;
  options.Listen = {"127.0.0.1", 0};
  platform::HttpServer server(
      io.get_executor(), options,
      [](platform::HttpRequest)
          -> boost::asio::awaitable<platform::HttpResponse> {
        co_return platform::HttpResponse{
            200, {}, R"({"zones":[{"zone":"midrand","out":false}]})"};
      });
  ASSERT_TRUE(server.start());
  std::thread thread([&] { io.run(); });
  std::ostringstream out, err;
  std::string daemon = "--daemon=127.0.0.1:" + std::to_string(server.port());
  EXPECT_EQ(runOverHttp({"zones", daemon}, {out, err}), ExitCode::Success);
  EXPECT_NE(out.str().find("midrand  no"), std::string::npos) << out.str();
  io.stop();
  thread.join();
  EXPECT_EQ(runOverHttp({"zones", "--daemon=127.0.0.1:1"}, {out, err}),
            ExitCode::Unreachable);
}

// Jobs of all owners must be listed.
TEST_F(CommandLine, JobsOfAllOwnersAreMerged) {
  Daemons.Handler = [](int port, auto &) {
    if (port == 3)
      return jsonResponse(421,
                          R"({"error":{"number":703,"message":"not owner"}})");
    return jsonResponse(200, R"({"jobs":[{"job":"j-)" + std::to_string(port) +
                                 R"("},{"job":"j-0"}]})");
  };
  EXPECT_EQ(call({"jobs", FirstDaemon, SecondDaemon, "--daemon=127.0.0.1:3",
                  "--output=json"}),
            ExitCode::Success);
  EXPECT_EQ(boost::json::parse(Out.str()).at("jobs").as_array().size(), 3u);
  EXPECT_EQ(call({"jobs", "--daemon=127.0.0.1:3"}), ExitCode::Refused);
}

// Control characters in a response must not reach the operator's terminal.
TEST(Table, ControlCharactersAreReplaced) {
  EXPECT_EQ(replaceControlCharacters("a\x1b[2J\tb\nc"), "a?[2J b?c");
  EXPECT_EQ(formatCell(boost::json::value("\x1b")), "?");
  EXPECT_EQ(formatCell(boost::json::value()), "-");
}

// Applying the diff to the first text must yield the lines of the second; their
// order is not checked.
RC_GTEST_PROP(LineDiff, YieldsTheLinesOfTheSecondText, ()) {
  auto texts = rc::gen::container<std::vector<std::string>>(
      rc::gen::element<std::string>("a", "b", "c", "d"));
  auto join = [](const std::vector<std::string> &lines) {
    std::string text;
    for (const std::string &it : lines)
      text += it + "\n";
    return text;
  };
  auto before = *texts, after = *texts;
  std::multiset<std::string> remaining(before.begin(), before.end());
  std::istringstream diff(diffLines(join(before), join(after)));
  for (std::string line; std::getline(diff, line);) {
    RC_ASSERT(line.starts_with("- ") || line.starts_with("+ "));
    if (line[0] == '+')
      remaining.insert(line.substr(2));
  }
  diff.clear();
  diff.seekg(0);
  for (std::string line; std::getline(diff, line);)
    if (line[0] == '-')
      remaining.erase(remaining.find(line.substr(2)));
  RC_ASSERT(remaining ==
            std::multiset<std::string>(after.begin(), after.end()));
}

/// Daemons with skewed clocks that exchange messages.
class SkewedDaemons {
public:
  explicit SkewedDaemons(const std::vector<int> &skewsMs) {
    for (int ms : skewsMs) {
      Clocks.push_back(std::make_unique<base::ManualClock>());
      Clocks.back()->advance(std::chrono::milliseconds(ms));
      Hybrids.push_back(std::make_unique<base::HybridClock>(*Clocks.back()));
    }
  }
  TimelineEvent event(std::size_t at, base::HybridTime time) {
    return {time, "n" + std::to_string(at), 5001, std::to_string(Next++), {}};
  }
  std::vector<std::unique_ptr<base::ManualClock>> Clocks;
  std::vector<std::unique_ptr<base::HybridClock>> Hybrids;
  int Next = 0;
};

// A receive event must not be shown before its send event.
RC_GTEST_PROP(Timeline, PreservesCausalOrderUnderClockSkew, ()) {
  SkewedDaemons daemons(
      *rc::gen::container<std::vector<int>>(4, rc::gen::inRange(0, 200000)));
  std::vector<TimelineEvent> events;
  std::vector<std::pair<std::string, std::string>> causalPairs;
  for (int i = 0; i < 40; ++i) {
    auto from = *rc::gen::inRange<std::size_t>(0, 4);
    auto to = *rc::gen::inRange<std::size_t>(0, 4);
    daemons.Clocks[from]->advance(1ms * *rc::gen::inRange(0, 3));
    auto sent = daemons.event(from, daemons.Hybrids[from]->tick());
    auto received = daemons.event(to, daemons.Hybrids[to]->receive(sent.Time));
    causalPairs.emplace_back(sent.Name, received.Name);
    events.insert(events.begin(), {received, sent, received});
  }
  auto merged = mergeEvents(events);
  RC_ASSERT(merged.size() == 80u);
  std::map<std::string, std::size_t> position;
  for (std::size_t i = 0; i < merged.size(); ++i)
    position[merged[i].Name] = i;
  for (const auto &[cause, effect] : causalPairs)
    RC_ASSERT(position[cause] < position[effect]);
}

// No filter or output format may lose events.
TEST_F(CommandLine, TimelineIsFilteredAndWrittenInThreeFormats) {
  Daemons.Handler = [](int port, auto &) {
    if (port == 3)
      return notSent();
    return jsonResponse(200, R"({"process":"n)" + std::to_string(port) +
                                 R"(","events":[{"micros":1000)" +
                                 std::to_string(9 - port) +
                                 R"(,"counter":2,"code":5001,"name":"X",)"
                                 R"("fields":{"job":"j-)" +
                                 std::to_string(port) + R"(","zone":"m"}}]})");
  };
  const std::string d3 = "--daemon=127.0.0.1:3";
  EXPECT_EQ(call({"timeline", FirstDaemon, SecondDaemon, d3, "--zone=m"}),
            ExitCode::Success);
  EXPECT_EQ(Out.str(),
            "TIME (UTC)                    DAEMON  CODE   EVENT  FIELDS\n"
            "1970-01-01 00:00:00.010007+2  n2      E5001  X      job=j-2 "
            "zone=m\n"
            "1970-01-01 00:00:00.010008+2  n1      E5001  X      job=j-1 "
            "zone=m\n");
  EXPECT_EQ(Err.str(), "no answer from 127.0.0.1:3\n");
  call({"timeline", FirstDaemon, SecondDaemon, "--job=j-1", "--zone=m",
        "--output=json"});
  EXPECT_EQ(boost::json::parse(Out.str()).at("events").as_array().size(), 1u);
  call({"timeline", FirstDaemon, SecondDaemon, "--output=trace"});
  auto trace = boost::json::parse(Out.str()).at("traceEvents").as_array();
  ASSERT_EQ(trace.size(), 4u);
  EXPECT_EQ(trace[0].at("ph"), "M");
  EXPECT_EQ(trace[1].at("ts"), 10007);
  EXPECT_EQ(trace[1].at("args").at("job"), "j-2");
  EXPECT_EQ(call({"timeline", d3}), ExitCode::Unreachable);
}

// A malformed response must not crash the program.
RC_GTEST_FIXTURE_PROP(CommandLine, AnyResponseIsHandled, ()) {
  std::string text =
      R"({"process":"p","events":[{"micros":1,"counter":2,"code":3,"name":"n",)"
      R"("fields":{"a":"b"}}],"zones":[{"zone":"m","out":true}],)"
      R"("members":[{"name":"n","configVersion":1}],"version":3,"text":"x"})";
  for (int i = *rc::gen::inRange(0, 4); i > 0; --i)
    text[*rc::gen::inRange<std::size_t>(0, text.size())] =
        *rc::gen::element('0', '"', '{', '[', ']', '}', ',', '-', '.', 'e');
  auto status = *rc::gen::element(200u, 409u, 404u, 503u, 0u, 999u);
  Daemons.Handler = [&](int, auto &) { return jsonResponse(status, text); };
  for (const std::vector<std::string> &it :
       std::vector<std::vector<std::string>>{
           {"timeline", FirstDaemon},
           {"timeline", FirstDaemon, "--output=trace"},
           {"zones", FirstDaemon},
           {"zone", "out", "m", FirstDaemon, ReasonFlag},
           {"status", FirstDaemon},
           {"jobs", FirstDaemon},
           {"rules", "show", FirstDaemon},
           {"report", "--contract=m", FirstDaemon}})
    call(it);
}

RC_GTEST_FIXTURE_PROP(CommandLine, AnyArgumentsAreHandled,
                      (const std::vector<std::string> &args)) {
  Daemons.Handler = [](int, auto &) { return notSent(); };
  call(args);
}

} // namespace
