/// \file
/// The etcd v3 JSON gateway backed by a MemoryStore, for the stand-in store and
/// tests.
#ifndef ENDIVEDOOR_TESTS_SUPPORT_ETCDGATEWAY_H
#define ENDIVEDOOR_TESTS_SUPPORT_ETCDGATEWAY_H

#include "Standin.h"

#include "endivedoor/platform/MemoryStore.h"

#include <absl/strings/escaping.h>

namespace endivedoor::standin {

class EtcdGateway {
public:
  explicit EtcdGateway(platform::MemoryStore &store) : Store(store) {}

  /// Handles one call as etcd's gateway does. A lost response is simulated by
  /// closing the connection.
  Awaitable<HttpResponse> handle(HttpRequest request) {
    auto body = platform::parseJson(request.Body);
    if (!body)
      co_return errorResponse(400, 3, body.error().Detail);
    std::string parseError;
    JsonView view(body.value(), parseError);
    const std::string &path = request.Path;
    if (path == "/v3/kv/txn")
      co_return co_await txn(readTxn(view), parseError);
    if (path == "/v3/kv/range" || path == "/v3/kv/put" ||
        path == "/v3/kv/deleterange")
      co_return co_await singleOperation(path, view, parseError);
    if (path.starts_with("/v3/lease/"))
      co_return co_await lease(path, view, parseError);
    co_return errorResponse(404, 5, "Not Found");
  }

  static HttpResponse errorResponse(unsigned status, int code,
                                    std::string text) {
    return jsonResponse(status,
                        {{"error", text}, {"code", code}, {"message", text}});
  }

private:
  using Op = platform::StoreOp;
  using Entry = platform::StoreEntry;
  using Compare = platform::StoreCompare;

  static json::value number(std::int64_t n) {
    return json::value(std::to_string(n));
  }

  static Op readOp(Op::Kind kind, const JsonView &view) {
    Op op;
    op.OpKind = kind;
    op.Key = view.protoBytes("key");
    op.Value = view.protoBytes("value");
    op.RangeEnd = view.protoBytes("range_end");
    op.Lease = platform::LeaseId{view.protoNumber("lease")};
    op.Limit = view.protoNumber("limit");
    return op;
  }

  static std::vector<Op> readOps(const JsonView &view, std::string_view key) {
    std::vector<Op> ops;
    for (const JsonView &it : view.list(key, 100000)) {
      if (it.has("request_put"))
        ops.push_back(readOp(Op::Kind::Put, it.object("request_put")));
      else if (it.has("request_delete_range"))
        ops.push_back(
            readOp(Op::Kind::Delete, it.object("request_delete_range")));
      else
        ops.push_back(readOp(Op::Kind::Range, it.object("request_range")));
    }
    return ops;
  }

  static platform::StoreTxn readTxn(const JsonView &view) {
    platform::StoreTxn txn;
    for (const JsonView &it : view.list("compare", 100000)) {
      bool create = it.text("target") == "CREATE";
      if (it.text("result") != "EQUAL")
        it.setError("result", "is not served here");
      txn.Compares.push_back(
          {it.protoBytes("key"),
           create ? Compare::Field::CreateRevision
                  : Compare::Field::ModRevision,
           it.protoNumber(create ? "create_revision" : "mod_revision")});
    }
    txn.Success = readOps(view, "success");
    txn.Failure = readOps(view, "failure");
    return txn;
  }

  json::object header() const {
    return {{"cluster_id", "1"},
            {"member_id", "1"},
            {"revision", std::to_string(Store.revision())},
            {"raft_term", "1"}};
  }

  json::object rangeResponse(const std::vector<Entry> &entries) const {
    json::object response{{"header", header()}};
    // The gateway omits empty and zero fields.
    if (entries.empty())
      return response;
    json::array list;
    for (const Entry &it : entries) {
      json::object kv{{"key", absl::Base64Escape(it.Key)},
                      {"create_revision", number(it.CreateRevision)},
                      {"mod_revision", number(it.ModRevision)}};
      if (!it.Value.empty())
        kv["value"] = absl::Base64Escape(it.Value);
      list.push_back(std::move(kv));
    }
    response["count"] = number(static_cast<std::int64_t>(entries.size()));
    response["kvs"] = std::move(list);
    return response;
  }

  /// Maps a store error to the response that a client would receive.
  static HttpResponse storeErrorResponse(const base::Error &e) {
    if (e.Code == base::Errc::StoreAnswerLost)
      return closeWithoutResponse();
    if (e.Code == base::Errc::StoreUnavailable)
      return errorResponse(503, 14, "etcdserver: no leader");
    bool isMissing = e.Detail == "requested lease not found";
    return errorResponse(isMissing ? 404 : 400, isMissing ? 5 : 3,
                         "etcdserver: " + e.Detail);
  }

  Awaitable<HttpResponse> txn(platform::StoreTxn request,
                              std::string parseError) {
    if (!parseError.empty())
      co_return errorResponse(400, 3, parseError);
    auto result = co_await Store.txn(request);
    if (!result)
      co_return storeErrorResponse(result.error());
    json::object response{{"header", header()}};
    if (result.value().Succeeded)
      response["succeeded"] = true;
    json::array responses;
    std::size_t range = 0;
    for (const Op &op :
         result.value().Succeeded ? request.Success : request.Failure) {
      json::object item;
      if (op.OpKind == Op::Kind::Range)
        item["response_range"] = rangeResponse(result.value().Ranges[range++]);
      else
        item[op.OpKind == Op::Kind::Put ? "response_put"
                                        : "response_delete_range"] =
            json::object{{"header", header()}};
      responses.push_back(std::move(item));
    }
    if (!responses.empty())
      response["responses"] = std::move(responses);
    co_return jsonResponse(200, response);
  }

  Awaitable<HttpResponse> singleOperation(std::string path, JsonView view,
                                          const std::string &parseError) {
    if (path == "/v3/kv/range") {
      Op op = readOp(Op::Kind::Range, view);
      if (!parseError.empty())
        co_return errorResponse(400, 3, parseError);
      auto entries = co_await Store.range(op.Key, op.RangeEnd, op.Limit);
      if (!entries)
        co_return storeErrorResponse(entries.error());
      co_return jsonResponse(200, rangeResponse(entries.value()));
    }
    platform::StoreTxn request;
    bool isPut = path == "/v3/kv/put";
    request.Success.push_back(
        readOp(isPut ? Op::Kind::Put : Op::Kind::Delete, view));
    if (!parseError.empty())
      co_return errorResponse(400, 3, parseError);
    auto result = co_await Store.txn(request);
    if (!result)
      co_return storeErrorResponse(result.error());
    json::object response{{"header", header()}};
    co_return jsonResponse(200, response);
  }

  Awaitable<HttpResponse> lease(std::string path, JsonView view,
                                const std::string &parseError) {
    platform::LeaseId id{view.protoNumber("ID")};
    std::chrono::seconds ttl(view.protoNumber("TTL", 0, 1'000'000));
    if (!parseError.empty())
      co_return errorResponse(400, 3, parseError);
    if (path == "/v3/lease/grant") {
      auto granted = co_await Store.grantLease(ttl);
      if (!granted)
        co_return storeErrorResponse(granted.error());
      json::object response{
          {"header", header()},
          {"ID", number(static_cast<std::int64_t>(granted.value()))},
          {"TTL", number(ttl.count())}};
      co_return jsonResponse(200, response);
    }
    bool isRevoke = path == "/v3/lease/revoke";
    if (!isRevoke && path != "/v3/lease/keepalive")
      co_return errorResponse(404, 5, "Not Found");
    // g++ 12 miscompiles co_await inside a conditional expression.
    base::Result<void> done = base::success();
    if (isRevoke)
      done = co_await Store.revokeLease(id);
    else
      done = co_await Store.keepAlive(id);
    if (!done && (isRevoke || done.error().Code != base::Errc::StoreRejected))
      co_return storeErrorResponse(done.error());
    json::object response{{"header", header()}};
    if (isRevoke)
      co_return jsonResponse(200, response);
    response["ID"] = number(static_cast<std::int64_t>(id));
    if (done)
      response["TTL"] = number(Store.leaseTtl(id).count());
    json::object wrapped;
    wrapped["result"] = std::move(response);
    co_return jsonResponse(200, wrapped);
  }

  platform::MemoryStore &Store;
};

} // namespace endivedoor::standin

#endif
