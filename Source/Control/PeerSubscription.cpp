#include "Control/PeerSubscription.h"

#include "Control/ControlFrames.h"
#include "Link/EndpointWire.h"

namespace rattancart {

PeerSubscription::PeerSubscription(boost::asio::io_context &Loop, const Clock &Time, Logger &Log,
                                   std::mt19937_64 &Random, const ControlIdentity &Identity,
                                   const LocalState &State, PeerListener &Listener,
                                   const NetAddress &Address)
    : Log_(Log), Identity_(Identity), State_(State), Listener_(Listener),
      Dialer_(Loop, Time, static_cast<PeerLinkOwner &>(*this), Random, {Address}) {}

wire::HelloT PeerSubscription::makeHello() { return makeControlHello(Identity_, State_); }

wire::HeartbeatT PeerSubscription::makeHeartbeat() { return makeControlHeartbeat(State_); }

void PeerSubscription::onLinkUp(const PeerLinkPtr &Link) {
  Log_.log(LogEvent::PeerConnected,
           {{"peer", Link->hello().instance}, {"address", Dialer_.address().str()}});
}

void PeerSubscription::onLinkDown(const PeerLinkPtr &Link, std::error_code Reason) {
  Log_.log(LogEvent::PeerLost, {{"peer", Link->hello().instance},
                                {"address", Dialer_.address().str()},
                                {"error", Reason.value()}});
}

void PeerSubscription::onLinkFrame(const PeerLinkPtr &Link, const wire::FrameT &Frame) {
  if (const auto *Image = Frame.payload.AsSettingsImage())
    return Listener_.onPeerImage(LogOffset(Image->offset), Image->body);
  if (const auto *Record = Frame.payload.AsSettingsRecord())
    return Listener_.onPeerRecord(LogOffset(Record->offset), Record->body);
  const auto *Update = Frame.payload.AsEndpointUpdate();
  if (!Update)
    return;
  const TimePoint MadeAfter = Link->earliestCreationTime(Update->echo);
  for (const auto &Info : Update->endpoints) {
    const Duration Age = std::chrono::milliseconds(Info->age_ms);
    const TimePoint ObservedAt = MadeAfter.time_since_epoch() > Age ? MadeAfter - Age : TimePoint{};
    Listener_.onPeerEndpoint(fromWire(*Info), ObservedAt);
  }
}

boost::json::object PeerSubscription::state() const {
  const PeerLinkPtr Link = Dialer_.link();
  boost::json::object State;
  State["address"] = Dialer_.address().str();
  State["up"] = Link != nullptr;
  State["peer"] = Link ? Link->hello().instance : "";
  State["bytes_in"] = Link ? Link->bytesIn() : 0;
  State["bytes_out"] = Link ? Link->bytesOut() : 0;
  return State;
}

} // namespace rattancart
