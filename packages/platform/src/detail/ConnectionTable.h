/// \file
/// The connections of an HttpServer, ordered by which is closed first for a new
/// one.
#ifndef ENDIVEDOOR_PLATFORM_DETAIL_CONNECTIONTABLE_H
#define ENDIVEDOOR_PLATFORM_DETAIL_CONNECTIONTABLE_H

#include "ServerConnection.h"

namespace endivedoor::platform::detail {

/// Time without progress after which a response may be broken off. Otherwise
/// clients that read nothing use up the budget for the whole ResponseTimeout.
inline constexpr auto StallTime = std::chrono::milliseconds(500);

/// Cost: constant for each call, except for forEachWaiting.
///
/// Not thread-safe.
class ConnectionTable {
public:
  /// Adds a connection that has just been accepted.
  void add(ServerConnection &c) {
    c.Queue = &Fresh;
    c.Place = Fresh.insert(Fresh.end(), &c);
  }
  void remove(ServerConnection &c) { c.Queue->erase(c.Place); }

  /// The connection waits for its next request.
  void beginWait(ServerConnection &c) {
    // A fresh connection keeps its place: it has waited since it was accepted.
    if (c.Served)
      move(c, Kept);
  }
  /// The first bytes of a request have arrived.
  void beginRequest(ServerConnection &c) { beginWait(c); }
  /// A part of a response is about to be written.
  void beginWrite(ServerConnection &c) {
    c.WriteProgress = std::chrono::steady_clock::now();
    move(c, Writing);
  }
  /// The request is complete or refused; a response follows.
  void beginWork(ServerConnection &c) { move(c, Busy); }
  /// A refused client gets time to read its response.
  void beginDiscard(ServerConnection &c) {
    move(c, Fresh);
    Fresh.splice(Fresh.begin(), Fresh, c.Place);
  }

  /// Returns the connection to close for a new one, or null. Those without a
  /// complete request come first, then those that wait for another one, both
  /// in the order in which they began to wait, then those whose client has
  /// taken nothing of a response for StallTime. Never one with a request in
  /// progress.
  ServerConnection *leastUseful(const ServerConnection *except) const {
    for (const Queue *queue : {&Fresh, &Kept}) {
      auto it = queue->begin();
      if (it != queue->end() && *it == except)
        ++it;
      if (it != queue->end())
        return *it;
    }
    ServerConnection *stalled = Writing.empty() ? nullptr : Writing.front();
    if (stalled && stalled != except &&
        std::chrono::steady_clock::now() - stalled->WriteProgress >= StallTime)
      return stalled;
    return nullptr;
  }

  /// Closes a connection. It counts as open no longer, and leaves the table
  /// once its coroutine ends.
  void close(ServerConnection &c) {
    move(c, Closing);
    c.Closed = true;
    c.Held.resize(0);
    c.close();
  }

  /// Calls \p f for all connections that wait for or read a request; \p f may
  /// close the connection.
  template <typename F> void forEachWaiting(const F &f) {
    for (Queue *queue : {&Fresh, &Kept})
      for (auto it = queue->begin(); it != queue->end();)
        f(**it++);
  }

  std::size_t openCount() const {
    return Fresh.size() + Kept.size() + Busy.size() + Writing.size();
  }
  std::size_t size() const { return openCount() + Closing.size(); }

private:
  using Queue = std::list<ServerConnection *>;

  static void move(ServerConnection &c, Queue &to) {
    to.splice(to.end(), *c.Queue, c.Place);
    c.Queue = &to;
  }

  /// Without a complete request.
  Queue Fresh;
  /// Wait for or read a further request.
  Queue Kept;
  /// A handler runs or a response follows.
  Queue Busy;
  /// A response is being written; the one without progress for longest first.
  Queue Writing;
  Queue Closing;
};

} // namespace endivedoor::platform::detail

#endif
