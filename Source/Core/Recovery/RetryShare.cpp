#include "Core/Recovery/RetryShare.h"

namespace rattancart {

namespace {

/// Part of the budget that is spent. The processes' first sends peak at different moments, so the
/// sum of what each may repeat is a little over what all may repeat at once.
constexpr double SpentPart = 0.9;
/// Part of the ratio that is spent in a process's first window: repeats of the process before it
/// are in the same window, and the first sends that allowed them may no longer be.
constexpr double FirstWindowPart = 0.5;

} // namespace

RetryShare::RetryShare(RetryShareOptions Options, TimePoint StartedAt)
    : Options_(Options), KnownSince_(StartedAt) {}

void RetryShare::setOptions(RetryShareOptions Options, TimePoint Now) {
  if (Options.Window_ != Options_.Window_) {
    Rings_.clear();
    KnownSince_ = Now;
  }
  Options_ = Options;
}

void RetryShare::setProcesses(std::optional<std::uint32_t> Processes) { Processes_ = Processes; }

bool RetryShare::inFirstWindow(TimePoint Now) const {
  return Now - KnownSince_ <= Options_.Window_ + slotTime();
}

double RetryShare::allowed(double First, TimePoint Now) const {
  if (inFirstWindow(Now))
    return SpentPart * FirstWindowPart * Options_.Ratio_ * First;
  const double Extra = Processes_ ? Options_.Extra_ / *Processes_ : 0;
  return SpentPart * (Options_.Ratio_ * First + Extra);
}

std::int64_t RetryShare::indexOf(TimePoint Now) const {
  return Now.time_since_epoch() / slotTime();
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
  return allowed(First, Now) - spent(Service, Now);
}

bool RetryShare::tryRetry(const ServiceId &Service, TimePoint Now) {
  if (left(Service, Now) < 1)
    return false;
  ++slot(Service, Now).Repeats_;
  return true;
}

} // namespace rattancart
