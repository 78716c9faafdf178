#include "endivedoor/peer/PeerNode.h"

#include "detail/ZmqTransport.h"

#include "endivedoor/peer/detail/Codec.h"
#include "endivedoor/peer/detail/ConfigDistributor.h"
#include "endivedoor/peer/detail/MemberTable.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace endivedoor::peer {

using base::EventCode;
using detail::ConfigMessage;
using detail::MessageDisposition;
using detail::PeerMessage;
using detail::Sender;

namespace {

/// Rejected messages are logged at most once per interval.
constexpr std::chrono::seconds RejectLogInterval{1};

std::uint64_t initialIncarnation(const base::Clock &clock) {
  auto since = clock.wallNow().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

} // namespace

struct PeerNode::Impl : std::enable_shared_from_this<PeerNode::Impl> {
  Impl(boost::asio::any_io_executor executor, const model::Settings &settings,
       base::HybridClock &hybridClock, const base::Clock &clock,
       base::EventLog &events, base::InstanceId instance)
      : Executor(std::move(executor)), Settings(settings),
        HybridClock(hybridClock), Clock(clock), Events(events),
        Instance(std::move(instance)), Timer(Executor),
        Members(Settings.Peers, Settings.Timing, clock.now()),
        Distributor(Settings.Zone,
                    [this] { return Members.members(Clock.now()); }),
        Incarnation(initialIncarnation(clock)) {}

  base::Result<void> start();
  void tick();
  void armTimer();
  void logChanges();
  void receive(std::string_view routingId, std::string_view bytes);
  void dispatch(const std::string &from, const PeerMessage &message);
  void handle(const std::string &from, const detail::Heartbeat &body);
  void handle(const std::string &from, const detail::ConfigRequest &body);
  void handle(const std::string &from, const detail::ConfigDocument &body);
  void handle(const std::string &from, const detail::StaleIncarnation &body);
  void reject(const base::Error &error, std::size_t bytes);
  std::string routingId() const {
    return detail::encodeSender({Settings.Name, Instance, Incarnation});
  }
  std::shared_ptr<const std::string> encode(decltype(PeerMessage::Body) body);
  bool send(const std::string &to, MessageKind kind,
            const std::shared_ptr<const std::string> &bytes);
  void sendHeartbeats();
  void sendAll(const std::vector<ConfigMessage> &messages);

  boost::asio::any_io_executor Executor;
  const model::Settings Settings;
  base::HybridClock &HybridClock;
  const base::Clock &Clock;
  base::EventLog &Events;
  const base::InstanceId Instance;
  boost::asio::steady_timer Timer;
  std::shared_ptr<detail::ZmqTransport> Transport;
  detail::MemberTable Members;
  detail::ConfigDistributor Distributor;
  MemberState State = MemberState::Joining;
  std::uint64_t Incarnation;
  std::function<void(std::string)> OnConfiguration;
  Counters Counts;
  std::optional<base::TimePoint> RejectLoggedAt;
};

base::Result<void> PeerNode::Impl::start() {
  detail::TransportOptions options;
  options.Listen = Settings.Peer;
  options.Peers = Settings.Peers;
  options.RoutingId = routingId();
  options.MaxMessageBytes = Settings.Limits.PeerMessageBytes;
  options.UnacknowledgedTimeout = Settings.Timing.PeerDead;
  Transport = std::make_shared<detail::ZmqTransport>(
      Executor, std::move(options),
      [self = weak_from_this()](std::string_view id, std::string_view bytes) {
        if (auto it = self.lock())
          it->receive(id, bytes);
      });
  std::shared_ptr<detail::ZmqTransport> transport = Transport;
  BOOST_OUTCOME_TRY(transport->open());
  Timer.expires_after(std::chrono::milliseconds(0));
  armTimer();
  return base::success();
}

void PeerNode::Impl::armTimer() {
  Timer.async_wait([self = weak_from_this()](boost::system::error_code ec) {
    auto it = self.lock();
    if (!it || ec || !it->Transport)
      return;
    it->tick();
    // Missed ticks are skipped, not made up for in a burst.
    auto now = boost::asio::steady_timer::clock_type::now();
    auto next = it->Timer.expiry() + it->Settings.Timing.Heartbeat;
    it->Timer.expires_at(std::max(next, now));
    it->armTimer();
  });
}

void PeerNode::Impl::tick() {
  // A handler may stop this node while messages are being received.
  std::shared_ptr<detail::ZmqTransport> transport = Transport;
  transport->receivePending();
  logChanges();
  sendHeartbeats();
  sendAll(Distributor.requestNewer(Clock.now()));
}

void PeerNode::Impl::logChanges() {
  for (const detail::MemberChange &it : Members.updateStates(Clock.now())) {
    if (it.NewRun)
      Events.emit(EventCode::PeerRunReplaced, {{"peer", it.Name}});
    if (it.From != it.To)
      Events.emit(EventCode::PeerStateChanged,
                  {{"peer", it.Name},
                   {"from", std::string(toText(it.From))},
                   {"to", std::string(toText(it.To))}});
  }
}

void PeerNode::Impl::reject(const base::Error &error, std::size_t bytes) {
  Counts.Rejected.add(bytes);
  base::TimePoint now = Clock.now();
  if (RejectLoggedAt && now - *RejectLoggedAt < RejectLogInterval)
    return;
  RejectLoggedAt = now;
  Events.emit(EventCode::PeerMessageRejected,
              {{"error", error.message()},
               {"rejected", std::to_string(Counts.Rejected.Messages)}});
}

void PeerNode::Impl::receive(std::string_view routingId,
                             std::string_view bytes) {
  base::WallTime wall = Clock.wallNow();
  base::Result<Sender> sender = detail::decodeSender(routingId, wall);
  if (!sender)
    return reject(sender.error(), bytes.size());
  base::Result<PeerMessage> message = detail::decode(bytes, wall);
  if (!message)
    return reject(message.error(), bytes.size());
  const std::string &from = sender.value().Name;
  switch (Members.receive(sender.value(), message.value(), Clock.now())) {
  case MessageDisposition::UnknownSender:
    return reject({base::Errc::PeerUnknown, from}, bytes.size());
  case MessageDisposition::Repeated:
    return Counts.Stale.add(bytes.size());
  case MessageDisposition::StaleRun:
    Counts.Stale.add(bytes.size());
    send(from, MessageKind::StaleIncarnation, encode(Members.latestRun(from)));
    return;
  case MessageDisposition::Accepted:
  case MessageDisposition::NewRun:
    Counts.Received[message.value().Body.index()].add(bytes.size());
    dispatch(from, message.value());
  }
}

void PeerNode::Impl::dispatch(const std::string &from,
                              const PeerMessage &message) {
  HybridClock.receive(message.Time);
  std::visit([&](const auto &body) { handle(from, body); }, message.Body);
}

void PeerNode::Impl::handle(const std::string &, const detail::Heartbeat &) {
  // The member table has already processed the heartbeat.
}

void PeerNode::Impl::handle(const std::string &from,
                            const detail::ConfigRequest &body) {
  sendAll(Distributor.answerRequest(from, body, Clock.now()));
}

void PeerNode::Impl::handle(const std::string &from,
                            const detail::ConfigDocument &body) {
  detail::ConfigDistributor::ReceiveResult result =
      Distributor.receive(from, body, Clock.now());
  sendAll(result.Messages);
  if (!result.IsNew)
    return;
  Events.emit(EventCode::ConfigurationReceived,
              {{"version", std::to_string(body.Version)}, {"peer", from}});
  if (OnConfiguration)
    OnConfiguration(body.Json);
}

void PeerNode::Impl::handle(const std::string &from,
                            const detail::StaleIncarnation &body) {
  if (body.KnownIncarnation < Incarnation || body.KnownInstance == Instance)
    return;
  Incarnation = body.KnownIncarnation + 1;
  Events.emit(EventCode::IncarnationRaised,
              {{"peer", from}, {"incarnation", std::to_string(Incarnation)}});
  if (Transport)
    Transport->reconnect(routingId());
}

std::shared_ptr<const std::string>
PeerNode::Impl::encode(decltype(PeerMessage::Body) body) {
  return std::make_shared<const std::string>(
      detail::encode({HybridClock.tick(), std::move(body)}));
}

bool PeerNode::Impl::send(const std::string &to, MessageKind kind,
                          const std::shared_ptr<const std::string> &bytes) {
  bool queued = Transport && Transport->send(to, bytes);
  auto &traffic = queued ? Counts.Sent : Counts.Dropped;
  traffic[static_cast<std::size_t>(kind)].add(bytes->size());
  return queued;
}

void PeerNode::Impl::sendHeartbeats() {
  auto bytes = encode(detail::Heartbeat{State, Distributor.activeVersion()});
  for (const model::PeerSettings &it : Settings.Peers)
    send(it.Name, MessageKind::Heartbeat, bytes);
}

void PeerNode::Impl::sendAll(const std::vector<ConfigMessage> &messages) {
  detail::SharedDocument encoded;
  std::shared_ptr<const std::string> bytes;
  for (const ConfigMessage &it : messages) {
    if (!it.Document) {
      Events.emit(EventCode::ConfigurationRequested, {{"peer", it.To}});
      send(it.To, MessageKind::ConfigRequest,
           encode(detail::ConfigRequest{Distributor.activeVersion()}));
      continue;
    }
    if (it.Document != encoded)
      bytes = encode(*it.Document);
    encoded = it.Document;
    if (!send(it.To, MessageKind::ConfigDocument, bytes))
      Distributor.sendFailed(it.To);
  }
}

PeerNode::PeerNode(boost::asio::any_io_executor executor,
                   const model::Settings &settings,
                   base::HybridClock &hybridClock, const base::Clock &clock,
                   base::EventLog &events, base::InstanceId instance)
    : Self(std::make_shared<Impl>(std::move(executor), settings, hybridClock,
                                  clock, events, std::move(instance))) {}

PeerNode::~PeerNode() { stop(); }

base::Result<void> PeerNode::start() { return Self->start(); }

void PeerNode::stop() {
  Self->Timer.cancel();
  if (Self->Transport)
    Self->Transport->close();
  Self->Transport.reset();
}

void PeerNode::setState(MemberState state) {
  if (state <= Self->State || state > MemberState::Leaving)
    return;
  Self->State = state;
  if (Self->Transport)
    Self->sendHeartbeats();
}

std::vector<Member> PeerNode::members() const {
  Member self;
  self.Name = Self->Settings.Name;
  self.Zone = Self->Settings.Zone;
  self.State = Self->State;
  self.Incarnation = Self->Incarnation;
  self.ConfigVersion = Self->Distributor.activeVersion();
  self.SinceLastMessage = std::chrono::milliseconds(0);
  std::vector<Member> all{std::move(self)};
  std::vector<Member> peers = Self->Members.members(Self->Clock.now());
  all.insert(all.end(), peers.begin(), peers.end());
  return all;
}

void PeerNode::publishConfiguration(std::uint64_t version, std::string json) {
  if (version <= Self->Distributor.activeVersion())
    return;
  std::vector<ConfigMessage> messages =
      Self->Distributor.publish(version, std::move(json), Self->Clock.now());
  Self->Events.emit(EventCode::ConfigurationPublished,
                    {{"version", std::to_string(version)},
                     {"peers", std::to_string(messages.size())}});
  Self->sendAll(messages);
}

void PeerNode::onConfiguration(std::function<void(std::string json)> handler) {
  Self->OnConfiguration = std::move(handler);
}

const Counters &PeerNode::counters() const { return Self->Counts; }

} // namespace endivedoor::peer
