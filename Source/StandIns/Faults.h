#pragma once

#include "Core/Common/Clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Faults that tests set on the stand-ins, as docs/PROTOCOLS.md lists them.
namespace rattancart {

/// Faults that all stand-ins have.
struct CommonFaults {
  /// Connections are closed without an answer.
  bool Down_ = false;
  /// Requests are accepted, and answered only after the fault has ended.
  bool Hang_ = false;
  /// Delay before each request is handled.
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
  /// The streams that the append faults apply to; empty means all.
  std::vector<std::string> Streams_;

  /// Whether the append faults apply to a stream.
  bool appliesTo(std::string_view Stream) const;
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

/// Sets the faults that a JSON object names; false and no change if the text is no JSON object.
/// Thread-safe as long as Faults is not shared.
bool applyFaults(PlatformFaults &Faults, std::string_view Text);
bool applyFaults(EngineFaults &Faults, std::string_view Text);
bool applyFaults(ServiceFaults &Faults, std::string_view Text);

/// The current faults as a JSON object.
std::string describeFaults(const PlatformFaults &Faults);
std::string describeFaults(const EngineFaults &Faults);
std::string describeFaults(const ServiceFaults &Faults);

} // namespace rattancart
