#include "Control/ControlFrames.h"

#include "Net/FrameCodec.h"

#include <utility>

namespace rattancart {

wire::HelloT makeControlHello(const ControlIdentity &Identity, const LocalState &State) {
  wire::HelloT Hello;
  Hello.protocol = FrameProtocolVersion;
  Hello.role = wire::Role::Control;
  Hello.instance = Identity.Instance_.str();
  Hello.data_center = Identity.DataCenter_.str();
  Hello.incarnation = Identity.Incarnation_.value();
  Hello.admin_address = Identity.AdminAddress_.str();
  Hello.settings_offset = State.settingsOffset().value();
  return Hello;
}

wire::HeartbeatT makeControlHeartbeat(const LocalState &State) {
  wire::HeartbeatT Beat;
  Beat.settings_offset = State.settingsOffset().value();
  Beat.claim_tail = State.claimTail().value();
  Beat.platform_up = State.platformUp();
  Beat.routers = static_cast<std::uint32_t>(State.linkedRouters());
  for (const CustomerDemand &Demand : State.ownDemand()) {
    auto Item = std::make_unique<wire::CustomerDemandT>();
    Item->customer = Demand.Customer_.str();
    Item->requests_per_second = Demand.RequestsPerSecond_;
    Item->tokens_per_second = Demand.TokensPerSecond_;
    Beat.demand.push_back(std::move(Item));
  }
  return Beat;
}

std::vector<CustomerDemand> demandOf(const wire::HeartbeatT &Beat) {
  std::vector<CustomerDemand> Found;
  for (const auto &Item : Beat.demand)
    Found.push_back(
        {CustomerId(Item->customer), Item->requests_per_second, Item->tokens_per_second});
  return Found;
}

} // namespace rattancart
