#include "Core/Recovery/RetryShare.h"

#include <algorithm>

namespace rattancart {

namespace {

/// Part of the ratio that is the steady allowance.
constexpr double SteadyPart = 0.6;
/// Part of the ratio that first sends earn as credit. The credit in one window is spent by the
/// first sends of that window and of the time before it until which credit lasts; while requests
/// arrive steadily, these are 4/3 of those in one window. So both parts together spend the whole
/// ratio.
constexpr double CreditPart = 0.3;
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
  if (Current.Index_ != Index) {
    Current = {};
    Current.Index_ = Index;
  }
  return Current;
}

void RetryShare::onFirstSend(const ServiceId &Service, TimePoint Now) {
  Slot &Current = currentSlot(Rings_[Service], Now);
  ++Current.FirstSends_;
  Current.Credit_ += CreditPart * Options_.Ratio_;
}

template <typename Function>
void RetryShare::visitLast(const Ring &Known, std::size_t Count, TimePoint Now,
                           Function Visit) const {
  const std::int64_t Index = indexOf(Now);
  for (const Slot &Each : Known) {
    // A caller may pass the time at which its round of work began, after others were counted later.
    const std::int64_t Age = std::max<std::int64_t>(0, Index - Each.Index_);
    if (Each.Index_ >= 0 && Age < static_cast<std::int64_t>(Count))
      Visit(Each, static_cast<std::size_t>(Age));
  }
}

double RetryShare::steadyShare(const Ring &Known, TimePoint Now) const {
  std::array<std::uint32_t, Spans> FirstSends{};
  visitLast(Known, Spans * SpanSlots, Now, [&](const Slot &Each, std::size_t Age) {
    FirstSends[Age / SpanSlots] += Each.FirstSends_;
  });
  const std::uint32_t Least = *std::min_element(FirstSends.begin(), FirstSends.end());
  return SteadyPart * Options_.Ratio_ * Least * Slots / SpanSlots;
}

double RetryShare::creditLeft(const Ring &Known, TimePoint Now) const {
  double Credit = 0;
  visitLast(Known, CreditSlots, Now,
            [&](const Slot &Each, std::size_t) { Credit += Each.Credit_; });
  return Credit;
}

// Windows slide: retries are counted over one slot more than a window has.
double RetryShare::steadyLeft(const Ring &Known, TimePoint Now) const {
  double Taken = 0;
  visitLast(Known, Slots + 1, Now,
            [&](const Slot &Each, std::size_t) { Taken += Each.SteadyTaken_; });
  return std::max(0.0, steadyShare(Known, Now) - Taken);
}

double RetryShare::extraLeft(const Ring &Known, TimePoint Now) const {
  double Taken = 0;
  visitLast(Known, Slots + 1, Now,
            [&](const Slot &Each, std::size_t) { Taken += Each.ExtraTaken_; });
  return std::max(0.0, extraShare(Now) - Taken);
}

std::uint32_t RetryShare::spent(const ServiceId &Service, TimePoint Now) const {
  const auto Found = Rings_.find(Service);
  std::uint32_t Retries = 0;
  if (Found != Rings_.end())
    visitLast(Found->second, Slots + 1, Now,
              [&](const Slot &Each, std::size_t) { Retries += Each.Retries_; });
  return Retries;
}

double RetryShare::left(const ServiceId &Service, TimePoint Now) const {
  const auto Found = Rings_.find(Service);
  if (Found == Rings_.end())
    return extraShare(Now);
  return creditLeft(Found->second, Now) + steadyLeft(Found->second, Now) +
         extraLeft(Found->second, Now);
}

bool RetryShare::mayRetry(const ServiceId &Service, TimePoint Now, RetryPurpose Purpose) const {
  const double Left = left(Service, Now);
  if (Left < 1)
    return false;
  if (Purpose == RetryPurpose::AfterLoss || Options_.KeptForLost_ <= 0)
    return true;
  return Left - 1 >= Options_.KeptForLost_ * (Left + spent(Service, Now));
}

bool RetryShare::tryRetry(const ServiceId &Service, TimePoint Now, RetryPurpose Purpose) {
  if (!mayRetry(Service, Now, Purpose))
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
  const double Steady = std::min(Due, steadyLeft(Known, Now));
  Current.SteadyTaken_ += Steady;
  Current.ExtraTaken_ += Due - Steady;
  return true;
}

} // namespace rattancart
