#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/Ids.h"

#include <array>
#include <cstdint>
#include <optional>
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
/// The extra is spent only while the number of processes is known, and not in the first window of a
/// process: what the process before it at this place spent is not known, and counts as well.
///
/// Answers storms of repeats after a loss: when many streams break at once, the repeats beyond the
/// budget are refused instead of taking the room of first sends. Not thread-safe.
class RetryShare {
public:
  /// The process started at StartedAt. The number of processes is not known at first.
  RetryShare(RetryShareOptions Options, TimePoint StartedAt);

  /// Changes the limits; what was spent still counts, unless the window has another length.
  void setOptions(RetryShareOptions Options, TimePoint Now);
  /// The number that may run at the same time; nothing if it is not known. Precondition: not 0.
  void setProcesses(std::optional<std::uint32_t> Processes);
  std::optional<std::uint32_t> processes() const { return Processes_; }
  /// Counts the first send of a request to a service.
  void onFirstSend(const ServiceId &Service, TimePoint Now);
  /// Takes one repeat, if one is left in the window.
  bool tryRetry(const ServiceId &Service, TimePoint Now);
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

  Duration slotTime() const { return Options_.Window_ / static_cast<std::int64_t>(Slots); }
  bool inFirstWindow(TimePoint Now) const;
  /// Repeats in a window with that many first sends.
  double allowed(double First, TimePoint Now) const;
  Slot &slot(const ServiceId &Service, TimePoint Now);
  std::int64_t indexOf(TimePoint Now) const;

  RetryShareOptions Options_;
  /// What was done before is not known.
  TimePoint KnownSince_;
  std::optional<std::uint32_t> Processes_;
  std::unordered_map<ServiceId, Ring> Rings_;
};

} // namespace rattancart
