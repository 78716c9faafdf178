/// \file
/// One connection of an HttpServer, with the time limit of its current phase.
#ifndef ENDIVEDOOR_PLATFORM_DETAIL_SERVERCONNECTION_H
#define ENDIVEDOOR_PLATFORM_DETAIL_SERVERCONNECTION_H

#include "MessageReader.h"

#include "endivedoor/platform/ByteBudget.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <list>
#include <memory>

namespace endivedoor::platform::detail {

namespace asio = boost::asio;

/// Not thread-safe.
struct ServerConnection : std::enable_shared_from_this<ServerConnection> {
  using TimePoint = std::chrono::steady_clock::time_point;

  ServerConnection(asio::ip::tcp::socket socket, const HttpLimits &limits,
                   std::shared_ptr<ByteBudget> budget)
      : Socket(std::move(socket)), Buffer(maxBufferBytes(limits)),
        Held(std::move(budget)), Timer(Socket.get_executor()) {}

  asio::ip::tcp::socket Socket;
  beast::flat_buffer Buffer;
  /// What the connection and its request or response use.
  ByteBudget::Share Held;
  /// No byte of a request has been read since the last response.
  bool Idle = true;
  /// The server has closed the connection in favour of another one. An
  /// operation that had completed before does not report it.
  bool Closed = false;
  /// The memory for the request that is being read is needed otherwise.
  bool Displaced = false;
  /// Has sent a complete request.
  bool Served = false;
  /// Reads a request. The time limit then interrupts the read, so that an
  /// error response can still be sent; otherwise it closes the socket.
  bool Reading = false;
  /// The time limit has been exceeded.
  bool TimedOut = false;

  /// When the client last took bytes of the response that is being written.
  TimePoint WriteProgress{};
  /// The list of the ConnectionTable that holds the connection, and its place.
  std::list<ServerConnection *> *Queue = nullptr;
  std::list<ServerConnection *>::iterator Place;

  TimePoint deadline() const { return Deadline; }

  /// Sets the end of the current phase. The timer is only set anew for an
  /// earlier end; an expiry before a later one sets it again. Most requests
  /// thus need no operation of the timer.
  void setDeadline(TimePoint time) {
    TimedOut = false;
    Deadline = time;
    if (time < TimerEnd)
      startTimer();
  }

  /// For phases without a time limit.
  void clearDeadline() { setDeadline(TimePoint::max()); }

  /// Releases the memory of the read buffer.
  void releaseBuffer() {
    Buffer.clear();
    Buffer.shrink_to_fit();
  }

  /// Interrupts the reading of the request, which is then refused.
  void displace() {
    Displaced = true;
    boost::system::error_code ec;
    Socket.cancel(ec);
  }

  /// Closes the socket at once, which ends the operation in progress.
  void close() {
    boost::system::error_code ec;
    Socket.close(ec);
  }

private:
  void startTimer() {
    TimerEnd = Deadline;
    Timer.expires_at(Deadline);
    Timer.async_wait(
        [weak = weak_from_this()](const boost::system::error_code &ec) {
          if (auto self = weak.lock(); self && !ec)
            self->onTimer();
        });
  }

  void onTimer() {
    TimerEnd = TimePoint::max();
    if (Deadline == TimePoint::max())
      return;
    if (std::chrono::steady_clock::now() < Deadline)
      return startTimer();
    TimedOut = true;
    boost::system::error_code ec;
    if (Reading)
      Socket.cancel(ec);
    else
      close();
  }

  asio::steady_timer Timer;
  TimePoint Deadline = TimePoint::max();
  /// When the timer expires.
  TimePoint TimerEnd = TimePoint::max();
};

} // namespace endivedoor::platform::detail

#endif
