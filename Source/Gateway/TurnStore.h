#pragma once

#include "Core/Common/Ids.h"

#include <cstdint>
#include <functional>
#include <string>

namespace rattancart {

enum class TurnOutcome : std::uint8_t {
  /// This process has the turn, and no other process has it or ever will.
  Granted,
  /// Another process has the turn.
  Taken,
  /// It is not known whether anybody has the turn.
  Unknown,
};

struct TurnClaim {
  TurnOutcome Outcome_ = TurnOutcome::Unknown;
  /// The turn that was granted, or the newest one that was taken.
  TurnNumber Turn_{0};
};

/// Hands out numbered turns, each to one process of the deployment at most. Not thread-safe.
class TurnStore {
public:
  using TurnDone = std::function<void(const TurnClaim &)>;

  virtual ~TurnStore() = default;
  /// Claims the turn that follows After, the newest one that this process knows of. Done is called
  /// once, from the event loop. A turn whose process ends or is cut off stays taken.
  virtual void claimTurn(const std::string &Key, TurnNumber After, TurnDone Done) = 0;
};

} // namespace rattancart
