/// \file
/// Store stand-in of the benchmark: serves one configuration through a
/// conditional read.
#ifndef ENDIVEDOOR_BENCH_PEERS_CONFIGSTORE_H
#define ENDIVEDOOR_BENCH_PEERS_CONFIGSTORE_H

#include "endivedoor/platform/HttpServer.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>

namespace endivedoor::bench {

/// Returns the bytes of a message on the wire, as Beast writes it.
std::size_t wireBytes(const platform::HttpHeaders &headers,
                      const std::string &body, std::size_t firstLine);

/// Answers POST /v3/kv/txn: the document if its revision differs from the one
/// compared, else an empty success. Runs on a thread of its own, whose
/// processor time is not the daemons'.
class ConfigStore {
public:
  ConfigStore();
  ~ConfigStore();

  void put(std::uint64_t version, std::string json);
  model::Address address() const;
  /// Seconds of processor time of the store's thread.
  double processorSeconds() const;

  std::atomic<std::uint64_t> Calls{0};

private:
  boost::asio::awaitable<platform::HttpResponse>
  answer(platform::HttpRequest request);

  mutable std::mutex Mutex;
  std::uint64_t Version = 0;
  std::string Document;
  boost::asio::io_context Io;
  platform::HttpServer Server;
  std::thread Thread;
};

} // namespace endivedoor::bench

#endif
