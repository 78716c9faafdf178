#include "detail/BookingRecord.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>

namespace endivedoor::server::detail {

namespace json = boost::json;
using base::Errc;
using base::fail;

constexpr std::array<std::string_view, 5> StateNames{
    "claimed", "answered", "answer-not-kept", "not-run", "unknown"};

std::string encodeBooking(const BookingRecord &record) {
  json::object head{
      {"state", StateNames[static_cast<std::size_t>(record.State)]},
      {"owner", record.Owner},
      {"writeId", record.WriteId},
      {"key", record.Key},
      {"fingerprint", record.Fingerprint},
      {"expiresMs", record.ExpiresMs}};
  if (record.State != BookingState::Answered)
    return json::serialize(head) + "\n";
  json::array headers;
  for (const auto &[name, value] : record.Answer.Headers)
    headers.push_back(json::array{name, value});
  head["status"] = record.Answer.Status;
  head["headers"] = std::move(headers);
  return json::serialize(head) + "\n" + record.Answer.Body;
}

static bool readString(const json::object &o, const char *name,
                       std::string &out) {
  const json::value *it = o.if_contains(name);
  if (!it || !it->is_string())
    return false;
  out = std::string(it->get_string());
  return true;
}

static bool readAnswer(const json::object &o, platform::HttpResponse &answer) {
  const json::value *status = o.if_contains("status");
  const json::value *headers = o.if_contains("headers");
  if (!status || !status->is_int64() || !headers || !headers->is_array())
    return false;
  std::int64_t code = status->get_int64();
  if (code < 200 || code > 999)
    return false;
  answer.Status = static_cast<unsigned>(code);
  for (const json::value &it : headers->get_array()) {
    const json::array *pair = it.if_array();
    if (!pair || pair->size() != 2 || !pair->at(0).is_string() ||
        !pair->at(1).is_string())
      return false;
    answer.Headers.emplace_back(pair->at(0).get_string(),
                                pair->at(1).get_string());
  }
  return true;
}

base::Result<BookingRecord> decodeBooking(const std::string &text) {
  std::size_t end = text.find('\n');
  boost::system::error_code ec;
  json::parse_options options;
  // Header values may contain arbitrary bytes.
  options.allow_invalid_utf8 = true;
  json::value head = end == std::string::npos
                         ? json::value()
                         : json::parse(text.substr(0, end), ec, {}, options);
  const json::object *o = head.if_object();
  BookingRecord record;
  std::string state;
  if (ec || !o || !readString(*o, "state", state) ||
      !readString(*o, "owner", record.Owner) ||
      !readString(*o, "writeId", record.WriteId) ||
      !readString(*o, "key", record.Key) ||
      !readString(*o, "fingerprint", record.Fingerprint))
    return fail(Errc::ParseFailed, "malformed booking record");
  auto it = std::ranges::find(StateNames, state);
  const json::value *expires = o->if_contains("expiresMs");
  if (it == StateNames.end() || !expires || !expires->is_int64())
    return fail(Errc::ParseFailed, "malformed booking record");
  record.State = static_cast<BookingState>(it - StateNames.begin());
  record.ExpiresMs = expires->get_int64();
  if (record.State == BookingState::Answered) {
    if (!readAnswer(*o, record.Answer))
      return fail(Errc::ParseFailed, "malformed answer in a booking record");
    record.Answer.Body = text.substr(end + 1);
  }
  return record;
}

} // namespace endivedoor::server::detail
