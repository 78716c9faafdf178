/// \file
/// Maps names to dense indexes, so that hot paths compare and index by
/// integers.
#ifndef ENDIVEDOOR_POLICY_DETAIL_INTERNER_H
#define ENDIVEDOOR_POLICY_DETAIL_INTERNER_H

#include <boost/unordered/unordered_flat_map.hpp>

#include <cstdint>
#include <functional>
#include <vector>

namespace endivedoor::policy::detail {

using Index = std::uint32_t;
constexpr Index None = ~Index{0};

/// Assigns indexes from 0 to distinct names. Entries are never removed, so the
/// set of names must be bounded: classes, services, teams, racks, zones.
template <typename Name> class Interner {
public:
  /// Returns the index of \p name and adds it if necessary. Cost: O(1).
  Index intern(const Name &name) {
    auto [it, added] = Numbers.try_emplace(name, Index(Names.size()));
    if (added)
      Names.push_back(name);
    return it->second;
  }
  /// Returns the index of \p name, or None.
  Index find(const Name &name) const {
    auto it = Numbers.find(name);
    return it == Numbers.end() ? None : it->second;
  }
  const Name &name(Index n) const { return Names[n]; }
  Index size() const { return Index(Names.size()); }

private:
  boost::unordered_flat_map<Name, Index, std::hash<Name>> Numbers;
  std::vector<Name> Names;
};

} // namespace endivedoor::policy::detail

#endif
