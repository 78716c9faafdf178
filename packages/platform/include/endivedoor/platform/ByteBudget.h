/// \file
/// A limit on the memory that several connections use together.
#ifndef ENDIVEDOOR_PLATFORM_BYTEBUDGET_H
#define ENDIVEDOOR_PLATFORM_BYTEBUDGET_H

#include <atomic>
#include <cstddef>
#include <memory>

namespace endivedoor::platform {

/// Counts bytes up to a limit. Thread-safe.
class ByteBudget {
public:
  /// \param limit maximum of the bytes in use, of all shares together.
  explicit ByteBudget(std::size_t limit) : Limit(limit) {}
  ByteBudget(const ByteBudget &) = delete;
  ByteBudget &operator=(const ByteBudget &) = delete;

  std::size_t limit() const { return Limit; }
  std::size_t used() const { return Used; }

  /// The bytes that one holder uses; given back when it is destroyed. Not
  /// thread-safe.
  class Share {
  public:
    /// \param budget counts nothing if it is null.
    explicit Share(std::shared_ptr<ByteBudget> budget)
        : Budget(std::move(budget)) {}
    Share(const Share &) = delete;
    Share &operator=(const Share &) = delete;
    ~Share() { resize(0); }

    /// Changes the size of the share. \returns whether the budget allows it; a
    /// smaller size is always allowed.
    bool resize(std::size_t size);
    std::size_t size() const { return Size; }

  private:
    std::shared_ptr<ByteBudget> Budget;
    std::size_t Size = 0;
  };

private:
  const std::size_t Limit;
  std::atomic<std::size_t> Used = 0;
};

} // namespace endivedoor::platform

#endif
