#include "Core/Recovery/RetryShare.h"

namespace rattancart {

namespace {

/// Part of the budget that is used. The first sends of the processes peak at different times, so
/// the sum of the retries that each may send is slightly more than all together may send.
constexpr double BudgetPart = 0.9;
/// Part of the ratio that is used in the first window of a process. Retries of the process that it
/// replaces may be in the same window, while the first sends that allowed them no longer are.
constexpr double FirstWindowRatioPart = 0.5;

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

double RetryShare::allowed(double FirstSends, TimePoint Now) const {
  if (inFirstWindow(Now))
    return BudgetPart * FirstWindowRatioPart * Options_.Ratio_ * FirstSends;
  const double Extra = Processes_ ? Options_.Extra_ / *Processes_ : 0;
  return BudgetPart * (Options_.Ratio_ * FirstSends + Extra);
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
  ++slot(Service, Now).FirstSends_;
}

std::uint32_t RetryShare::spent(const ServiceId &Service, TimePoint Now) const {
  const auto Found = Rings_.find(Service);
  if (Found == Rings_.end())
    return 0;
  std::uint32_t Retries = 0;
  for (const Slot &Each : Found->second)
    if (Each.Index_ >= 0 && indexOf(Now) - Each.Index_ <= static_cast<std::int64_t>(Slots))
      Retries += Each.Retries_;
  return Retries;
}

double RetryShare::left(const ServiceId &Service, TimePoint Now) const {
  const std::int64_t Index = indexOf(Now);
  double FirstSends = 0;
  // Windows slide: retries are counted over one slot more than a window has, but first sends over
  // at most one window, so that no window contains more retries than its first sends allow.
  const auto Found = Rings_.find(Service);
  const Ring None{};
  for (const Slot &Each : Found == Rings_.end() ? None : Found->second) {
    const std::int64_t Age = Index - Each.Index_;
    if (Each.Index_ < 0 || Age > static_cast<std::int64_t>(Slots))
      continue;
    FirstSends += Age < static_cast<std::int64_t>(Slots) ? Each.FirstSends_ : 0;
  }
  return allowed(FirstSends, Now) - spent(Service, Now);
}

bool RetryShare::tryRetry(const ServiceId &Service, TimePoint Now) {
  if (left(Service, Now) < 1)
    return false;
  ++slot(Service, Now).Retries_;
  return true;
}

} // namespace rattancart
