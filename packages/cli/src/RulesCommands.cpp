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

/// Returns the zones that rules may name, from the settings file or a daemon.
Result<model::RuleScope> readScope(Context &context) {
  if (!context.Zones.empty())
    return model::RuleScope{context.Zones};
  BOOST_OUTCOME_TRY(auto answer, context.get("/v1/zones"));
  json::value zones = member(answer.Body, "zones");
  model::RuleScope scope;
  if (const json::array *list = zones.if_array())
    for (const json::value &it : *list)
      scope.Zones.emplace_back(toCell(member(it, "zone")));
  if (scope.Zones.empty())
    return base::fail(Errc::CliAnswerInvalid, "no zones in the answer");
  return scope;
}

/// Returns the text of a rules file without faults.
Result<std::string> readRules(Context &context) {
  BOOST_OUTCOME_TRY(auto text, readFile(context.In.Argument));
  BOOST_OUTCOME_TRY(auto scope, readScope(context));
  model::RulesOutcome out = model::parseRules(context.In.Argument, text, scope);
  if (!out.Faults.empty())
    return base::fail(Errc::CliInputInvalid,
                      std::to_string(out.Faults.size()) + " fault(s)\n" +
                          printable(listFaults(out.Faults), true));
  return text;
}

std::string textOf(const json::value &rules) {
  json::value text = member(rules, "text");
  return text.is_string() ? std::string(text.get_string()) : "";
}

ExitCode showConflict(Context &context, const std::string &before,
                      const json::value &current) {
  std::string diff = printable(lineDiff(before, textOf(current)), true);
  std::string by = toCell(member(current, "author"));
  std::string version = toCell(member(current, "version"));
  if (context.asJson())
    context.Io.Out << json::object{
        {"applied", false}, {"current", current}, {"diff", diff}};
  else
    context.Io.Out << "Version " << version << " by " << by
                   << " changed the rules:\n"
                   << (diff.empty() ? "(same text)\n" : diff);
  return context.fail({Errc::CliConflict, "version " + version + " by " + by +
                                              "; nothing was applied"});
}

} // namespace

ExitCode runRulesCheck(Context &context) {
  Result<std::string> text = readRules(context);
  if (!text)
    return context.fail(text.error());
  return context.show(
      json::object{{"file", context.In.Argument}, {"faults", json::array()}},
      context.In.Argument + " has no faults\n");
}

ExitCode runRulesApply(Context &context) {
  Result<std::string> text = readRules(context);
  if (!text)
    return context.fail(text.error());
  Result<Answer> base = context.get("/v1/rules");
  if (!base)
    return context.fail(base.error());
  json::value inForce = base.value().Body;
  std::uint64_t version =
      context.In.Values.BaseVersion.value_or(versionOf(inForce));
  std::string before = textOf(inForce);
  if (before == text.value() && version == versionOf(inForce))
    return context.show(json::object{{"applied", false}, {"version", version}},
                        "The rules are in force already, version " +
                            std::to_string(version) + "\n");
  Result<Answer> answer =
      context.change("PUT", "/v1/rules",
                     json::object{{"text", text.value()},
                                  {"baseVersion", version},
                                  {"author", context.In.Values.Author}});
  if (!answer)
    return context.fail(answer.error());
  if (answer.value().Status == 409) {
    // With --base-version, the file was edited from the operator's own text.
    bool older = context.In.Values.BaseVersion.has_value();
    return showConflict(context, older ? text.value() : before,
                        member(answer.value().Body, "current"));
  }
  std::uint64_t accepted = versionOf(answer.value().Body);
  return context.show(json::object{{"applied", true}, {"version", accepted}},
                      printable(lineDiff(before, text.value()), true) +
                          "Version " + std::to_string(accepted) +
                          " is accepted\n");
}

ExitCode runRulesShow(Context &context) {
  Result<Answer> answer = context.get("/v1/rules");
  if (!answer)
    return context.fail(answer.error());
  const json::value &rules = answer.value().Body;
  if (!member(rules, "text").is_string())
    return context.fail({Errc::CliAnswerInvalid, "no rules in the answer"});
  // The text is written as it is, so that it can be edited and applied again;
  // an accepted text holds no control characters except line ends and tabs.
  if (!context.asJson())
    context.Io.Err << "version " << toCell(member(rules, "version")) << " by "
                   << toCell(member(rules, "author")) << "\n";
  return context.show(rules, textOf(rules));
}

} // namespace endivedoor::cli::detail
