/// \file
/// HTTP adapters of the platform's store, host list and workers.
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

/// Makes a client of the etcd v3 JSON gateway.
///
/// \param client must outlive the store. Its response limit must hold the
/// largest range in base64.
/// \param endpoints are tried in turn, from the one that answered last, until
/// one accepts the request; a request that left this process is not repeated.
/// \param timeout of each endpoint tried; a call lasts at most timeout times
/// endpoints.
/// \returns the store. A 5xx answer counts as StoreAnswerLost, because etcd
/// gives one also for a write that later takes effect; only "no leader" and
/// "too many requests" are StoreUnavailable.
std::unique_ptr<Store> makeEtcdStore(HttpClient &client,
                                     std::vector<model::Address> endpoints,
                                     std::chrono::milliseconds timeout);

/// Makes a client of the workers' HTTP interface.
///
/// \param client must outlive the worker client.
/// \param timeout of each call.
/// \returns the client. PlatformAnswerInvalid says nothing about the effect of
/// the call; treat it like WorkerAnswerLost.
std::unique_ptr<WorkerClient>
makeWorkerClient(HttpClient &client, std::chrono::milliseconds timeout);

/// Makes a client of the host list.
///
/// \param client must outlive the host list.
/// \param address of the platform's host list server.
/// \param timeout of each call.
std::unique_ptr<HostList> makeHostList(HttpClient &client,
                                       model::Address address,
                                       std::chrono::milliseconds timeout);

} // namespace endivedoor::platform

#endif
