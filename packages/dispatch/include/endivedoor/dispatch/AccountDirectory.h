/// \file
/// Lookup of client accounts by the key that a caller sends.
#ifndef ENDIVEDOOR_DISPATCH_ACCOUNTDIRECTORY_H
#define ENDIVEDOOR_DISPATCH_ACCOUNTDIRECTORY_H

#include "endivedoor/base/Error.h"
#include "endivedoor/model/JobGraph.h"
#include "endivedoor/platform/Http.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace endivedoor::dispatch {

/// Returns the key in an Authorization header of the form "Bearer KEY", as a
/// view into \p headers.
///
/// Errors, none of which contains a part of the header: KeyMissing if there is
/// no such header, KeyMalformed if there are several or one of another form.
base::Result<std::string_view>
findBearerKey(const platform::HttpHeaders &headers);

/// The keys of all accounts of one configuration. Immutable, so that any thread
/// may read it.
///
/// The time of a lookup must not tell how much of a wrong key is right. Keys
/// are found by a hash that is seeded at random in each process, and then
/// compared in a time that depends on their length only.
class AccountDirectory {
public:
  /// \param accounts no key may belong to more than one account.
  explicit AccountDirectory(const std::vector<model::ClientAccount> &accounts);

  /// Returns whether there is no account; then no key is needed.
  bool isEmpty() const { return Names.empty(); }

  /// Returns the name of the account that the request's key belongs to.
  /// Errors: those of findBearerKey(), and KeyUnknown.
  base::Result<std::string>
  findAccount(const platform::HttpHeaders &headers) const;

private:
  struct Entry {
    std::string Key;
    /// Index into Names.
    std::size_t Account;
  };

  std::vector<std::string> Names;
  std::unordered_multimap<std::uint64_t, Entry> Entries;
};

} // namespace endivedoor::dispatch

#endif
