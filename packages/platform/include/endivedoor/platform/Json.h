/// \file
/// Reading of JSON that comes from outside: every field is checked.
#ifndef ENDIVEDOOR_PLATFORM_JSON_H
#define ENDIVEDOOR_PLATFORM_JSON_H

#include "endivedoor/base/Error.h"

#include <boost/json/value.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace endivedoor::platform {

constexpr std::int64_t MaxInt64 = std::numeric_limits<std::int64_t>::max();

/// Parses a JSON text of at most 16 nested levels.
///
/// Errors: ParseFailed. Cost: linear in the text.
base::Result<boost::json::value> parseJson(std::string_view text);

/// A view of one object of a JSON document.
///
/// A field that is absent, of another type or out of its range reads as the
/// default value, and the first such fault is kept. The caller reads all fields
/// and then looks at the fault once. The value and the fault must outlive the
/// view.
class JsonView {
public:
  /// \param value the object; another kind of value is a fault.
  /// \param fault receives the text of the first fault.
  JsonView(const boost::json::value &value, std::string &error);

  /// Returns whether the field \p key is present.
  bool has(std::string_view key) const;

  /// Reads a string of 1 to \p maxBytes bytes.
  std::string text(std::string_view key, std::size_t maxBytes = 256) const;
  /// Reads a string of up to \p maxBytes bytes; absent is empty.
  std::string optionalText(std::string_view key,
                           std::size_t maxBytes = 256) const;

  /// Reads an integer between \p min and \p max.
  std::int64_t number(std::string_view key, std::int64_t min,
                      std::int64_t max) const;
  /// Like number; absent is \p fallback.
  std::int64_t optionalNumber(std::string_view key, std::int64_t min,
                              std::int64_t max,
                              std::int64_t fallback = 0) const;
  /// Reads a 64-bit integer in protobuf's JSON form: a string of digits or a
  /// number; absent is 0.
  std::int64_t protoNumber(std::string_view key, std::int64_t min = 0,
                           std::int64_t max = MaxInt64) const;
  /// Reads bytes in protobuf's JSON form, base64; absent is empty.
  std::string protoBytes(std::string_view key) const;
  /// Reads a number with a fraction; absent is \p fallback.
  double optionalReal(std::string_view key, double min, double max,
                      double fallback = 0) const;
  /// Reads true or false; absent is false.
  bool flag(std::string_view key) const;

  /// Reads an object.
  JsonView object(std::string_view key) const;
  /// Reads an array of at most \p maxItems objects; absent is empty.
  std::vector<JsonView> list(std::string_view key, std::size_t maxItems) const;

  /// Returns whether no fault of the document has been found so far.
  bool ok() const { return Error->empty(); }

  /// Records a fault that the caller found in the field \p key.
  void setError(std::string_view key, std::string_view what) const;

private:
  const boost::json::value *find(std::string_view key) const;
  std::int64_t checkRange(std::string_view key, const boost::json::value &it,
                          std::int64_t min, std::int64_t max) const;

  const boost::json::value *Value;
  std::string *Error;
};

} // namespace endivedoor::platform

#endif
