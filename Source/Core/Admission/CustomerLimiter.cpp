#include "Core/Admission/CustomerLimiter.h"

#include <algorithm>
#include <cmath>

namespace rattancart {

namespace {

constexpr double BurstSeconds = 1;
/// When a customer's next request ends can't be predicted, so a refusal for too many concurrent
/// requests gives at least this time.
constexpr Duration ConcurrencyRetryAfter = std::chrono::seconds(1);

/// The burst of a rate. It is at least 1, so that a small share still admits a request.
double burstSize(double PerSecond) { return std::max(1.0, PerSecond * BurstSeconds); }

} // namespace

void CustomerLimiter::setLimits(SettingsViewPtr View, TimePoint Now) {
  View_ = std::move(View);
  for (auto &[Id, Entry] : Customers_)
    configure(Id, Entry, Now);
}

void CustomerLimiter::setShares(const std::vector<CustomerShare> &Shares, double Default,
                                TimePoint Now) {
  Shares_.clear();
  for (const CustomerShare &Share : Shares)
    Shares_[Share.Customer_] = std::clamp(Share.Share_, 0.0, 1.0);
  DefaultShare_ = std::clamp(Default, 0.0, 1.0);
  for (auto &[Id, Entry] : Customers_)
    configure(Id, Entry, Now);
}

double CustomerLimiter::shareOf(const CustomerId &Id) const {
  const auto It = Shares_.find(Id);
  return It == Shares_.end() ? DefaultShare_ : It->second;
}

void CustomerLimiter::configure(const CustomerId &Id, Customer &Entry, TimePoint Now) const {
  const CustomerLimit Limit = View_ ? View_->limitOf(Id) : CustomerLimit{};
  Entry.Share_ = shareOf(Id);
  const double Requests = Limit.RequestsPerSecond_ * Entry.Share_;
  const double Tokens = Limit.TokensPerSecond_ * Entry.Share_;
  Entry.Requests_.setRate(Requests, burstSize(Requests), Now);
  Entry.Tokens_.setRate(Tokens, burstSize(Tokens), Now);
  Entry.MaxConcurrent_ =
      Limit.Concurrent_ == 0
          ? 0
          : static_cast<std::uint32_t>(std::max(1.0, std::ceil(Limit.Concurrent_ * Entry.Share_)));
}

CustomerLimiter::Customer &CustomerLimiter::customer(const CustomerId &Id, TimePoint Now) {
  const auto [It, Added] = Customers_.try_emplace(Id);
  if (Added)
    configure(Id, It->second, Now);
  return It->second;
}

std::optional<LimitRefusal> CustomerLimiter::acquire(const CustomerId &Id, double Tokens,
                                                     TimePoint Now) {
  Customer &Entry = customer(Id, Now);
  Entry.RequestedCount_ += 1;
  Entry.RequestedTokens_ += Tokens;
  const bool ConcurrencyFits =
      Entry.MaxConcurrent_ == 0 || Entry.Concurrent_ < Entry.MaxConcurrent_;
  const bool RequestsFit = Entry.Requests_.canTake(1, Now);
  const bool TokensFit = Tokens <= 0 || Entry.Tokens_.canTake(Tokens, Now);
  if (!ConcurrencyFits || !RequestsFit || !TokensFit) {
    ++Entry.Refused_;
    const Duration Wait = std::max(Entry.Requests_.waitFor(1), Entry.Tokens_.waitFor(Tokens));
    return LimitRefusal{ConcurrencyFits ? Wait : std::max(Wait, ConcurrencyRetryAfter)};
  }
  Entry.Requests_.take(1);
  Entry.Tokens_.take(Tokens);
  ++Entry.Concurrent_;
  ++Entry.Admitted_;
  return std::nullopt;
}

void CustomerLimiter::release(const CustomerId &Id, double Expected, double Produced) {
  const auto It = Customers_.find(Id);
  if (It == Customers_.end())
    return;
  It->second.Tokens_.take(Produced - Expected);
  if (It->second.Concurrent_ > 0)
    --It->second.Concurrent_;
}

double CustomerLimiter::weightOf(const CustomerId &Id) const {
  const double Weight = View_ ? View_->limitOf(Id).Weight_ : 1;
  return Weight > 0 ? Weight : 1;
}

std::vector<CustomerDemand> CustomerLimiter::takeDemand(TimePoint Now) {
  std::vector<CustomerDemand> Demand;
  const double Seconds = std::max(1e-3, std::chrono::duration<double>(Now - DemandSince_).count());
  DemandSince_ = Now;
  for (auto It = Customers_.begin(); It != Customers_.end();) {
    Customer &Entry = It->second;
    if (Entry.RequestedCount_ > 0) {
      Demand.push_back(
          {It->first, Entry.RequestedCount_ / Seconds, Entry.RequestedTokens_ / Seconds});
      Entry.RequestedCount_ = Entry.RequestedTokens_ = 0;
      ++It;
      continue;
    }
    Entry.Requests_.canTake(0, Now);
    Entry.Tokens_.canTake(0, Now);
    const bool Idle = Entry.Concurrent_ == 0 && Entry.Requests_.isFull() && Entry.Tokens_.isFull();
    It = Idle ? Customers_.erase(It) : std::next(It);
  }
  return Demand;
}

std::vector<CustomerUsage> CustomerLimiter::usage() const {
  std::vector<CustomerUsage> Usage;
  Usage.reserve(Customers_.size());
  for (const auto &[Id, Entry] : Customers_)
    Usage.push_back({Id, Entry.Share_, Entry.Concurrent_, Entry.Admitted_, Entry.Refused_});
  std::sort(Usage.begin(), Usage.end(),
            [](const auto &A, const auto &B) { return A.Customer_ < B.Customer_; });
  return Usage;
}

} // namespace rattancart
