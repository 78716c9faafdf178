#include "endivedoor/platform/Json.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <boost/json/parse.hpp>

namespace endivedoor::platform {

namespace json = boost::json;

base::Result<json::value> parseJson(std::string_view text) {
  json::parse_options options;
  options.max_depth = 16;
  boost::system::error_code ec;
  json::value value = json::parse(text, ec, {}, options);
  if (ec)
    return base::fail(base::Errc::ParseFailed, "JSON: " + ec.message());
  return value;
}

static const json::value &emptyObject() {
  static const json::value empty = json::object();
  return empty;
}

JsonView::JsonView(const json::value &value, std::string &error)
    : Value(&value), Error(&error) {
  if (value.is_object())
    return;
  Value = &emptyObject();
  if (Error->empty())
    *Error = "expected an object";
}

void JsonView::setError(std::string_view key, std::string_view what) const {
  if (Error->empty())
    *Error = "field " + std::string(key) + " " + std::string(what);
}

const json::value *JsonView::find(std::string_view key) const {
  return Value->get_object().if_contains(key);
}

bool JsonView::has(std::string_view key) const { return find(key) != nullptr; }

std::string JsonView::optionalText(std::string_view key,
                                   std::size_t maxBytes) const {
  const json::value *it = find(key);
  if (!it)
    return {};
  if (!it->is_string()) {
    setError(key, "is not a string");
    return {};
  }
  const json::string &text = it->get_string();
  if (text.size() > maxBytes) {
    setError(key, "is too long");
    return {};
  }
  return std::string(text);
}

std::string JsonView::text(std::string_view key, std::size_t maxBytes) const {
  std::string value = optionalText(key, maxBytes);
  if (value.empty())
    setError(key, "is missing or empty");
  return value;
}

std::int64_t JsonView::checkRange(std::string_view key, const json::value &it,
                                  std::int64_t min, std::int64_t max) const {
  if (it.is_int64() && it.get_int64() >= min && it.get_int64() <= max)
    return it.get_int64();
  setError(key, "is not an integer within the allowed range");
  return 0;
}

std::int64_t JsonView::number(std::string_view key, std::int64_t min,
                              std::int64_t max) const {
  if (const json::value *it = find(key))
    return checkRange(key, *it, min, max);
  setError(key, "is missing");
  return 0;
}

std::int64_t JsonView::optionalNumber(std::string_view key, std::int64_t min,
                                      std::int64_t max,
                                      std::int64_t fallback) const {
  const json::value *it = find(key);
  return it ? checkRange(key, *it, min, max) : fallback;
}

std::int64_t JsonView::protoNumber(std::string_view key, std::int64_t min,
                                   std::int64_t max) const {
  const json::value *it = find(key);
  if (!it)
    return 0;
  if (!it->is_string())
    return checkRange(key, *it, min, max);
  std::int64_t value = 0;
  std::string_view text(it->get_string());
  if (absl::SimpleAtoi(absl::string_view(text.data(), text.size()), &value))
    return checkRange(key, json::value(value), min, max);
  setError(key, "is not an integer");
  return 0;
}

std::string JsonView::protoBytes(std::string_view key) const {
  const json::value *it = find(key);
  if (!it)
    return {};
  std::string bytes;
  if (it->is_string()) {
    const json::string &text = it->get_string();
    if (absl::Base64Unescape(absl::string_view(text.data(), text.size()),
                             &bytes))
      return bytes;
  }
  setError(key, "is not a base64 string");
  return {};
}

double JsonView::optionalReal(std::string_view key, double min, double max,
                              double fallback) const {
  const json::value *it = find(key);
  if (!it)
    return fallback;
  if (it->is_number()) {
    double value = it->to_number<double>();
    if (value >= min && value <= max)
      return value;
  }
  setError(key, "is not a number within the allowed range");
  return fallback;
}

bool JsonView::flag(std::string_view key) const {
  const json::value *it = find(key);
  if (!it)
    return false;
  if (it->is_bool())
    return it->get_bool();
  setError(key, "is not a Boolean");
  return false;
}

JsonView JsonView::object(std::string_view key) const {
  if (const json::value *it = find(key))
    return JsonView(*it, *Error);
  setError(key, "is missing");
  return JsonView(emptyObject(), *Error);
}

std::vector<JsonView> JsonView::list(std::string_view key,
                                     std::size_t maxItems) const {
  std::vector<JsonView> views;
  const json::value *it = find(key);
  if (!it)
    return views;
  if (!it->is_array() || it->get_array().size() > maxItems) {
    setError(key, "is not an array or has too many items");
    return views;
  }
  for (const json::value &item : it->get_array())
    views.emplace_back(item, *Error);
  return views;
}

} // namespace endivedoor::platform
