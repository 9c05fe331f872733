#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/Ids.h"

#include <array>
#include <cstdint>
#include <unordered_map>

namespace rattancart {

struct RetryShareOptions {
  /// Repeats that all processes together may send, as a share of first sends.
  double Ratio_ = 0.2;
  /// Repeats that all processes together may send on top in one window.
  double Extra_ = 100;
  Duration Window_ = std::chrono::seconds(10);
};

/// Keeps the repeats of all processes within one budget without any talk between them: each spends
/// the ratio of what it sent itself, and an equal part of the extra.
///
/// Answers storms of repeats after a loss: when many streams break at once, the repeats beyond the
/// budget are refused instead of taking the room of first sends. Not thread-safe.
class RetryShare {
public:
  /// Processes is the number that may run at the same time; at least 1.
  RetryShare(RetryShareOptions Options, std::uint32_t Processes);

  void setProcesses(std::uint32_t Processes);
  std::uint32_t processes() const { return Processes_; }
  /// Counts the first send of a request to a service.
  void onFirstSend(const ServiceId &Service, TimePoint Now);
  /// Takes one repeat, if one is left in the window.
  bool tryRepeat(const ServiceId &Service, TimePoint Now);
  /// Repeats taken in the window.
  std::uint32_t spent(const ServiceId &Service, TimePoint Now) const;
  /// Repeats left in the window.
  double left(const ServiceId &Service, TimePoint Now) const;

private:
  static constexpr std::size_t Slots = 10;
  struct Slot {
    std::int64_t Index_ = -1;
    std::uint32_t First_ = 0;
    std::uint32_t Repeats_ = 0;
  };
  using Ring = std::array<Slot, Slots + 1>;

  Slot &slot(const ServiceId &Service, TimePoint Now);
  std::int64_t indexOf(TimePoint Now) const;

  RetryShareOptions Options_;
  std::uint32_t Processes_;
  std::unordered_map<ServiceId, Ring> Rings_;
};

} // namespace rattancart
