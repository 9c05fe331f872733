#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/Ids.h"
#include "Core/Membership/Endpoint.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace rattancart {

struct PeerOptions {
  /// A gateway that was not named again for this long is forgotten.
  Duration Lifetime_ = std::chrono::seconds(15);
  /// A gateway that took no request gets none for this long. Short, as it may have been told to
  /// take some before it noticed that it reaches endpoints again.
  Duration RefusedHold_ = std::chrono::milliseconds(500);
  /// The same after a connection to it was lost or not accepted.
  Duration LostHold_ = std::chrono::milliseconds(1500);
  std::size_t MaxPeers_ = 64;
};

/// Another gateway.
struct PeerGateway {
  NetAddress Address_;
  DataCenterId DataCenter_;
};

/// The gateways to which requests are forwarded while this one reaches no endpoint.
///
/// Load pattern: many gateways lose their endpoints at once, and all their requests come to the
/// others. Each request goes to one of the gateways with the fewest requests of this process, at
/// home first, so that load is spread evenly and gateways that refuse it are left alone. Not
/// thread-safe.
class PeerDirectory {
public:
  explicit PeerDirectory(DataCenterId Home, PeerOptions Options = {})
      : Home_(std::move(Home)), Options_(Options) {}

  /// A gateway was named as one that reaches endpoints.
  void onNamed(const PeerGateway &Peer, TimePoint Now);
  /// The gateway for a request, other than those in Excluded; nothing if there is none. Draw is
  /// uniform in [0, 1) and breaks ties.
  std::optional<NetAddress> choose(const std::set<NetAddress> &Excluded, double Draw,
                                   TimePoint Now) const;
  void onSent(const NetAddress &Peer);
  /// A request that was sent there has ended.
  void onEnded(const NetAddress &Peer);
  /// The gateway did not take a request.
  void onRefused(const NetAddress &Peer, TimePoint Now) { hold(Peer, Now + Options_.RefusedHold_); }
  /// The connection to the gateway was lost, or not accepted.
  void onLost(const NetAddress &Peer, TimePoint Now) { hold(Peer, Now + Options_.LostHold_); }
  /// Gateways that may get requests now.
  std::size_t available(TimePoint Now) const;

private:
  struct Entry {
    DataCenterId DataCenter_;
    TimePoint NamedAt_{};
    TimePoint HeldUntil_{};
    std::uint32_t Requests_ = 0;
  };

  void hold(const NetAddress &Peer, TimePoint Until);
  bool isAvailable(const Entry &Each, TimePoint Now) const {
    return Now - Each.NamedAt_ <= Options_.Lifetime_ && Now >= Each.HeldUntil_;
  }
  void dropOldest();

  DataCenterId Home_;
  PeerOptions Options_;
  std::map<NetAddress, Entry> Peers_;
};

} // namespace rattancart
