#pragma once

#include "Core/Common/Clock.h"
#include "Core/Membership/Endpoint.h"

#include <cstdint>
#include <memory>

namespace rattancart {

/// The directions of a connection through a relay.
enum class RelayDirection : std::uint8_t { ToTarget, ToCaller, Both };

struct RelayStats {
  std::uint64_t Accepted_ = 0;
  std::size_t Open_ = 0;
  std::uint64_t BytesToTarget_ = 0;
  std::uint64_t BytesToCaller_ = 0;
  std::uint64_t BytesDropped_ = 0;
};

/// A TCP relay with a thread of its own, which simulates network faults on the connections through
/// it. Thread-safe: each call has taken effect when it returns.
class Relay {
public:
  /// Listens on a free port. Connections that arrive before setTarget are closed.
  Relay();
  explicit Relay(const NetAddress &Target);
  ~Relay();
  Relay(const Relay &) = delete;
  Relay &operator=(const Relay &) = delete;

  NetAddress address() const;
  void setTarget(const NetAddress &Target);

  /// Forwards new connections and sets the delay to zero. Blackholed connections stay so.
  void forward();
  /// Refuses new connections until forward(); open ones are still forwarded.
  void refuse();
  /// Closes all open connections.
  void closeOpen();
  /// Drops all further bytes of the open connections, which stay open.
  void blackholeOpen(RelayDirection Direction = RelayDirection::Both);
  /// Accepts new connections and drops all their bytes, until forward(). Connections accepted
  /// before forward() stay blackholed.
  void blackholeNew(RelayDirection Direction = RelayDirection::Both);
  /// Holds bytes back for this time, in each direction.
  void setDelay(Duration Delay);
  RelayStats stats() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace rattancart
