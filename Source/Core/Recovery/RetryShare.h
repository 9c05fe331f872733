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
  /// The part of what a process may retry in a window that only requests which lost their engine
  /// may take. From 0 to 1.
  double KeptForLost_ = 0;
};

/// Why a request is sent again.
enum class RetryPurpose : std::uint8_t {
  /// It may have run, and its engine or connection was lost, failed or is slow. All plain calls are
  /// sent again for this purpose.
  AfterLoss,
  /// An engine rejected it before it ran.
  AfterRejection,
};

/// Keeps the retries of all processes within a common budget without communication between them.
/// What a process may retry comes from three sources:
///
/// - Steady allowance: a part of the ratio of the least first sends that it had in any half of the
///   last two windows, per window. It may be spent at once, such as when many streams lose an
///   engine.
/// - Credit: another part of the ratio of each first send, which expires after a third of a window.
/// - An equal part of the extra retries.
///
/// When callers move to another process, their requests raise its steady allowance only after two
/// windows. It would otherwise be spent in the same window as the one that these callers had earned
/// before at the process that they have left, or at the predecessor of a restarted process.
///
/// The extra retries are used only while the number of processes is known, and not in the first
/// window of a process: the retries of the process that it replaces are not known, but count too.
///
/// A part of the retries can be kept for requests that lost their engine. Requests that an engine
/// rejected can wait or be refused without harm; a stream that has begun is cut if there is no
/// retry left for it.
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
  /// Whether a retry for that purpose is left in the window; takes it if so.
  bool tryRetry(const ServiceId &Service, TimePoint Now,
                RetryPurpose Purpose = RetryPurpose::AfterLoss);
  /// Whether tryRetry would take a retry.
  bool mayRetry(const ServiceId &Service, TimePoint Now, RetryPurpose Purpose) const;
  /// The number of retries taken in the window.
  std::uint32_t spent(const ServiceId &Service, TimePoint Now) const;
  /// The number of retries left in the window.
  double left(const ServiceId &Service, TimePoint Now) const;

private:
  static constexpr std::size_t Slots = 30;
  /// The number of slots after which credit expires.
  static constexpr std::size_t CreditSlots = Slots / 3;
  /// Slots over which first sends are counted for the steady allowance, and how many such spans.
  static constexpr std::size_t SpanSlots = Slots / 2;
  static constexpr std::size_t Spans = 4;
  struct Slot {
    std::int64_t Index_ = -1;
    std::uint32_t FirstSends_ = 0;
    /// What is left of the credit that first sends in this slot earned.
    double Credit_ = 0;
    std::uint32_t Retries_ = 0;
    /// The parts of the retries in this slot that were taken from the steady allowance and from the
    /// extra retries.
    double SteadyTaken_ = 0;
    double ExtraTaken_ = 0;
  };
  using Ring = std::array<Slot, Spans * SpanSlots + 1>;

  Duration slotTime() const { return Options_.Window_ / static_cast<std::int64_t>(Slots); }
  bool inFirstWindow(TimePoint Now) const;
  /// The number of extra retries that this process may take in one window.
  double extraShare(TimePoint Now) const;
  /// The steady allowance in one window.
  double steadyShare(const Ring &Known, TimePoint Now) const;
  /// Calls Visit with each slot of the last Count slots.
  template <typename Function>
  void visitLast(const Ring &Known, std::size_t Count, TimePoint Now, Function Visit) const;
  double creditLeft(const Ring &Known, TimePoint Now) const;
  double steadyLeft(const Ring &Known, TimePoint Now) const;
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
