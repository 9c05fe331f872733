#pragma once

#include "Core/Common/Clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Faults that tests set on the stand-ins, as docs/PROTOCOLS.md lists them.
namespace rattancart {

/// Faults that each stand-in knows.
struct CommonFaults {
  /// Connections close unanswered.
  bool Down_ = false;
  /// Requests are accepted and not answered before the fault ends.
  bool Hang_ = false;
  /// Delay of each answer.
  Duration Delay_{};
};

struct PlatformFaults {
  CommonFaults Common_;
  std::uint32_t LoseAppendAnswers_ = 0;
  std::uint32_t DuplicateAppends_ = 0;
  std::uint32_t FailAppends_ = 0;
  Duration ListLag_{};
  bool ListBackwards_ = false;
  /// Records kept of each stream; 0 keeps all.
  std::size_t RetainRecords_ = 0;
  /// 0 is no limit.
  double AppendsPerSecond_ = 0;
  /// The streams that the append faults concern; empty means all.
  std::vector<std::string> Streams_;

  /// Whether the append faults concern a stream.
  bool concerns(std::string_view Stream) const;
};

struct EngineFaults {
  CommonFaults Common_;
  std::uint32_t DropStepAnswers_ = 0;
  std::uint32_t FailSteps_ = 0;
  bool DuplicateStepAnswers_ = false;
  std::uint32_t CrossAnswers_ = 0;
  Duration LoadLag_{};
  Duration EventLag_{};
  std::uint32_t EventGapPercent_ = 0;
  bool Leaving_ = false;
  /// 0 is off.
  std::uint32_t CutAfterSteps_ = 0;
  double SpeedFactor_ = 1;
};

struct ServiceFaults {
  CommonFaults Common_;
  std::uint32_t FailPercent_ = 0;
  std::uint32_t FailAfterPercent_ = 0;
  std::uint32_t LoseAnswers_ = 0;
  std::uint32_t CutAnswers_ = 0;
  bool Leaving_ = false;
};

/// Changes the faults that a JSON object names; false and no change if the text is none.
/// Thread-safe as long as Faults is not shared.
bool applyFaults(PlatformFaults &Faults, std::string_view Text);
bool applyFaults(EngineFaults &Faults, std::string_view Text);
bool applyFaults(ServiceFaults &Faults, std::string_view Text);

/// The faults in force as a JSON object.
std::string describeFaults(const PlatformFaults &Faults);
std::string describeFaults(const EngineFaults &Faults);
std::string describeFaults(const ServiceFaults &Faults);

} // namespace rattancart
