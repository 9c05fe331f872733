#pragma once

#include "Core/Common/Clock.h"
#include "Core/Membership/Endpoint.h"

#include <cstdint>
#include <memory>

namespace rattancart {

/// The ways through a relay.
enum class RelayDirection : std::uint8_t { ToTarget, ToCaller, Both };

struct RelayStats {
  std::uint64_t Accepted_ = 0;
  std::size_t Open_ = 0;
  std::uint64_t BytesToTarget_ = 0;
  std::uint64_t BytesToCaller_ = 0;
  std::uint64_t BytesDropped_ = 0;
};

/// A TCP relay on a thread of its own, which disturbs the connections through it. Thread-safe:
/// each call has taken effect when it returns.
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

  /// New connections are passed on, without delay. Silenced ones stay silent.
  void forward();
  /// New connections are refused until forward(); open ones go on.
  void refuse();
  /// Closes all open connections.
  void closeOpen();
  /// Open connections stay open, and their bytes are dropped for good.
  void blackholeOpen(RelayDirection Direction = RelayDirection::Both);
  /// New connections are accepted, and their bytes are dropped for good, until forward().
  void blackholeNew(RelayDirection Direction = RelayDirection::Both);
  /// Bytes are passed on after this time, in each direction.
  void setDelay(Duration Delay);
  RelayStats stats() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace rattancart
