/// \file
/// Umbrella header of the package peer.
#ifndef ENDIVEDOOR_PEER_PEER_H
#define ENDIVEDOOR_PEER_PEER_H

#include "endivedoor/peer/Counters.h"
#include "endivedoor/peer/Member.h"
#include "endivedoor/peer/PeerNode.h"

#endif
