#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/Ids.h"

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace rattancart {

struct RetryShareOptions {
  /// Retries that all processes together may send, as a fraction of the first sends.
  double Ratio_ = 0.2;
  /// Additional retries that all processes together may send in one window.
  double Extra_ = 100;
  Duration Window_ = std::chrono::seconds(10);
};

/// Keeps the retries of all processes within a common budget without communication between them:
/// each has an equal part of the extra retries, and its first sends earn it credit for a part of a
/// retry each.
///
/// Credit expires after a third of a window. It would otherwise be saved up until many requests
/// fail at once, and be spent in the same window as the credit that the same callers earn at
/// another process after they have moved to it.
///
/// The extra retries are used only while the number of processes is known, and not in the first
/// window of a process: the retries of the process that it replaces are not known, but count too.
///
/// Prevents retry storms after a loss: when many streams break at once, retries beyond the budget
/// are refused so that they don't take the capacity of first sends. Not thread-safe.
class RetryShare {
public:
  /// The process started at StartedAt. The number of processes is not known at first.
  RetryShare(RetryShareOptions Options, TimePoint StartedAt);

  /// Changes the limits. Retries so far still count, unless the length of the window changes.
  void setOptions(RetryShareOptions Options, TimePoint Now);
  /// Sets the number of processes that may run at the same time; nothing if it is not known.
  /// Precondition: not 0.
  void setProcesses(std::optional<std::uint32_t> Processes);
  std::optional<std::uint32_t> processes() const { return Processes_; }
  /// Counts the first send of a request to a service.
  void onFirstSend(const ServiceId &Service, TimePoint Now);
  /// Whether a retry is left in the window; takes it if so.
  bool tryRetry(const ServiceId &Service, TimePoint Now);
  /// The number of retries taken in the window.
  std::uint32_t spent(const ServiceId &Service, TimePoint Now) const;
  /// The number of retries left in the window.
  double left(const ServiceId &Service, TimePoint Now) const;

private:
  static constexpr std::size_t Slots = 30;
  /// The number of slots after which credit expires.
  static constexpr std::size_t CreditSlots = Slots / 3;
  struct Slot {
    std::int64_t Index_ = -1;
    /// What is left of the credit that first sends in this slot earned.
    double Credit_ = 0;
    std::uint32_t Retries_ = 0;
    /// The part of the retries in this slot that was taken from the extra retries.
    double ExtraTaken_ = 0;
  };
  using Ring = std::array<Slot, Slots + 1>;

  Duration slotTime() const { return Options_.Window_ / static_cast<std::int64_t>(Slots); }
  bool inFirstWindow(TimePoint Now) const;
  /// The number of extra retries that this process may take in one window.
  double extraShare(TimePoint Now) const;
  double creditLeft(const Ring &Known, TimePoint Now) const;
  double extraLeft(const Ring &Known, TimePoint Now) const;
  Slot &currentSlot(Ring &Known, TimePoint Now) const;
  std::int64_t indexOf(TimePoint Now) const;

  RetryShareOptions Options_;
  /// Retries are known only since then.
  TimePoint KnownSince_;
  std::optional<std::uint32_t> Processes_;
  std::unordered_map<ServiceId, Ring> Rings_;
};

} // namespace rattancart
