#include "endivedoor/cli/detail/Context.h"
#include "endivedoor/cli/detail/LogFilter.h"

#include <filesystem>
#include <ostream>

namespace endivedoor::cli::detail {

using base::Errc;

ExitCode runExplain(Context &context) {
  const Options &values = context.Args.Flags;
  if (values.Job.empty() && values.Worker.empty())
    return context.reportError(
        {Errc::CliUsage, "give --job=ID or --worker=ID"});
  std::error_code ec;
  std::vector<std::string> lines;
  for (const auto &it :
       std::filesystem::directory_iterator(context.Args.Argument, ec)) {
    if (!it.is_regular_file(ec))
      continue;
    base::Result<std::string> text = readFile(it.path().string());
    if (!text)
      return context.reportError(text.error());
    appendEventLines(text.value(), lines);
  }
  if (ec)
    return context.reportError(
        {Errc::CliInputInvalid, context.Args.Argument + ": " + ec.message()});
  for (const std::string &it : selectRelatedLines(
           lines, values.Job.empty() ? values.Worker : values.Job))
    context.Streams.Out << it << "\n";
  return ExitCode::Success;
}

} // namespace endivedoor::cli::detail
