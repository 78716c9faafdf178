#include "endivedoor/cli/detail/Context.h"
#include "endivedoor/cli/detail/LogStory.h"

#include <filesystem>
#include <ostream>

namespace endivedoor::cli::detail {

using base::Errc;

ExitCode runExplain(Context &context) {
  const Options &values = context.In.Values;
  if (values.Job.empty() && values.Worker.empty())
    return context.fail({Errc::CliUsage, "give --job=ID or --worker=ID"});
  std::error_code ec;
  std::vector<std::string> lines;
  for (const auto &it :
       std::filesystem::directory_iterator(context.In.Argument, ec)) {
    if (!it.is_regular_file(ec))
      continue;
    base::Result<std::string> text = readFile(it.path().string());
    if (!text)
      return context.fail(text.error());
    addLines(text.value(), lines);
  }
  if (ec)
    return context.fail(
        {Errc::CliInputInvalid, context.In.Argument + ": " + ec.message()});
  for (const std::string &it :
       storyOf(lines, values.Job.empty() ? values.Worker : values.Job))
    context.Io.Out << it << "\n";
  return ExitCode::Done;
}

} // namespace endivedoor::cli::detail
