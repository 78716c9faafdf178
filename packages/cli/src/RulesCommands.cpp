#include "endivedoor/cli/detail/Context.h"
#include "endivedoor/cli/detail/LineDiff.h"
#include "endivedoor/cli/detail/Table.h"
#include "endivedoor/model/Rules.h"

#include <ostream>

namespace endivedoor::cli::detail {

namespace json = boost::json;
using base::Errc;
using base::Result;

namespace {

/// Returns the zones that rules may refer to, from the settings file or a
/// daemon.
Result<model::RuleScope> readScope(Context &context) {
  if (!context.Zones.empty())
    return model::RuleScope{context.Zones};
  BOOST_OUTCOME_TRY(auto answer, context.get("/v1/zones"));
  json::value zones = getMember(answer.Body, "zones");
  model::RuleScope scope;
  if (const json::array *list = zones.if_array())
    for (const json::value &it : *list)
      scope.Zones.emplace_back(formatCell(getMember(it, "zone")));
  if (scope.Zones.empty())
    return base::fail(Errc::CliAnswerInvalid, "the response has no zones");
  return scope;
}

/// Returns the text of the rules file, or an error that lists its faults.
Result<std::string> readRules(Context &context) {
  BOOST_OUTCOME_TRY(auto text, readFile(context.Args.Argument));
  BOOST_OUTCOME_TRY(auto scope, readScope(context));
  model::RulesOutcome out =
      model::parseRules(context.Args.Argument, text, scope);
  if (!out.Diagnostics.empty())
    return base::fail(
        Errc::CliInputInvalid,
        std::to_string(out.Diagnostics.size()) + " fault(s)\n" +
            replaceControlCharacters(formatDiagnostics(out.Diagnostics), true));
  return text;
}

std::string rulesText(const json::value &rules) {
  json::value text = getMember(rules, "text");
  return text.is_string() ? std::string(text.get_string()) : "";
}

ExitCode showConflict(Context &context, const std::string &before,
                      const json::value &current) {
  std::string diff =
      replaceControlCharacters(diffLines(before, rulesText(current)), true);
  std::string author = formatCell(getMember(current, "author"));
  std::string version = formatCell(getMember(current, "version"));
  if (context.asJson())
    context.Streams.Out << json::object{
        {"applied", false}, {"current", current}, {"diff", diff}};
  else
    context.Streams.Out << "Version " << version << " by " << author
                        << " changed the rules:\n"
                        << (diff.empty() ? "(same text)\n" : diff);
  return context.reportError(
      {Errc::CliConflict,
       "version " + version + " by " + author + "; nothing was applied"});
}

} // namespace

ExitCode runRulesCheck(Context &context) {
  Result<std::string> text = readRules(context);
  if (!text)
    return context.reportError(text.error());
  return context.printResult(
      json::object{{"file", context.Args.Argument}, {"faults", json::array()}},
      context.Args.Argument + " has no faults\n");
}

ExitCode runRulesApply(Context &context) {
  Result<std::string> text = readRules(context);
  if (!text)
    return context.reportError(text.error());
  Result<JsonResponse> base = context.get("/v1/rules");
  if (!base)
    return context.reportError(base.error());
  json::value inForce = base.value().Body;
  std::uint64_t version =
      context.Args.Flags.BaseVersion.value_or(readVersion(inForce));
  std::string before = rulesText(inForce);
  if (before == text.value() && version == readVersion(inForce))
    return context.printResult(
        json::object{{"applied", false}, {"version", version}},
        "The rules are in force already, version " + std::to_string(version) +
            "\n");
  Result<JsonResponse> response =
      context.change("PUT", "/v1/rules",
                     json::object{{"text", text.value()},
                                  {"baseVersion", version},
                                  {"author", context.Args.Flags.Author}});
  if (!response)
    return context.reportError(response.error());
  if (response.value().Status == 409) {
    // With --base-version, the file may be based on a text other than the one
    // just read, so the current rules are compared with the file itself.
    bool older = context.Args.Flags.BaseVersion.has_value();
    return showConflict(context, older ? text.value() : before,
                        getMember(response.value().Body, "current"));
  }
  std::uint64_t accepted = readVersion(response.value().Body);
  return context.printResult(
      json::object{{"applied", true}, {"version", accepted}},
      replaceControlCharacters(diffLines(before, text.value()), true) +
          "Version " + std::to_string(accepted) + " is accepted\n");
}

ExitCode runRulesShow(Context &context) {
  Result<JsonResponse> response = context.get("/v1/rules");
  if (!response)
    return context.reportError(response.error());
  const json::value &rules = response.value().Body;
  if (!getMember(rules, "text").is_string())
    return context.reportError(
        {Errc::CliAnswerInvalid, "the response has no rules"});
  // The text is written unchanged, so that it can be edited and applied again.
  // Accepted rules contain no control characters except line ends and tabs.
  if (!context.asJson())
    context.Streams.Err << "version " << formatCell(getMember(rules, "version"))
                        << " by " << formatCell(getMember(rules, "author"))
                        << "\n";
  return context.printResult(rules, rulesText(rules));
}

} // namespace endivedoor::cli::detail
