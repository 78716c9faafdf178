#include "detail/HttpCalls.h"

#include "endivedoor/platform/Adapters.h"

#include <absl/strings/numbers.h>
#include <boost/asio/ip/address.hpp>

#include <set>

namespace endivedoor::platform {

using base::Errc;
using base::fail;

constexpr std::size_t MaxHosts = 100'000;

/// Parses "ip:port"; IPv6 addresses may be in brackets.
static model::Address readAddress(const JsonView &host) {
  std::string text = host.text("address");
  model::Address address;
  std::size_t colon = text.rfind(':');
  std::uint32_t port = 0;
  boost::system::error_code ec = boost::asio::error::invalid_argument;
  if (colon != std::string::npos &&
      absl::SimpleAtoi(text.substr(colon + 1), &port)) {
    std::string ip = text.substr(0, colon);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
      ip = ip.substr(1, ip.size() - 2);
    address.Ip = boost::asio::ip::make_address(ip, ec).to_string();
  }
  if (ec || port < 1 || port > 65535)
    host.setError("address", "is not a numeric IP address with a port");
  address.Port = static_cast<std::uint16_t>(port);
  return address;
}

static std::vector<model::Worker> readHosts(const JsonView &response) {
  std::vector<model::Worker> workers;
  std::set<std::string> names;
  if (!response.has("hosts"))
    response.setError("hosts", "is missing");
  for (const JsonView &it : response.list("hosts", MaxHosts)) {
    model::Worker worker;
    worker.Id = base::WorkerId(it.text("name"));
    worker.Zone = base::ZoneId(it.text("zone"));
    worker.Rack = base::RackId(it.text("rack"));
    worker.Endpoint = readAddress(it);
    std::string state = it.text("state");
    worker.Leaving = state == "leaving";
    if (!worker.Leaving && state != "live")
      it.setError("state", "must be \"live\" or \"leaving\"");
    if (!names.insert(worker.Id.str()).second)
      it.setError("name", "is a duplicate");
    workers.push_back(std::move(worker));
  }
  return workers;
}

namespace {

class HttpHostList final : public HostList {
public:
  HttpHostList(HttpClient &client, model::Address address,
               std::chrono::milliseconds timeout)
      : Client(client), Server(std::move(address)), Timeout(timeout) {}

  Async<std::vector<model::Worker>> fetch() override {
    HttpRequest request;
    request.Path = "/v1/hosts";
    base::Result<HttpResponse> response =
        co_await Client.send(Server, std::move(request), Timeout);
    if (!response)
      co_return fail(Errc::HostListUnavailable, response.error().Detail);
    if (response.value().Status != 200)
      co_return fail(Errc::HostListUnavailable,
                     "HTTP status " + std::to_string(response.value().Status));
    co_return detail::parseResponse(response.value().Body, readHosts);
  }

private:
  HttpClient &Client;
  model::Address Server;
  std::chrono::milliseconds Timeout;
};

} // namespace

std::unique_ptr<HostList> makeHostList(HttpClient &client,
                                       model::Address address,
                                       std::chrono::milliseconds timeout) {
  return std::make_unique<HttpHostList>(client, std::move(address), timeout);
}

} // namespace endivedoor::platform
