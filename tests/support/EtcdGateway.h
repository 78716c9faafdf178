/// \file
/// The etcd v3 JSON gateway over a MemoryStore, for the stand-in store and
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

  /// Answers one call as etcd's gateway does; a lost answer closes the
  /// connection.
  Awaitable<HttpResponse> handle(HttpRequest request) {
    auto body = platform::parseJson(request.Body);
    if (!body)
      co_return error(400, 3, body.error().Detail);
    std::string fault;
    JsonView view(body.value(), fault);
    const std::string &path = request.Path;
    if (path == "/v3/kv/txn")
      co_return co_await txn(readTxn(view), fault);
    if (path == "/v3/kv/range" || path == "/v3/kv/put" ||
        path == "/v3/kv/deleterange")
      co_return co_await single(path, view, fault);
    if (path.starts_with("/v3/lease/"))
      co_return co_await lease(path, view, fault);
    co_return error(404, 5, "Not Found");
  }

  static HttpResponse error(unsigned status, int code, std::string text) {
    return jsonAnswer(status,
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

  json::object rangeAnswer(const std::vector<Entry> &entries) const {
    json::object answer{{"header", header()}};
    // The gateway leaves out empty and zero fields.
    if (entries.empty())
      return answer;
    json::array list;
    for (const Entry &it : entries) {
      json::object kv{{"key", absl::Base64Escape(it.Key)},
                      {"create_revision", number(it.CreateRevision)},
                      {"mod_revision", number(it.ModRevision)}};
      if (!it.Value.empty())
        kv["value"] = absl::Base64Escape(it.Value);
      list.push_back(std::move(kv));
    }
    answer["count"] = number(static_cast<std::int64_t>(entries.size()));
    answer["kvs"] = std::move(list);
    return answer;
  }

  /// Turns an error of the store into the answer that a client would see.
  static HttpResponse failure(const base::Error &e) {
    if (e.Code == base::Errc::StoreAnswerLost)
      return noAnswer();
    if (e.Code == base::Errc::StoreUnavailable)
      return error(503, 14, "etcdserver: no leader");
    bool isMissing = e.Detail == "requested lease not found";
    return error(isMissing ? 404 : 400, isMissing ? 5 : 3,
                 "etcdserver: " + e.Detail);
  }

  Awaitable<HttpResponse> txn(platform::StoreTxn request, std::string fault) {
    if (!fault.empty())
      co_return error(400, 3, fault);
    auto result = co_await Store.txn(request);
    if (!result)
      co_return failure(result.error());
    json::object answer{{"header", header()}};
    if (result.value().Succeeded)
      answer["succeeded"] = true;
    json::array responses;
    std::size_t range = 0;
    for (const Op &op :
         result.value().Succeeded ? request.Success : request.Failure) {
      json::object item;
      if (op.OpKind == Op::Kind::Range)
        item["response_range"] = rangeAnswer(result.value().Ranges[range++]);
      else
        item[op.OpKind == Op::Kind::Put ? "response_put"
                                        : "response_delete_range"] =
            json::object{{"header", header()}};
      responses.push_back(std::move(item));
    }
    if (!responses.empty())
      answer["responses"] = std::move(responses);
    co_return jsonAnswer(200, answer);
  }

  Awaitable<HttpResponse> single(std::string path, JsonView view,
                                 const std::string &fault) {
    if (path == "/v3/kv/range") {
      Op op = readOp(Op::Kind::Range, view);
      if (!fault.empty())
        co_return error(400, 3, fault);
      auto entries = co_await Store.range(op.Key, op.RangeEnd, op.Limit);
      if (!entries)
        co_return failure(entries.error());
      co_return jsonAnswer(200, rangeAnswer(entries.value()));
    }
    platform::StoreTxn request;
    bool isPut = path == "/v3/kv/put";
    request.Success.push_back(
        readOp(isPut ? Op::Kind::Put : Op::Kind::Delete, view));
    if (!fault.empty())
      co_return error(400, 3, fault);
    auto result = co_await Store.txn(request);
    if (!result)
      co_return failure(result.error());
    json::object answer{{"header", header()}};
    co_return jsonAnswer(200, answer);
  }

  Awaitable<HttpResponse> lease(std::string path, JsonView view,
                                const std::string &fault) {
    platform::LeaseId id{view.protoNumber("ID")};
    std::chrono::seconds ttl(view.protoNumber("TTL", 0, 1'000'000));
    if (!fault.empty())
      co_return error(400, 3, fault);
    if (path == "/v3/lease/grant") {
      auto granted = co_await Store.grantLease(ttl);
      if (!granted)
        co_return failure(granted.error());
      json::object answer{
          {"header", header()},
          {"ID", number(static_cast<std::int64_t>(granted.value()))},
          {"TTL", number(ttl.count())}};
      co_return jsonAnswer(200, answer);
    }
    bool isRevoke = path == "/v3/lease/revoke";
    if (!isRevoke && path != "/v3/lease/keepalive")
      co_return error(404, 5, "Not Found");
    // g++ 12 miscompiles co_await inside a conditional expression.
    base::Result<void> done = base::success();
    if (isRevoke)
      done = co_await Store.revokeLease(id);
    else
      done = co_await Store.keepAlive(id);
    if (!done && (isRevoke || done.error().Code != base::Errc::StoreRejected))
      co_return failure(done.error());
    json::object answer{{"header", header()}};
    if (isRevoke)
      co_return jsonAnswer(200, answer);
    answer["ID"] = number(static_cast<std::int64_t>(id));
    if (done)
      answer["TTL"] = number(Store.leaseTtl(id).count());
    json::object wrapped;
    wrapped["result"] = std::move(answer);
    co_return jsonAnswer(200, wrapped);
  }

  platform::MemoryStore &Store;
};

} // namespace endivedoor::standin

#endif
