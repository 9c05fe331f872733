#include "Core/Recovery/RetryShare.h"

#include <algorithm>

namespace rattancart {

namespace {

/// Part of the budget that is spent. The processes' first sends peak at different moments, so the
/// sum of what each may repeat is a little over what all may repeat at once.
constexpr double SpentPart = 0.95;

} // namespace

RetryShare::RetryShare(RetryShareOptions Options, std::uint32_t Processes)
    : Options_(Options), Processes_(std::max<std::uint32_t>(1, Processes)) {}

void RetryShare::setProcesses(std::uint32_t Processes) {
  Processes_ = std::max<std::uint32_t>(1, Processes);
}

std::int64_t RetryShare::indexOf(TimePoint Now) const {
  return Now.time_since_epoch() / (Options_.Window_ / static_cast<std::int64_t>(Slots));
}

RetryShare::Slot &RetryShare::slot(const ServiceId &Service, TimePoint Now) {
  const std::int64_t Index = indexOf(Now);
  Slot &Current = Rings_[Service][static_cast<std::size_t>(Index) % (Slots + 1)];
  if (Current.Index_ != Index)
    Current = {Index, 0, 0};
  return Current;
}

void RetryShare::onFirstSend(const ServiceId &Service, TimePoint Now) {
  ++slot(Service, Now).First_;
}

std::uint32_t RetryShare::spent(const ServiceId &Service, TimePoint Now) const {
  const auto Place = Rings_.find(Service);
  if (Place == Rings_.end())
    return 0;
  std::uint32_t Repeats = 0;
  for (const Slot &Each : Place->second)
    if (Each.Index_ >= 0 && indexOf(Now) - Each.Index_ <= static_cast<std::int64_t>(Slots))
      Repeats += Each.Repeats_;
  return Repeats;
}

double RetryShare::left(const ServiceId &Service, TimePoint Now) const {
  const std::int64_t Index = indexOf(Now);
  double First = 0;
  // Windows slide: repeats are counted over one slot more than a window holds, first sends over no
  // more than one, so that no window sees more repeats than its first sends allow.
  const auto Place = Rings_.find(Service);
  const Ring None{};
  for (const Slot &Each : Place == Rings_.end() ? None : Place->second) {
    const std::int64_t Age = Index - Each.Index_;
    if (Each.Index_ < 0 || Age > static_cast<std::int64_t>(Slots))
      continue;
    First += Age < static_cast<std::int64_t>(Slots) ? Each.First_ : 0;
  }
  return SpentPart * (Options_.Ratio_ * First + Options_.Extra_ / Processes_) - spent(Service, Now);
}

bool RetryShare::tryRepeat(const ServiceId &Service, TimePoint Now) {
  if (left(Service, Now) < 1)
    return false;
  ++slot(Service, Now).Repeats_;
  return true;
}

} // namespace rattancart
