#include "endivedoor/model/Rules.h"

#include "detail/RuleChecks.h"
#include "detail/RuleSyntax.h"

#include "endivedoor/model/Scalars.h"

#include <algorithm>

namespace endivedoor::model {

using base::Errc;
using detail::Capture;
using detail::RuleSyntax;
using detail::Word;

namespace {

/// Splits a line at spaces and tabs; columns count from 1.
std::vector<Word> splitWords(std::string_view line) {
  std::vector<Word> words;
  std::size_t at = 0;
  while ((at = line.find_first_not_of(" \t", at)) != std::string_view::npos) {
    std::size_t end = std::min(line.find_first_of(" \t", at), line.size());
    words.push_back({std::string(line.substr(at, end - at)), at + 1});
    at = end;
  }
  return words;
}

std::string trim(std::string_view text) {
  std::size_t first = text.find_first_not_of(" \t\r");
  if (first == std::string_view::npos)
    return "";
  return std::string(
      text.substr(first, text.find_last_not_of(" \t\r") - first + 1));
}

/// Parses the file line by line and collects diagnostics.
class RulesParser {
public:
  RulesParser(const std::string &file, const RuleScope &scope)
      : File(file), Scope(scope) {}

  void addLine(std::string_view line);
  RulesOutcome finish();

private:
  void addDiagnostic(std::size_t column, Errc code, std::string text,
                     std::string hint) {
    Out.Diagnostics.push_back(
        {File, Line, column, code, std::move(text), std::move(hint)});
  }
  bool readComment(std::string_view line, std::size_t commentStart, Rule &rule);
  const RuleSyntax *findSyntax(const Word &keyword);
  bool readWords(const RuleSyntax &syntax, const std::vector<Word> &words,
                 std::vector<Capture> &captures);
  bool readWord(const RuleSyntax &syntax, const std::string &expected,
                const Word &word, std::vector<Capture> &captures);
  bool readNumber(const std::string &kind, const Word &word, Capture &capture);
  bool readZone(const Word &word);

  const std::string &File;
  const RuleScope &Scope;
  std::size_t Line = 0;
  RulesOutcome Out;
};

bool RulesParser::readComment(std::string_view line, std::size_t commentStart,
                              Rule &rule) {
  const char *hint = "end the line with \"# WHO: WHY\", where WHO is the "
                     "contract's name";
  if (commentStart == std::string_view::npos) {
    addDiagnostic(line.size() + 1, Errc::RulesMissingComment,
                  "the rule has no comment", hint);
    return false;
  }
  std::string_view comment = line.substr(commentStart + 1);
  std::size_t colon = comment.find(':');
  std::string contract = trim(comment.substr(0, colon));
  std::string reason =
      colon == std::string_view::npos ? "" : trim(comment.substr(colon + 1));
  if (!isValidName(contract) || reason.empty()) {
    addDiagnostic(commentStart + 1, Errc::RulesMissingComment,
                  reason.empty() ? "the comment does not say why"
                                 : "the comment does not say who asked",
                  hint);
    return false;
  }
  rule.Contract = base::ContractName(contract);
  rule.Reason = reason;
  return true;
}

const RuleSyntax *RulesParser::findSyntax(const Word &keyword) {
  std::vector<std::string> known;
  for (const RuleSyntax &it : detail::ruleSyntaxes()) {
    if (it.Words.front() == keyword.Text)
      return &it;
    known.push_back(it.Words.front());
  }
  std::optional<std::string> suggestion = closestMatch(keyword.Text, known);
  std::string all;
  for (const std::string &it : known)
    all += (all.empty() ? "" : ", ") + it;
  addDiagnostic(keyword.Column, Errc::RulesUnknownRule,
                "unknown rule \"" + keyword.Text + "\"",
                suggestion ? "did you mean \"" + *suggestion + "\"?"
                           : "use one of " + all);
  return nullptr;
}

bool RulesParser::readNumber(const std::string &kind, const Word &word,
                             Capture &capture) {
  const detail::NumberKind *it = detail::findNumberKind(kind);
  std::optional<std::int64_t> n = it->Parse(word.Text);
  if (n && *n >= it->Min && *n <= it->Max) {
    capture.Number = *n;
    return true;
  }
  addDiagnostic(
      word.Column, n ? Errc::RulesOutOfRange : Errc::RulesWrongWord,
      "\"" + word.Text + "\" is " +
          (n ? "out of range" : "not " + std::string(it->Description)),
      "use " + std::string(it->RangeText));
  return false;
}

bool RulesParser::readZone(const Word &word) {
  std::vector<std::string> known;
  for (const base::ZoneId &it : Scope.Zones)
    known.push_back(it.str());
  if (std::find(known.begin(), known.end(), word.Text) != known.end())
    return true;
  std::optional<std::string> suggestion = closestMatch(word.Text, known);
  addDiagnostic(word.Column, Errc::RulesUnknownZone,
                "zone \"" + word.Text + "\" is not known",
                suggestion ? "did you mean \"" + *suggestion + "\"?"
                           : "see the settings' zones");
  return false;
}

bool RulesParser::readWord(const RuleSyntax &syntax,
                           const std::string &expected, const Word &word,
                           std::vector<Capture> &captures) {
  if (expected.front() != '<') {
    if (word.Text == expected)
      return true;
    addDiagnostic(word.Column, Errc::RulesWrongWord,
                  "\"" + word.Text + "\" where \"" + expected +
                      "\" is expected",
                  "write \"" + syntax.str() + "\"");
    return false;
  }
  captures.push_back({word.Text, 0});
  if (detail::findNumberKind(expected))
    return readNumber(expected, word, captures.back());
  if (!isValidName(word.Text)) {
    addDiagnostic(word.Column, Errc::RulesWrongWord,
                  "\"" + word.Text + "\" is not a name",
                  "use 1 to 64 letters, digits, '.', '_' or '-'");
    return false;
  }
  return expected != "<zone>" || readZone(word);
}

bool RulesParser::readWords(const RuleSyntax &syntax,
                            const std::vector<Word> &words,
                            std::vector<Capture> &captures) {
  bool ok = true;
  std::size_t n = std::min(words.size(), syntax.Words.size());
  for (std::size_t i = 1; i < n; ++i)
    ok = readWord(syntax, syntax.Words[i], words[i], captures) && ok;
  if (words.size() == syntax.Words.size())
    return ok;
  bool extra = words.size() > n;
  std::size_t column =
      extra ? words[n].Column : words.back().Column + words.back().Text.size();
  addDiagnostic(column, Errc::RulesWrongWord,
                extra ? "extra word \"" + words[n].Text + "\""
                      : "\"" + syntax.Words[n] + "\" is missing",
                "write \"" + syntax.str() + "\"");
  return false;
}

void RulesParser::addLine(std::string_view line) {
  ++Line;
  if (line.ends_with('\r'))
    line.remove_suffix(1);
  auto control = std::find_if(line.begin(), line.end(), [](unsigned char c) {
    return (c < 0x20 && c != '\t') || c == 0x7f;
  });
  if (control != line.end())
    return addDiagnostic(static_cast<std::size_t>(control - line.begin()) + 1,
                         Errc::RulesWrongCharacter, "a control character",
                         "remove it");
  std::size_t commentStart = line.find('#');
  std::vector<Word> words = splitWords(line.substr(0, commentStart));
  if (words.empty())
    return;
  Rule rule;
  rule.Line = Line;
  rule.Text = trim(line.substr(0, commentStart));
  bool ok = readComment(line, commentStart, rule);
  const RuleSyntax *syntax = findSyntax(words.front());
  std::vector<Capture> captures;
  if (!syntax || !readWords(*syntax, words, captures) || !ok)
    return;
  rule.Body = syntax->Build(captures);
  Out.Value.Rules.push_back(std::move(rule));
}

RulesOutcome RulesParser::finish() {
  detail::checkRules(File, Out.Value, Scope, Out.Diagnostics);
  std::stable_sort(
      Out.Diagnostics.begin(), Out.Diagnostics.end(),
      [](const Diagnostic &a, const Diagnostic &b) { return a.Line < b.Line; });
  return std::move(Out);
}

} // namespace

RulesOutcome parseRules(const std::string &file, const std::string &text,
                        const RuleScope &scope) {
  RulesParser parser(file, scope);
  std::string_view rest = text;
  while (!rest.empty()) {
    std::size_t end = rest.find('\n');
    parser.addLine(rest.substr(0, end));
    rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
  }
  return parser.finish();
}

} // namespace endivedoor::model
