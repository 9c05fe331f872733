#include "Core/Recovery/RetryShare.h"

#include <algorithm>

namespace rattancart {

namespace {

/// Part of the ratio that first sends earn as credit. The retries in one window are paid by the
/// first sends of that window and of the time before it until which credit lasts; while requests
/// arrive steadily, these are 4/3 of those in one window.
constexpr double CreditPart = 0.75;
/// Part of the extra retries that is used. The rest makes up for requests that arrive unsteadily.
constexpr double ExtraPart = 0.9;

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

double RetryShare::extraShare(TimePoint Now) const {
  return Processes_ && !inFirstWindow(Now) ? ExtraPart * Options_.Extra_ / *Processes_ : 0;
}

std::int64_t RetryShare::indexOf(TimePoint Now) const {
  return Now.time_since_epoch() / slotTime();
}

RetryShare::Slot &RetryShare::currentSlot(Ring &Known, TimePoint Now) const {
  const std::int64_t Index = indexOf(Now);
  Slot &Current = Known[static_cast<std::size_t>(Index) % Known.size()];
  if (Current.Index_ != Index)
    Current = {Index, 0, 0, 0};
  return Current;
}

void RetryShare::onFirstSend(const ServiceId &Service, TimePoint Now) {
  currentSlot(Rings_[Service], Now).Credit_ += CreditPart * Options_.Ratio_;
}

double RetryShare::creditLeft(const Ring &Known, TimePoint Now) const {
  double Credit = 0;
  for (const Slot &Each : Known)
    if (Each.Index_ >= 0 && indexOf(Now) - Each.Index_ < static_cast<std::int64_t>(CreditSlots))
      Credit += Each.Credit_;
  return Credit;
}

double RetryShare::extraLeft(const Ring &Known, TimePoint Now) const {
  double Taken = 0;
  // Windows slide: retries are counted over one slot more than a window has.
  for (const Slot &Each : Known)
    if (Each.Index_ >= 0 && indexOf(Now) - Each.Index_ < static_cast<std::int64_t>(Known.size()))
      Taken += Each.ExtraTaken_;
  return std::max(0.0, extraShare(Now) - Taken);
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
  const auto Found = Rings_.find(Service);
  if (Found == Rings_.end())
    return extraShare(Now);
  return creditLeft(Found->second, Now) + extraLeft(Found->second, Now);
}

bool RetryShare::tryRetry(const ServiceId &Service, TimePoint Now) {
  if (left(Service, Now) < 1)
    return false;
  Ring &Known = Rings_[Service];
  Slot &Current = currentSlot(Known, Now);
  ++Current.Retries_;
  double Due = 1;
  // The oldest credit expires first.
  for (auto Age = static_cast<std::int64_t>(CreditSlots) - 1; Age >= 0 && Due > 0; --Age) {
    const std::int64_t Index = indexOf(Now) - Age;
    Slot &Each = Known[static_cast<std::size_t>(Index) % Known.size()];
    if (Each.Index_ != Index)
      continue;
    const double Taken = std::min(Due, Each.Credit_);
    Each.Credit_ -= Taken;
    Due -= Taken;
  }
  Current.ExtraTaken_ += Due;
  return true;
}

} // namespace rattancart
