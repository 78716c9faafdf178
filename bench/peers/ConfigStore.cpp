#include "ConfigStore.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <cstdlib>
#include <iostream>
#include <pthread.h>
#include <time.h>

namespace endivedoor::bench {

namespace json = boost::json;

std::size_t wireBytes(const platform::HttpHeaders &headers,
                      const std::string &body, std::size_t firstLine) {
  // Host or Server, Connection and Content-Length are added by the adapters.
  std::size_t bytes = firstLine + 60 + body.size();
  for (const auto &[key, value] : headers)
    bytes += key.size() + value.size() + 4;
  return bytes;
}

static platform::HttpServerOptions serverOptions() {
  platform::HttpServerOptions options;
  options.Listen = {"127.0.0.1", 0};
  return options;
}

ConfigStore::ConfigStore()
    : Server(Io.get_executor(), serverOptions(),
             [this](platform::HttpRequest request) {
               return answer(std::move(request));
             }) {
  if (auto started = Server.start(); !started) {
    std::cerr << started.error().message() << "\n";
    std::exit(1);
  }
  Thread = std::thread([this] { Io.run(); });
}

ConfigStore::~ConfigStore() {
  Io.stop();
  Thread.join();
}

model::Address ConfigStore::address() const {
  return {"127.0.0.1", Server.port()};
}

void ConfigStore::put(std::uint64_t version, std::string text) {
  std::lock_guard lock(Mutex);
  Version = version;
  Document = std::move(text);
}

double ConfigStore::processorSeconds() const {
  clockid_t id;
  timespec time{};
  auto handle = const_cast<std::thread &>(Thread).native_handle();
  if (pthread_getcpuclockid(handle, &id) != 0)
    return 0;
  clock_gettime(id, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

boost::asio::awaitable<platform::HttpResponse>
ConfigStore::answer(platform::HttpRequest request) {
  ++Calls;
  boost::system::error_code ec;
  json::value body = json::parse(request.Body, ec);
  std::lock_guard lock(Mutex);
  std::string known = std::to_string(Version);
  bool same = !ec && body.at("compare").at(0).at("mod_revision") ==
                         json::string_view(known);
  json::object reply{{"header", {{"revision", known}}}, {"succeeded", same}};
  if (!same)
    reply["responses"] = json::array{json::object{
        {"response_range",
         {{"kvs", json::array{json::object{{"mod_revision", known},
                                           {"value", Document}}}}}}}};
  co_return platform::HttpResponse{
      200, {{"Content-Type", "application/json"}}, json::serialize(reply)};
}

} // namespace endivedoor::bench
