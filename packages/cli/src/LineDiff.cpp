#include "endivedoor/cli/detail/LineDiff.h"

#include <algorithm>
#include <cstdint>
#include <sstream>
#include <vector>

namespace endivedoor::cli::detail {

namespace {

using Lines = std::vector<std::string>;
constexpr std::size_t MaxCells = 4000000;

Lines splitLines(const std::string &text) {
  Lines lines;
  std::istringstream in(text);
  for (std::string line; std::getline(in, line);)
    lines.push_back(line);
  return lines;
}

void appendLines(std::string &to, const char *prefix, const Lines &lines) {
  for (const std::string &it : lines)
    to += prefix + it + "\n";
}

/// Returns the lengths of the longest common subsequences of all pairs of
/// suffixes, in row-major order.
std::vector<std::uint32_t> commonSubsequenceLengths(const Lines &a,
                                                    const Lines &b) {
  std::size_t width = b.size() + 1;
  std::vector<std::uint32_t> cells((a.size() + 1) * width);
  for (std::size_t i = a.size(); i-- > 0;)
    for (std::size_t k = b.size(); k-- > 0;)
      cells[i * width + k] = a[i] == b[k] ? cells[(i + 1) * width + k + 1] + 1
                                          : std::max(cells[(i + 1) * width + k],
                                                     cells[i * width + k + 1]);
  return cells;
}

} // namespace

std::string diffLines(const std::string &before, const std::string &after) {
  Lines a = splitLines(before), b = splitLines(after);
  auto [first, firstB] = std::mismatch(a.begin(), a.end(), b.begin(), b.end());
  b.erase(b.begin(), firstB);
  a.erase(a.begin(), first);
  while (!a.empty() && !b.empty() && a.back() == b.back()) {
    a.pop_back();
    b.pop_back();
  }
  std::string out;
  if ((a.size() + 1) * (b.size() + 1) > MaxCells) {
    appendLines(out, "- ", a);
    appendLines(out, "+ ", b);
    return out;
  }
  std::vector<std::uint32_t> cells = commonSubsequenceLengths(a, b);
  std::size_t width = b.size() + 1, i = 0, k = 0;
  while (i < a.size() || k < b.size()) {
    if (i < a.size() && k < b.size() && a[i] == b[k]) {
      ++i;
      ++k;
    } else if (i < a.size() &&
               (k == b.size() ||
                cells[(i + 1) * width + k] >= cells[i * width + k + 1])) {
      out += "- " + a[i++] + "\n";
    } else {
      out += "+ " + b[k++] + "\n";
    }
  }
  return out;
}

} // namespace endivedoor::cli::detail
