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

/// Shows the array \p key of the response to GET \p path.
ExitCode showList(Context &context, const std::string &path,
                  const std::string &key, const std::vector<Column> &columns) {
  Result<JsonResponse> response = context.get(path);
  if (!response)
    return context.reportError(response.error());
  json::value list = getMember(response.value().Body, key);
  if (!list.is_array())
    return context.reportError(
        {Errc::CliAnswerInvalid, "the response has no \"" + key + "\""});
  return context.printResult(response.value().Body,
                             formatObjects(list, columns));
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

std::string formatCount(const json::value &list, const char *key,
                        const json::value &value) {
  std::size_t n = 0, all = 0;
  if (const json::array *it = list.if_array()) {
    all = it->size();
    n = static_cast<std::size_t>(
        std::count_if(it->begin(), it->end(), [&](const json::value &v) {
          return getMember(v, key) == value;
        }));
  }
  return std::to_string(n) + " of " + std::to_string(all);
}

/// Writes the daemons that did not respond to the error output.
void warnUnreachable(Context &context, const Context::Responses &all) {
  for (const std::string &it : all.Unreachable)
    context.Streams.Err << "no answer from " << it << "\n";
}

/// Merges the list \p key of all daemons, because each daemon lists only the
/// items of the shards that it owns. Rows with the same \p id are included
/// once.
Result<json::array> collectList(Context &context, const std::string &path,
                                const std::string &key, const std::string &id) {
  Context::Responses all = context.getAll(path);
  if (all.Succeeded.empty())
    return all.error();
  warnUnreachable(context, all);
  json::array rows;
  std::set<std::string> seen;
  for (const JsonResponse &response : all.Succeeded) {
    json::value list = getMember(response.Body, key);
    if (!list.is_array())
      return base::Error{Errc::CliAnswerInvalid,
                         "no \"" + key + "\" in the response from " +
                             response.Daemon.str()};
    for (const json::value &it : list.get_array())
      if (seen.insert(formatCell(getMember(it, id))).second)
        rows.push_back(it);
  }
  return rows;
}

ExitCode showMergedList(Context &context, const std::string &path,
                        const std::string &key, const std::string &id,
                        const std::vector<Column> &columns) {
  Result<json::array> rows = collectList(context, path, key, id);
  if (!rows)
    return context.reportError(rows.error());
  return context.printResult(json::object{{key, rows.value()}},
                             formatObjects(rows.value(), columns));
}

std::map<std::string, std::string> eventFilter(const Options &v) {
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
  return showMergedList(context, "/v1/workers", "workers", "worker",
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
  const std::string &contract = context.Args.Flags.Contract;
  if (!model::isValidName(contract))
    return context.reportError(
        {Errc::CliUsage, "the contract name is missing; add --contract=NAME"});
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
  return showMergedList(context, "/v1/jobs", "jobs", "job", JobColumns);
}

ExitCode runJobShow(Context &context) {
  if (!model::isValidName(context.Args.Argument))
    return context.reportError(
        {Errc::CliUsage, "the argument is not a job id"});
  Context::Responses all = context.getAll("/v1/jobs/" + context.Args.Argument);
  if (all.Succeeded.empty())
    return context.reportError(all.error());
  const json::value &job = all.Succeeded.front().Body;
  return context.printResult(job, formatObjects(json::array{job}, JobColumns) +
                                      "\n" +
                                      formatObjects(getMember(job, "attempts"),
                                                    {{"TASK", "task"},
                                                     {"ATTEMPT", "attempt"},
                                                     {"STATE", "state"},
                                                     {"WORKER", "worker"}}));
}

ExitCode runJobSubmit(Context &context) {
  Result<std::string> text = readFile(context.Args.Argument);
  if (!text)
    return context.reportError(text.error());
  boost::system::error_code ec;
  json::value job = json::parse(text.value(), ec);
  if (ec || !job.is_object())
    return context.reportError(
        {Errc::CliInputInvalid,
         context.Args.Argument + " does not hold a JSON object"});
  Result<JsonResponse> response = context.change("POST", "/v1/jobs", job);
  if (!response)
    return context.reportError(response.error());
  if (response.value().Status == 409)
    return context.reportError(
        {Errc::CliRefused, "the job conflicts with another"});
  return context.printResult(
      response.value().Body,
      "Job " + formatCell(getMember(response.value().Body, "job")) +
          " is admitted\n");
}

ExitCode runJobCancel(Context &context) {
  if (!model::isValidName(context.Args.Argument))
    return context.reportError(
        {Errc::CliUsage, "the argument is not a job id"});
  Result<JsonResponse> response = context.change(
      "DELETE", "/v1/jobs/" + context.Args.Argument, json::value());
  if (!response)
    return context.reportError(response.error());
  if (response.value().Status == 409)
    return context.reportError({Errc::CliRefused, "the job has ended"});
  return context.printResult(
      json::object{{"job", context.Args.Argument}, {"cancelled", true}},
      "Job " + context.Args.Argument + " is cancelled\n");
}

ExitCode runTimeline(Context &context) {
  Context::Responses all = context.getAll("/v1/events");
  if (all.Succeeded.empty())
    return context.reportError(all.error());
  warnUnreachable(context, all);
  std::vector<TimelineEvent> events;
  for (const JsonResponse &it : all.Succeeded) {
    Result<std::vector<TimelineEvent>> more = readEvents(it.Body);
    if (!more)
      return context.reportError(
          {Errc::CliAnswerInvalid,
           it.Daemon.str() + ": " + more.error().Detail});
    events.insert(events.end(), more.value().begin(), more.value().end());
  }
  events = filterEvents(mergeEvents(std::move(events)),
                        eventFilter(context.Args.Flags));
  if (context.Args.Flags.OutputFormat == "text")
    context.Streams.Out << formatText(events);
  else
    context.Streams.Out << (context.asJson() ? formatJson(events)
                                             : formatTrace(events))
                        << "\n";
  return ExitCode::Success;
}

ExitCode runStatus(Context &context) {
  Result<JsonResponse> zones = context.get("/v1/zones");
  if (!zones)
    return context.reportError(zones.error());
  Result<JsonResponse> members = context.get("/v1/members");
  if (!members)
    return context.reportError(members.error());
  Result<json::array> workers =
      collectList(context, "/v1/workers", "workers", "worker");
  if (!workers)
    return context.reportError(workers.error());
  json::value z = getMember(zones.value().Body, "zones");
  json::value m = getMember(members.value().Body, "members");
  json::value w = workers.value();
  json::value version = getMember(zones.value().Body, "configVersion");
  return context.printResult(
      json::object{{"configVersion", version},
                   {"zones", z},
                   {"members", m},
                   {"workers", w}},
      "Version " + formatCell(version) +
          "\nZones out: " + formatCount(z, "out", true) + "\nDaemons live: " +
          formatCount(m, "state", "live") + "\nDaemons at this version: " +
          formatCount(m, "configVersion", version) +
          "\nWorkers reachable: " + formatCount(w, "reachable", true) +
          "\nWorkers quarantined: " + formatCount(w, "quarantined", true) +
          "\n\n" + formatObjects(z, ZoneColumns) + "\n" +
          formatObjects(m, MemberColumns));
}

ExitCode runWaitReady(Context &context) {
  base::TimePoint end = context.Clock.now() + context.Args.Flags.WaitTimeout;
  for (;;) {
    std::string waiting;
    for (const model::Address &it : context.Args.Flags.Daemons) {
      Result<platform::HttpResponse> response =
          context.send(it, "GET", "/readyz");
      if (!response || response.value().Status != 200)
        waiting += (waiting.empty() ? "" : ", ") + it.str();
    }
    if (waiting.empty())
      return context.printResult(json::object{{"ready", true}}, "ready\n");
    if (context.Clock.now() >= end)
      return context.reportError(
          {Errc::CliUnreachable, "not ready: " + waiting});
    context.Client.sleep(std::chrono::milliseconds(200));
  }
}

} // namespace endivedoor::cli::detail
