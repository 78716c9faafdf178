#include "endivedoor/peer/detail/Codec.h"

#include "PeerMessage.pb.h"

#include "endivedoor/model/Scalars.h"

#include <boost/json/parse.hpp>

#include <algorithm>
#include <optional>

namespace endivedoor::peer {

std::string_view toText(MemberState state) {
  constexpr std::string_view texts[] = {"joining", "live", "leaving",
                                        "suspected", "dead"};
  return texts[static_cast<std::size_t>(state)];
}

namespace detail {

using base::Errc;
using base::Result;

namespace {

constexpr std::string_view ProtocolVersion = "1";
constexpr std::size_t MaxRoutingIdBytes = 255;
/// Leaves room for the receiver, which increments the counter. The counter only
/// grows within one microsecond of wall time or while the clock does not
/// advance.
constexpr std::uint32_t MaxLogicalCounter = 1U << 30;

auto invalidField(const char *field) {
  return base::fail(Errc::PeerMessageInvalid, field);
}

struct BodyWriter {
  wire::PeerMessage &To;
  void operator()(const Heartbeat &it) const {
    wire::Heartbeat *body = To.mutable_heartbeat();
    body->set_state(static_cast<wire::AnnouncedState>(
        static_cast<int>(it.State) + wire::STATE_JOINING));
    body->set_config_version(it.ConfigVersion);
  }
  void operator()(const ConfigRequest &it) const {
    To.mutable_config_request()->set_have_version(it.HaveVersion);
  }
  void operator()(const ConfigDocument &it) const {
    wire::ConfigDocument *body = To.mutable_config_document();
    body->set_version(it.Version);
    body->set_document(it.Json);
    body->set_forward(it.Forward);
  }
  void operator()(const StaleIncarnation &it) const {
    wire::StaleIncarnation *body = To.mutable_stale_incarnation();
    body->set_known_incarnation(it.KnownIncarnation);
    body->set_known_instance(it.KnownInstance.str());
  }
};

Result<void> checkDocument(const wire::ConfigDocument &it) {
  boost::system::error_code ec;
  boost::json::value json = boost::json::parse(it.document(), ec);
  if (ec || !json.is_object())
    return invalidField("document");
  const boost::json::value *version = json.as_object().if_contains("version");
  if (!version || !version->is_number() || it.version() == 0)
    return invalidField("version");
  auto number = version->to_number<std::uint64_t>(ec);
  if (ec || number != it.version())
    return invalidField("version");
  return base::success();
}

/// Returns the largest incarnation that is plausible given MaxClockSkew, in
/// milliseconds of wall time.
std::uint64_t maxIncarnation(base::WallTime now) {
  auto last = (now + MaxClockSkew).time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(last).count());
}

Result<void> readBody(const wire::PeerMessage &from, base::WallTime now,
                      PeerMessage &to) {
  switch (from.body_case()) {
  case wire::PeerMessage::kHeartbeat: {
    int state = from.heartbeat().state() - wire::STATE_JOINING;
    if (state < 0 || state > static_cast<int>(MemberState::Leaving))
      return invalidField("state");
    to.Body = Heartbeat{static_cast<MemberState>(state),
                        from.heartbeat().config_version()};
    return base::success();
  }
  case wire::PeerMessage::kConfigRequest:
    to.Body = ConfigRequest{from.config_request().have_version()};
    return base::success();
  case wire::PeerMessage::kConfigDocument: {
    const wire::ConfigDocument &it = from.config_document();
    BOOST_OUTCOME_TRY(checkDocument(it));
    to.Body = ConfigDocument{it.version(), it.document(), it.forward()};
    return base::success();
  }
  case wire::PeerMessage::kStaleIncarnation: {
    std::uint64_t known = from.stale_incarnation().known_incarnation();
    if (known == 0 || known > maxIncarnation(now))
      return invalidField("known_incarnation");
    const std::string &instance = from.stale_incarnation().known_instance();
    if (instance.empty() || instance.size() > MaxRoutingIdBytes)
      return invalidField("known_instance");
    to.Body = StaleIncarnation{known, base::InstanceId(instance)};
    return base::success();
  }
  case wire::PeerMessage::BODY_NOT_SET:
    break;
  }
  return invalidField("body");
}

} // namespace

std::string encode(const PeerMessage &message) {
  wire::PeerMessage to;
  to.set_wall_micros(message.Time.WallMicros);
  to.set_counter(message.Time.Counter);
  std::visit(BodyWriter{to}, message.Body);
  return to.SerializeAsString();
}

Result<PeerMessage> decode(std::string_view bytes, base::WallTime now) {
  wire::PeerMessage from;
  if (bytes.size() > INT32_MAX ||
      !from.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return invalidField("encoding");
  PeerMessage to;
  to.Time = {from.wall_micros(), from.counter()};
  if (to.Time.WallMicros == 0 ||
      to.Time.WallMicros / 1000 > maxIncarnation(now))
    return invalidField("wall_micros");
  if (to.Time.Counter > MaxLogicalCounter)
    return invalidField("counter");
  BOOST_OUTCOME_TRY(readBody(from, now, to));
  return to;
}

std::string encodeSender(const Sender &sender) {
  std::string id = std::string(ProtocolVersion) + "/" +
                   std::to_string(sender.Incarnation) + "/" + sender.Name +
                   "/" + sender.Instance.str();
  return id.substr(0, MaxRoutingIdBytes);
}

Result<Sender> decodeSender(std::string_view routingId, base::WallTime now) {
  std::string_view rest = routingId;
  auto next = [&] {
    std::string_view part = rest.substr(0, rest.find('/'));
    rest.remove_prefix(std::min(rest.size(), part.size() + 1));
    return part;
  };
  if (next() != ProtocolVersion)
    return invalidField("protocol version");
  std::optional<std::uint64_t> incarnation = model::parseNumber(next());
  if (!incarnation || *incarnation == 0 || *incarnation > maxIncarnation(now))
    return invalidField("incarnation");
  Sender sender;
  sender.Incarnation = *incarnation;
  sender.Name = std::string(next());
  sender.Instance = base::InstanceId(std::string(rest));
  if (sender.Name.empty() || sender.Instance.empty())
    return invalidField("routing id");
  return sender;
}

} // namespace detail
} // namespace endivedoor::peer
