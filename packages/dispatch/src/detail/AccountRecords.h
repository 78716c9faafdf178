/// \file
/// Encoding of the record with the shards' shares of an account's limit.
#ifndef ENDIVEDOOR_DISPATCH_SRC_DETAIL_ACCOUNTRECORDS_H
#define ENDIVEDOOR_DISPATCH_SRC_DETAIL_ACCOUNTRECORDS_H

#include "endivedoor/base/Error.h"
#include "endivedoor/policy/AccountShares.h"

#include <string>
#include <string_view>

namespace endivedoor::dispatch::detail {

std::string encodeShares(const policy::ShareRecord &record);
/// Errors: ParseFailed.
base::Result<policy::ShareRecord> decodeShares(const std::string &text);

/// Returns the account's name of a key of keys::account().
/// Errors: ParseFailed.
base::Result<std::string> accountOfKey(std::string_view key);

} // namespace endivedoor::dispatch::detail

#endif
