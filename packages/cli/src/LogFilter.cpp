#include "endivedoor/cli/detail/LogFilter.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <set>
#include <sstream>
#include <utility>

namespace endivedoor::cli::detail {

namespace {

/// Events about a worker, a shard or the store that affect the execution of
/// tasks.
const std::set<std::string> LifecycleEvents = {
    "ShardOwned",    "ShardLoaded",     "ShardReleased",     "ShardGivenUp",
    "WorkerSilent",  "WorkerHeard",     "WorkerSynced",      "WorkerWithdrawn",
    "WorkerOffered", "RunsLost",        "NodeLeaseLost",     "StoreUnreached",
    "StoreReached",  "WorkerForgotten", "RosterRowsDropped", "RosterRead"};

/// Returns the value of a field of a line, or an empty string.
std::string readField(const std::string &line, const std::string &name) {
  std::size_t at = line.find(" " + name + "=");
  if (at == std::string::npos)
    return {};
  at += name.size() + 2;
  return line.substr(at, line.find(' ', at) - at);
}

/// Returns the hybrid logical time of a line as wall time and counter, which
/// compare in this order.
std::pair<std::uint64_t, std::uint64_t>
parseHybridTime(const std::string &line) {
  std::string text = readField(line, "hlc");
  std::pair<std::uint64_t, std::uint64_t> time{0, 0};
  const char *end = text.data() + text.size();
  auto [at, ec] = std::from_chars(text.data(), end, time.first);
  if (ec == std::errc() && at != end)
    std::from_chars(at + 1, end, time.second);
  return time;
}

/// Returns whether the line contains the id as a whole word: j-1 is not part of
/// j-17. A dot ends a word, since task names begin with the id of their job.
bool mentions(const std::string &line, const std::string &id) {
  auto isIdCharacter = [&](std::size_t at) {
    return at < line.size() &&
           (std::isalnum(static_cast<unsigned char>(line[at])) ||
            line[at] == '-' || line[at] == '_');
  };
  for (std::size_t at = line.find(id); at != std::string::npos;
       at = line.find(id, at + 1))
    if (!(at > 0 && isIdCharacter(at - 1)) && !isIdCharacter(at + id.size()))
      return true;
  return false;
}

/// Returns the value of a field of a line that may be quoted.
std::string readText(const std::string &line, const std::string &name) {
  std::string value = readField(line, name);
  if (!value.starts_with('"'))
    return value;
  std::size_t at = line.find(" " + name + "=\"") + name.size() + 3;
  return line.substr(at, line.find('"', at) - at);
}

} // namespace

void appendEventLines(const std::string &text,
                      std::vector<std::string> &lines) {
  std::istringstream in(text);
  for (std::string line; std::getline(in, line);)
    if (std::size_t at = line.find("event="); at != std::string::npos)
      lines.push_back(" " + line.substr(at));
}

std::vector<std::string>
selectRelatedLines(const std::vector<std::string> &lines,
                   const std::string &id) {
  std::vector<std::string> selected;
  std::set<std::string> workers;
  std::pair<std::uint64_t, std::uint64_t> first{UINT64_MAX, 0}, last{0, 0};
  for (const std::string &it : lines) {
    if (!mentions(it, id))
      continue;
    selected.push_back(it);
    workers.insert(readField(it, "worker"));
    first = std::min(first, parseHybridTime(it));
    last = std::max(last, parseHybridTime(it));
  }
  workers.erase("");
  for (const std::string &it : lines) {
    std::string worker = readField(it, "worker");
    bool relevant = worker.empty() || workers.contains(worker);
    if (!mentions(it, id) && relevant &&
        LifecycleEvents.contains(readField(it, "name")) &&
        parseHybridTime(it) >= first && parseHybridTime(it) <= last)
      selected.push_back(it);
  }
  std::stable_sort(selected.begin(), selected.end(),
                   [](const std::string &a, const std::string &b) {
                     return parseHybridTime(a) < parseHybridTime(b);
                   });
  for (std::string &it : selected)
    it.erase(0, 1);
  return selected;
}

std::map<std::string, UnreadableRecord>
selectUnreadableRecords(const std::vector<std::string> &lines) {
  std::map<std::string, UnreadableRecord> records;
  for (const std::string &it : lines) {
    if (readField(it, "name") != "RecordUnreadable")
      continue;
    UnreadableRecord &record = records[readField(it, "key")];
    record.Bytes = readField(it, "bytes");
    record.Cause = readText(it, "cause");
    record.Process = readField(it, "process");
    ++record.Reports;
  }
  return records;
}

} // namespace endivedoor::cli::detail
