#include "endivedoor/platform/Store.h"

namespace endivedoor::platform {

StoreOp StoreOp::put(std::string key, std::string value, LeaseId lease) {
  StoreOp op;
  op.OpKind = Kind::Put;
  op.Key = std::move(key);
  op.Value = std::move(value);
  op.Lease = lease;
  return op;
}

StoreOp StoreOp::remove(std::string key) {
  StoreOp op;
  op.OpKind = Kind::Delete;
  op.Key = std::move(key);
  return op;
}

StoreOp StoreOp::range(std::string key, std::string end, std::int64_t limit) {
  StoreOp op;
  op.OpKind = Kind::Range;
  op.Key = std::move(key);
  op.RangeEnd = std::move(end);
  op.Limit = limit;
  return op;
}

StoreOp StoreOp::rangePrefix(std::string prefix, std::int64_t limit) {
  std::string end = prefixEnd(prefix);
  return range(std::move(prefix), std::move(end), limit);
}

std::string prefixEnd(std::string prefix) {
  while (!prefix.empty()) {
    auto last = static_cast<unsigned char>(prefix.back());
    if (last < 0xff) {
      prefix.back() = static_cast<char>(last + 1);
      return prefix;
    }
    prefix.pop_back();
  }
  // No key is greater than all keys with this prefix. In etcd, a range end of a
  // single zero byte means that the range has no upper bound.
  return std::string(1, '\0');
}

} // namespace endivedoor::platform
