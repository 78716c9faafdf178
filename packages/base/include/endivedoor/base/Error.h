/// \file
/// Numbered errors and the result type that carries them.
#ifndef ENDIVEDOOR_BASE_ERROR_H
#define ENDIVEDOOR_BASE_ERROR_H

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace endivedoor::base {

/// Number of an error, as documented in docs/errors.md.
enum class Errc {
#define ENDIVEDOOR_ERROR(name, number, cause, action) name = number,
#include "endivedoor/base/Errors.def"
#undef ENDIVEDOOR_ERROR
};

/// An entry of the error catalogue.
struct ErrorInfo {
  Errc Code;
  std::string_view Name;
  std::string_view Cause;
  std::string_view Action;
};

/// Returns the whole error catalogue in the order of declaration.
const std::vector<ErrorInfo> &errorCatalogue();

/// An error: its number in the catalogue and the details of this occurrence.
struct Error {
  Errc Code = Errc::InvalidArgument;
  std::string Detail;

  /// Returns "E<number> <cause>: <detail>".
  std::string message() const;
};

inline bool operator==(const Error &a, const Error &b) {
  return a.Code == b.Code && a.Detail == b.Detail;
}

/// The outcome of an operation that can fail. Reading the value of a failed
/// result violates an invariant and terminates the process.
template <typename T>
using Result =
    boost::outcome_v2::result<T, Error, boost::outcome_v2::policy::terminate>;

/// Returns a failed result.
///
/// \param code number of the error.
/// \param detail what the error refers to: a name, a line, an address.
/// \returns an error that converts to any Result.
inline auto fail(Errc code, std::string detail) {
  return boost::outcome_v2::failure(Error{code, std::move(detail)});
}

inline auto success() { return boost::outcome_v2::success(); }

} // namespace endivedoor::base

#endif
