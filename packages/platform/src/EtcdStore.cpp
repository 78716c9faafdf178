#include "detail/HttpCalls.h"

#include "endivedoor/platform/Adapters.h"

#include <absl/strings/escaping.h>

namespace endivedoor::platform {

namespace json = boost::json;
using base::Errc;
using base::fail;

// gRPC status codes, which the gateway forwards in its error responses.
constexpr std::int64_t GrpcResourceExhausted = 8;
constexpr std::int64_t GrpcUnavailable = 14;
/// Maximum number of entries accepted in one response.
constexpr std::size_t MaxEntries = 1'000'000;

static json::value base64(const std::string &bytes) {
  return json::value(absl::Base64Escape(bytes));
}

static json::value protoInt(std::int64_t n) {
  return json::value(std::to_string(n));
}

static json::object numberBody(std::string_view key, std::int64_t n) {
  json::object body;
  body[key] = protoInt(n);
  return body;
}

static json::object rangeBody(const std::string &key, const std::string &end,
                              std::int64_t limit) {
  json::object body{{"key", base64(key)}};
  if (!end.empty())
    body["range_end"] = base64(end);
  if (limit > 0)
    body["limit"] = protoInt(limit);
  return body;
}

static json::object opBody(const StoreOp &op) {
  if (op.OpKind == StoreOp::Kind::Range)
    return {{"request_range", rangeBody(op.Key, op.RangeEnd, op.Limit)}};
  if (op.OpKind == StoreOp::Kind::Delete)
    return {{"request_delete_range", rangeBody(op.Key, op.RangeEnd, 0)}};
  json::object put{{"key", base64(op.Key)}, {"value", base64(op.Value)}};
  if (op.Lease != LeaseId{0})
    put["lease"] = protoInt(static_cast<std::int64_t>(op.Lease));
  return {{"request_put", std::move(put)}};
}

static json::array opBodies(const std::vector<StoreOp> &ops) {
  json::array list;
  for (const StoreOp &op : ops)
    list.push_back(opBody(op));
  return list;
}

static json::object txnBody(const StoreTxn &request) {
  json::array compares;
  for (const StoreCompare &it : request.Compares) {
    bool create = it.ComparedField == StoreCompare::Field::CreateRevision;
    compares.push_back(
        json::object{{"result", "EQUAL"},
                     {"target", create ? "CREATE" : "MOD"},
                     {"key", base64(it.Key)},
                     {create ? "create_revision" : "mod_revision",
                      protoInt(it.ExpectedRevision)}});
  }
  return {{"compare", std::move(compares)},
          {"success", opBodies(request.Success)},
          {"failure", opBodies(request.Failure)}};
}

/// Reads the entries of a range and checks that they are within the requested
/// range and in ascending order.
static std::vector<StoreEntry> readEntries(const JsonView &response,
                                           const std::string &key,
                                           const std::string &end,
                                           std::int64_t limit) {
  std::vector<StoreEntry> entries;
  bool unlimited = end == std::string(1, '\0');
  for (const JsonView &it : response.list("kvs", MaxEntries)) {
    StoreEntry entry{it.protoBytes("key"), it.protoBytes("value"),
                     it.protoNumber("create_revision", 1),
                     it.protoNumber("mod_revision", 1)};
    bool inRange = end.empty()
                       ? entry.Key == key
                       : entry.Key >= key && (unlimited || entry.Key < end);
    if (!inRange || (!entries.empty() && entry.Key <= entries.back().Key))
      it.setError("key", "is outside the requested range or out of order");
    if (entry.CreateRevision < 1 || entry.ModRevision < entry.CreateRevision)
      it.setError("mod_revision", "is missing or less than create_revision");
    entries.push_back(std::move(entry));
  }
  if (limit > 0 && entries.size() > static_cast<std::size_t>(limit))
    response.setError("kvs", "contains more entries than the limit");
  return entries;
}

static StoreTxnResult readTxn(const JsonView &response,
                              const StoreTxn &request) {
  StoreTxnResult result;
  result.Revision = response.object("header").protoNumber("revision", 1);
  result.Succeeded = response.flag("succeeded");
  const std::vector<StoreOp> &ops =
      result.Succeeded ? request.Success : request.Failure;
  std::vector<JsonView> responses = response.list("responses", ops.size());
  if (responses.size() != ops.size()) {
    response.setError("responses", "does not match the number of operations");
    return result;
  }
  for (std::size_t i = 0; i < ops.size(); ++i) {
    const StoreOp &op = ops[i];
    if (op.OpKind == StoreOp::Kind::Put)
      responses[i].object("response_put");
    else if (op.OpKind == StoreOp::Kind::Delete)
      responses[i].object("response_delete_range");
    else
      result.Ranges.push_back(readEntries(responses[i].object("response_range"),
                                          op.Key, op.RangeEnd, op.Limit));
  }
  return result;
}

/// Returns the error for a response with a status other than 200.
static base::Error errorFromResponse(const HttpResponse &response) {
  std::string error;
  std::string message;
  std::int64_t code = 0;
  if (base::Result<json::value> body = parseJson(response.Body)) {
    JsonView view(body.value(), error);
    message = view.optionalText("message", 1024);
    code = view.optionalNumber("code", 0, 1000);
  }
  std::string detail = std::to_string(response.Status) + " " + message;
  bool hadNoEffect =
      (code == GrpcUnavailable && message == "etcdserver: no leader") ||
      (code == GrpcResourceExhausted &&
       message == "etcdserver: too many requests");
  if (hadNoEffect)
    return {Errc::StoreUnavailable, detail};
  if (response.Status >= 500)
    return {Errc::StoreAnswerLost, detail};
  if (response.Status >= 400)
    return {Errc::StoreRejected, detail};
  return {Errc::PlatformAnswerInvalid, detail};
}

namespace {

class EtcdStore final : public Store {
public:
  EtcdStore(HttpClient &client, std::vector<model::Address> endpoints,
            std::chrono::milliseconds timeout)
      : Client(client), Endpoints(std::move(endpoints)), Timeout(timeout) {}

  Async<StoreTxnResult> txn(StoreTxn request) override;
  Async<std::vector<StoreEntry>> range(std::string key, std::string end,
                                       std::int64_t limit) override;
  Async<LeaseId> grantLease(std::chrono::seconds ttl) override;
  Async<void> keepAlive(LeaseId lease) override;
  Async<void> revokeLease(LeaseId lease) override;
  StoreCallCounts counts() const override { return Counts; }

private:
  Async<std::string> call(std::string path, json::object body);

  HttpClient &Client;
  std::vector<model::Address> Endpoints;
  std::chrono::milliseconds Timeout;
  std::size_t PreferredEndpoint = 0;
  StoreCallCounts Counts;
};

Async<std::string> EtcdStore::call(std::string path, json::object body) {
  HttpRequest request = detail::jsonPost(std::move(path), std::move(body));
  std::string detail = "no endpoint is configured";
  std::size_t first = PreferredEndpoint;
  for (std::size_t i = 0; i < Endpoints.size(); ++i) {
    std::size_t n = (first + i) % Endpoints.size();
    base::Result<HttpResponse> response =
        co_await Client.send(Endpoints[n], request, Timeout);
    if (response) {
      PreferredEndpoint = n;
      if (response.value().Status != 200)
        co_return boost::outcome_v2::failure(
            errorFromResponse(response.value()));
      co_return std::move(response.value().Body);
    }
    PreferredEndpoint = (n + 1) % Endpoints.size();
    detail = response.error().Detail;
    if (response.error().Code != Errc::HttpNotSent)
      co_return fail(Errc::StoreAnswerLost, detail);
  }
  co_return fail(Errc::StoreUnavailable, detail);
}

Async<StoreTxnResult> EtcdStore::txn(StoreTxn request) {
  ++Counts.Txn;
  BOOST_OUTCOME_CO_TRY(std::string body,
                       co_await call("/v3/kv/txn", txnBody(request)));
  co_return detail::parseResponse(
      body, [&](const JsonView &it) { return readTxn(it, request); });
}

Async<std::vector<StoreEntry>>
EtcdStore::range(std::string key, std::string end, std::int64_t limit) {
  ++Counts.Range;
  BOOST_OUTCOME_CO_TRY(
      std::string body,
      co_await call("/v3/kv/range", rangeBody(key, end, limit)));
  co_return detail::parseResponse(body, [&](const JsonView &it) {
    return readEntries(it, key, end, limit);
  });
}

Async<LeaseId> EtcdStore::grantLease(std::chrono::seconds ttl) {
  ++Counts.Grant;
  BOOST_OUTCOME_CO_TRY(
      std::string body,
      co_await call("/v3/lease/grant", numberBody("TTL", ttl.count())));
  co_return detail::parseResponse(body, [&](const JsonView &it) {
    std::int64_t id = it.protoNumber("ID", 1);
    // With a shorter lease, another daemon could take over while this one
    // still assumes that it holds the lease.
    if (id < 1 || it.protoNumber("TTL", 1) < ttl.count())
      it.setError("TTL", "is missing or shorter than requested");
    return LeaseId{id};
  });
}

Async<void> EtcdStore::keepAlive(LeaseId lease) {
  ++Counts.KeepAlive;
  auto id = static_cast<std::int64_t>(lease);
  BOOST_OUTCOME_CO_TRY(std::string body, co_await call("/v3/lease/keepalive",
                                                       numberBody("ID", id)));
  auto ttl = detail::parseResponse(body, [&](const JsonView &it) {
    JsonView result = it.object("result");
    if (result.protoNumber("ID") != id)
      result.setError("ID", "belongs to another lease");
    return result.protoNumber("TTL", -1);
  });
  if (!ttl)
    co_return boost::outcome_v2::failure(ttl.error());
  // For an expired lease, the gateway returns status 200 without a TTL.
  if (ttl.value() <= 0)
    co_return fail(Errc::StoreRejected, "requested lease not found");
  co_return base::success();
}

Async<void> EtcdStore::revokeLease(LeaseId lease) {
  ++Counts.Revoke;
  auto id = static_cast<std::int64_t>(lease);
  BOOST_OUTCOME_CO_TRY(std::string body,
                       co_await call("/v3/lease/revoke", numberBody("ID", id)));
  auto revision = detail::parseResponse(body, [](const JsonView &it) {
    return it.object("header").protoNumber("revision");
  });
  if (!revision)
    co_return boost::outcome_v2::failure(revision.error());
  co_return base::success();
}

} // namespace

std::unique_ptr<Store> makeEtcdStore(HttpClient &client,
                                     std::vector<model::Address> endpoints,
                                     std::chrono::milliseconds timeout) {
  return std::make_unique<EtcdStore>(client, std::move(endpoints), timeout);
}

} // namespace endivedoor::platform
