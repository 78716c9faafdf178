/// \file
/// HTTP clients of the platform's store, host list and workers.
#ifndef ENDIVEDOOR_PLATFORM_ADAPTERS_H
#define ENDIVEDOOR_PLATFORM_ADAPTERS_H

#include "endivedoor/platform/HostList.h"
#include "endivedoor/platform/HttpClient.h"
#include "endivedoor/platform/Store.h"
#include "endivedoor/platform/WorkerClient.h"

#include <chrono>
#include <memory>
#include <vector>

namespace endivedoor::platform {

/// Creates a client of the etcd v3 JSON gateway.
///
/// \param client must outlive the store. Its response limit must be large
/// enough for the largest range in base64.
/// \param endpoints are tried in order, starting with the one that responded
/// last. A request is retried at the next endpoint only if no byte of it was
/// sent.
/// \param timeout for each endpoint tried; a call takes at most \p timeout
/// times the number of endpoints.
/// \returns the store. A 5xx response is reported as StoreAnswerLost, because
/// etcd also returns one for a write that takes effect later; only "no leader"
/// and "too many requests" are reported as StoreUnavailable.
std::unique_ptr<Store> makeEtcdStore(HttpClient &client,
                                     std::vector<model::Address> endpoints,
                                     std::chrono::milliseconds timeout);

/// Creates a client of the workers' HTTP interface.
///
/// \param client must outlive the worker client.
/// \param timeout for each call.
/// \returns the client. After PlatformAnswerInvalid it is unknown whether the
/// call took effect; handle it like WorkerAnswerLost.
std::unique_ptr<WorkerClient>
makeWorkerClient(HttpClient &client, std::chrono::milliseconds timeout);

/// Creates a client of the host list.
///
/// \param client must outlive the host list.
/// \param address of the platform's host list server.
/// \param timeout for each call.
std::unique_ptr<HostList> makeHostList(HttpClient &client,
                                       model::Address address,
                                       std::chrono::milliseconds timeout);

} // namespace endivedoor::platform

#endif
