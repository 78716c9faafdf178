/// \file
/// Umbrella header of the package server.
#ifndef ENDIVEDOOR_SERVER_SERVER_H
#define ENDIVEDOOR_SERVER_SERVER_H

#include "endivedoor/server/Balancer.h"
#include "endivedoor/server/Bookings.h"
#include "endivedoor/server/CallerServer.h"
#include "endivedoor/server/ConnectionShare.h"
#include "endivedoor/server/JobEndpoints.h"
#include "endivedoor/server/Metrics.h"
#include "endivedoor/server/OperatorServer.h"
#include "endivedoor/server/RetryBudget.h"
#include "endivedoor/server/RouteTable.h"
#include "endivedoor/server/TargetPoller.h"

#endif
