/// \file
/// Typed identifiers.
#ifndef ENDIVEDOOR_BASE_IDS_H
#define ENDIVEDOOR_BASE_IDS_H

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>

namespace endivedoor::base {

/// A strongly typed string identifier; it does not convert to identifiers with
/// another tag.
template <typename Tag> class Id {
public:
  Id() = default;
  explicit Id(std::string value) : Value(std::move(value)) {}
  const std::string &str() const { return Value; }
  bool empty() const { return Value.empty(); }
  friend auto operator<=>(const Id &, const Id &) = default;
  friend std::ostream &operator<<(std::ostream &os, const Id &id) {
    return os << id.Value;
  }

private:
  std::string Value;
};

using WorkerId = Id<struct WorkerTag>;
using ZoneId = Id<struct ZoneTag>;
using RackId = Id<struct RackTag>;
using JobId = Id<struct JobTag>;
using TaskId = Id<struct TaskTag>;
using ServiceName = Id<struct ServiceTag>;
using TaskClass = Id<struct TaskClassTag>;
using TeamName = Id<struct TeamTag>;
using ContractName = Id<struct ContractTag>;
/// Identifies one process of a daemon; a restart creates a new one.
using InstanceId = Id<struct InstanceTag>;

/// Number of an attempt of a task, from 1.
enum class Attempt : std::uint32_t {};
/// Fencing token of a placement lease, issued by the worker; increases
/// monotonically.
enum class FencingToken : std::uint64_t {};
/// Epoch of a shard owner: the create revision of the owner key in the store.
enum class Epoch : std::uint64_t {};

template <typename E>
requires std::is_enum_v<E>
constexpr std::uint64_t toNumber(E e) { return static_cast<std::uint64_t>(e); }

} // namespace endivedoor::base

template <typename Tag> struct std::hash<endivedoor::base::Id<Tag>> {
  std::size_t operator()(const endivedoor::base::Id<Tag> &id) const noexcept {
    return std::hash<std::string>{}(id.str());
  }
};

#endif
