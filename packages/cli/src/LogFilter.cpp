#include "endivedoor/cli/detail/LogFilter.h"

#include <algorithm>
#include <charconv>
#include <set>
#include <sstream>
#include <utility>

namespace endivedoor::cli::detail {

namespace {

/// Events about a worker, a shard or the store that affect the execution of
/// tasks.
const std::set<std::string> LifecycleEvents = {
    "ShardOwned",    "ShardLoaded", "ShardReleased", "ShardGivenUp",
    "WorkerSilent",  "WorkerHeard", "WorkerSynced",  "WorkerWithdrawn",
    "WorkerOffered", "RunsLost",    "NodeLeaseLost", "StoreUnreached",
    "StoreReached"};

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
    if (it.find(id) == std::string::npos)
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
    if (it.find(id) == std::string::npos && relevant &&
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

} // namespace endivedoor::cli::detail
