#include "endivedoor/cli/detail/Context.h"
#include "endivedoor/cli/detail/Table.h"
#include "endivedoor/cli/detail/Timeline.h"
#include "endivedoor/model/Scalars.h"

#include <boost/json/parse.hpp>

#include <algorithm>
#include <ostream>
#include <set>

namespace endivedoor::cli::detail {

namespace json = boost::json;
using base::Errc;
using base::Result;

namespace {

/// Shows the array \p key of the answer to \p path.
ExitCode showList(Context &context, const std::string &path,
                  const std::string &key, const std::vector<Column> &columns) {
  Result<Answer> answer = context.get(path);
  if (!answer)
    return context.fail(answer.error());
  json::value list = member(answer.value().Body, key);
  if (!list.is_array())
    return context.fail(
        {Errc::CliAnswerInvalid, "no \"" + key + "\" in the answer"});
  return context.show(answer.value().Body, formatObjects(list, columns));
}

const std::vector<Column> ZoneColumns = {
    {"ZONE", "zone"}, {"OUT", "out"}, {"OWNER", "owner"}, {"EPOCH", "epoch"}};
const std::vector<Column> MemberColumns = {{"DAEMON", "name"},
                                           {"ZONE", "zone"},
                                           {"STATE", "state"},
                                           {"VERSION", "configVersion"},
                                           {"LAST HEARD MS", "lastHeardMs"},
                                           {"INCARNATION", "incarnation"}};
const std::vector<Column> JobColumns = {
    {"JOB", "job"},           {"NAME", "name"},         {"TEAM", "team"},
    {"CONTRACT", "contract"}, {"CLASS", "class"},       {"STATE", "state"},
    {"TASKS", "tasks"},       {"FINISHED", "finished"}, {"RUNNING", "running"},
    {"QUEUED", "queued"},     {"FAILED", "failed"}};

std::string count(const json::value &list, const char *key,
                  const json::value &value) {
  std::size_t n = 0, all = 0;
  if (const json::array *it = list.if_array()) {
    all = it->size();
    n = static_cast<std::size_t>(
        std::count_if(it->begin(), it->end(), [&](const json::value &v) {
          return member(v, key) == value;
        }));
  }
  return std::to_string(n) + " of " + std::to_string(all);
}

/// Names daemons that did not answer on the error output.
void warnUnreachable(Context &context, const Context::Gathered &all) {
  for (const std::string &it : all.Unreachable)
    context.Io.Err << "no answer from " << it << "\n";
}

/// Gathers the list \p key of all daemons: each lists only what belongs to the
/// shards that it owns. Rows with the same \p id are shown once.
Result<json::array> gatherList(Context &context, const std::string &path,
                               const std::string &key, const std::string &id) {
  Context::Gathered all = context.getAll(path);
  if (all.Answers.empty())
    return all.error();
  warnUnreachable(context, all);
  json::array rows;
  std::set<std::string> seen;
  for (const Answer &answer : all.Answers) {
    json::value list = member(answer.Body, key);
    if (!list.is_array())
      return base::Error{Errc::CliAnswerInvalid,
                         "no \"" + key + "\" from " + answer.From.str()};
    for (const json::value &it : list.get_array())
      if (seen.insert(toCell(member(it, id))).second)
        rows.push_back(it);
  }
  return rows;
}

ExitCode showMerged(Context &context, const std::string &path,
                    const std::string &key, const std::string &id,
                    const std::vector<Column> &columns) {
  Result<json::array> rows = gatherList(context, path, key, id);
  if (!rows)
    return context.fail(rows.error());
  return context.show(json::object{{key, rows.value()}},
                      formatObjects(rows.value(), columns));
}

std::map<std::string, std::string> wantedFields(const Options &v) {
  std::map<std::string, std::string> wanted{{"zone", v.Zone},
                                            {"worker", v.Worker},
                                            {"job", v.Job},
                                            {"contract", v.Contract},
                                            {"request", v.Request}};
  std::erase_if(wanted, [](const auto &it) { return it.second.empty(); });
  return wanted;
}

} // namespace

ExitCode runZones(Context &context) {
  return showList(context, "/v1/zones", "zones", ZoneColumns);
}

ExitCode runWorkers(Context &context) {
  return showMerged(context, "/v1/workers", "workers", "worker",
                    {{"WORKER", "worker"},
                     {"ZONE", "zone"},
                     {"RACK", "rack"},
                     {"ADDRESS", "address"},
                     {"LEASE", "leaseHeld"},
                     {"REACHABLE", "reachable"},
                     {"QUARANTINED", "quarantined"},
                     {"LEAVING", "leaving"},
                     {"TASKS", "tasks"},
                     {"FREE SLOTS", "freeSlots"}});
}

ExitCode runMembers(Context &context) {
  return showList(context, "/v1/members", "members", MemberColumns);
}

ExitCode runReport(Context &context) {
  const std::string &contract = context.In.Values.Contract;
  if (!model::isName(contract))
    return context.fail(
        {Errc::CliUsage, "a contract's name is missing; add --contract=NAME"});
  return showList(context, "/v1/report/" + contract, "rows",
                  {{"HOUR", "hour"},
                   {"ZONE", "zone"},
                   {"RULE", "rule"},
                   {"REASON", "reason"},
                   {"KEPT", "kept"},
                   {"VIOLATED", "violated"},
                   {"WORST", "worst"}});
}

ExitCode runJobs(Context &context) {
  return showMerged(context, "/v1/jobs", "jobs", "job", JobColumns);
}

ExitCode runJobShow(Context &context) {
  if (!model::isName(context.In.Argument))
    return context.fail({Errc::CliUsage, "the argument is not a job id"});
  Context::Gathered all = context.getAll("/v1/jobs/" + context.In.Argument);
  if (all.Answers.empty())
    return context.fail(all.error());
  const json::value &job = all.Answers.front().Body;
  return context.show(
      job, formatObjects(json::array{job}, JobColumns) + "\n" +
               formatObjects(member(job, "attempts"), {{"TASK", "task"},
                                                       {"ATTEMPT", "attempt"},
                                                       {"STATE", "state"},
                                                       {"WORKER", "worker"}}));
}

ExitCode runJobSubmit(Context &context) {
  Result<std::string> text = readFile(context.In.Argument);
  if (!text)
    return context.fail(text.error());
  boost::system::error_code ec;
  json::value job = json::parse(text.value(), ec);
  if (ec || !job.is_object())
    return context.fail({Errc::CliInputInvalid,
                         context.In.Argument + " does not hold a JSON object"});
  Result<Answer> answer = context.change("POST", "/v1/jobs", job);
  if (!answer)
    return context.fail(answer.error());
  if (answer.value().Status == 409)
    return context.fail({Errc::CliRefused, "the job conflicts with another"});
  return context.show(answer.value().Body,
                      "Job " + toCell(member(answer.value().Body, "job")) +
                          " is admitted\n");
}

ExitCode runJobCancel(Context &context) {
  if (!model::isName(context.In.Argument))
    return context.fail({Errc::CliUsage, "the argument is not a job id"});
  Result<Answer> answer = context.change(
      "DELETE", "/v1/jobs/" + context.In.Argument, json::value());
  if (!answer)
    return context.fail(answer.error());
  if (answer.value().Status == 409)
    return context.fail({Errc::CliRefused, "the job has ended"});
  return context.show(
      json::object{{"job", context.In.Argument}, {"cancelled", true}},
      "Job " + context.In.Argument + " is cancelled\n");
}

ExitCode runTimeline(Context &context) {
  Context::Gathered all = context.getAll("/v1/events");
  if (all.Answers.empty())
    return context.fail(all.error());
  warnUnreachable(context, all);
  std::vector<TimelineEvent> events;
  for (const Answer &it : all.Answers) {
    Result<std::vector<TimelineEvent>> more = readEvents(it.Body);
    if (!more)
      return context.fail(
          {Errc::CliAnswerInvalid, it.From.str() + ": " + more.error().Detail});
    events.insert(events.end(), more.value().begin(), more.value().end());
  }
  events = filterEvents(mergeEvents(std::move(events)),
                        wantedFields(context.In.Values));
  if (context.In.Values.Output == "text")
    context.Io.Out << formatText(events);
  else
    context.Io.Out << (context.asJson() ? formatJson(events)
                                        : formatTrace(events))
                   << "\n";
  return ExitCode::Done;
}

ExitCode runStatus(Context &context) {
  Result<Answer> zones = context.get("/v1/zones");
  if (!zones)
    return context.fail(zones.error());
  Result<Answer> members = context.get("/v1/members");
  if (!members)
    return context.fail(members.error());
  Result<json::array> workers =
      gatherList(context, "/v1/workers", "workers", "worker");
  if (!workers)
    return context.fail(workers.error());
  json::value z = member(zones.value().Body, "zones");
  json::value m = member(members.value().Body, "members");
  json::value w = workers.value();
  json::value version = member(zones.value().Body, "configVersion");
  return context.show(
      json::object{{"configVersion", version},
                   {"zones", z},
                   {"members", m},
                   {"workers", w}},
      "Version " + toCell(version) + "\nZones out: " + count(z, "out", true) +
          "\nDaemons live: " + count(m, "state", "live") +
          "\nDaemons at this version: " + count(m, "configVersion", version) +
          "\nWorkers reachable: " + count(w, "reachable", true) +
          "\nWorkers quarantined: " + count(w, "quarantined", true) + "\n\n" +
          formatObjects(z, ZoneColumns) + "\n" +
          formatObjects(m, MemberColumns));
}

ExitCode runWaitReady(Context &context) {
  base::TimePoint end = context.Clock.now() + context.In.Values.Within;
  for (;;) {
    std::string waiting;
    for (const model::Address &it : context.In.Values.Daemons) {
      Result<platform::HttpResponse> response =
          context.send(it, "GET", "/readyz");
      if (!response || response.value().Status != 200)
        waiting += (waiting.empty() ? "" : ", ") + it.str();
    }
    if (waiting.empty())
      return context.show(json::object{{"ready", true}}, "ready\n");
    if (context.Clock.now() >= end)
      return context.fail({Errc::CliUnreachable, "not ready: " + waiting});
    context.Source.pause(std::chrono::milliseconds(200));
  }
}

} // namespace endivedoor::cli::detail
