/// \file
/// Parsing and validation of JSON from untrusted sources.
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

/// Parses a JSON text with a nesting depth of at most 16.
///
/// Errors: ParseFailed. Cost: linear in the length of the text.
base::Result<boost::json::value> parseJson(std::string_view text);

/// A validating view of one object of a JSON document.
///
/// Reading a field that is missing, has the wrong type or is out of range
/// returns a default value and records an error; only the first error is kept.
/// The caller reads all fields and then checks the error once. The value and
/// the error string must outlive the view.
class JsonView {
public:
  /// \param value the object; any other kind of value is an error.
  /// \param error receives the text of the first error.
  JsonView(const boost::json::value &value, std::string &error);

  /// Returns whether the field \p key is present.
  bool has(std::string_view key) const;

  /// Reads a string of 1 to \p maxBytes bytes.
  std::string text(std::string_view key, std::size_t maxBytes = 256) const;
  /// Reads a string of up to \p maxBytes bytes; empty if absent.
  std::string optionalText(std::string_view key,
                           std::size_t maxBytes = 256) const;

  /// Reads an integer from \p min to \p max, both inclusive.
  std::int64_t number(std::string_view key, std::int64_t min,
                      std::int64_t max) const;
  /// Like number; \p fallback if absent.
  std::int64_t optionalNumber(std::string_view key, std::int64_t min,
                              std::int64_t max,
                              std::int64_t fallback = 0) const;
  /// Reads a 64-bit integer in the protobuf JSON mapping: a decimal string or a
  /// number; 0 if absent.
  std::int64_t protoNumber(std::string_view key, std::int64_t min = 0,
                           std::int64_t max = MaxInt64) const;
  /// Reads bytes in the protobuf JSON mapping (base64); empty if absent.
  std::string protoBytes(std::string_view key) const;
  /// Reads a floating-point number; \p fallback if absent.
  double optionalReal(std::string_view key, double min, double max,
                      double fallback = 0) const;
  /// Reads a Boolean; false if absent.
  bool flag(std::string_view key) const;

  /// Reads an object.
  JsonView object(std::string_view key) const;
  /// Reads an array of at most \p maxItems objects; empty if absent.
  std::vector<JsonView> list(std::string_view key, std::size_t maxItems) const;

  /// Returns whether no error has been recorded for the document so far.
  bool ok() const { return Error->empty(); }

  /// Records an error that the caller found in the field \p key, unless an
  /// earlier one has been recorded.
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
