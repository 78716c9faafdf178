#include "endivedoor/cli/detail/Context.h"
#include "endivedoor/cli/detail/LogFilter.h"

#include <filesystem>
#include <ostream>

namespace endivedoor::cli::detail {

using base::Errc;

/// Reads the event lines of all files in a folder.
static base::Result<std::vector<std::string>>
readFolder(const std::string &folder) {
  std::error_code ec;
  std::vector<std::string> lines;
  for (const auto &it : std::filesystem::directory_iterator(folder, ec)) {
    if (!it.is_regular_file(ec))
      continue;
    base::Result<std::string> text = readFile(it.path().string());
    if (!text)
      return text.as_failure();
    appendEventLines(text.value(), lines);
  }
  if (ec)
    return base::fail(Errc::CliInputInvalid, folder + ": " + ec.message());
  return lines;
}

ExitCode runExplain(Context &context) {
  const Options &values = context.Args.Flags;
  if (values.Job.empty() && values.Worker.empty())
    return context.reportError(
        {Errc::CliUsage, "give --job=ID or --worker=ID"});
  base::Result<std::vector<std::string>> lines =
      readFolder(context.Args.Argument);
  if (!lines)
    return context.reportError(lines.error());
  for (const std::string &it : selectRelatedLines(
           lines.value(), values.Job.empty() ? values.Worker : values.Job))
    context.Streams.Out << it << "\n";
  return ExitCode::Success;
}

ExitCode runUnreadable(Context &context) {
  base::Result<std::vector<std::string>> lines =
      readFolder(context.Args.Argument);
  if (!lines)
    return context.reportError(lines.error());
  for (const auto &[key, record] : selectUnreadableRecords(lines.value()))
    context.Streams.Out << key << " bytes=" << record.Bytes
                        << " reports=" << record.Reports
                        << " process=" << record.Process << " cause=\""
                        << record.Cause << "\"\n";
  return ExitCode::Success;
}

} // namespace endivedoor::cli::detail
