#include "Load/CallSimulation.h"

#include "Core/Recovery/CircuitBreaker.h"
#include "Core/Recovery/RouteRetryBudget.h"

#include <random>
#include <string>
#include <vector>

namespace rattancart {

namespace {

const RouteId Lookup("lookup");

struct Tally {
  std::uint64_t Calls_ = 0;
  std::uint64_t Sent_ = 0;
  std::uint64_t ToDead_ = 0;
  std::uint64_t Succeeded_ = 0;
};

struct CallRouter {
  RouteRetryBudget Budget_;
  CircuitBreakers Circuits_;
};

class CallModel {
public:
  CallModel(const CallExperiment &Setup, RetryMode Mode, std::uint64_t Seed)
      : Setup_(Setup), Mode_(Mode), Random_(Seed), Routers_(Setup.Routers_) {
    for (std::uint32_t I = 0; I < Setup.Endpoints_; ++I)
      Ids_.emplace_back("endpoint-" + std::to_string(I));
  }

  void call(TimePoint Now, bool Died, Tally &Count) {
    CallRouter &At = Routers_[Random_() % Routers_.size()];
    At.Budget_.onFirstAttempt(Lookup, Setup_.RetryPercent_, Now);
    ++Count.Calls_;
    for (std::uint32_t Attempt = 1; Attempt <= Setup_.MaxAttempts_; ++Attempt) {
      if (Attempt > 1 && Mode_ == RetryMode::Budget && !At.Budget_.tryConsumeRetry(Lookup, Now))
        return;
      const std::uint32_t Where = pick(At, Now);
      const bool Dead = Died && Where < Setup_.Dead_;
      ++Count.Sent_;
      Count.ToDead_ += Dead ? 1 : 0;
      if (!Dead) {
        At.Circuits_.succeeded(Ids_[Where], Now);
        ++Count.Succeeded_;
        return;
      }
      if (Mode_ == RetryMode::Budget)
        At.Circuits_.failed(Ids_[Where], Now);
    }
  }

private:
  std::uint32_t pick(CallRouter &At, TimePoint Now) {
    std::vector<std::uint32_t> Open;
    for (std::uint32_t I = 0; I < Setup_.Endpoints_; ++I)
      if (At.Circuits_.mayPass(Ids_[I], Now))
        Open.push_back(I);
    const std::uint32_t Where = Open.empty()
                                    ? static_cast<std::uint32_t>(Random_() % Setup_.Endpoints_)
                                    : Open[Random_() % Open.size()];
    At.Circuits_.tryPass(Ids_[Where], Now);
    return Where;
  }

  const CallExperiment &Setup_;
  RetryMode Mode_;
  std::mt19937_64 Random_;
  std::vector<CallRouter> Routers_;
  std::vector<EndpointId> Ids_;
};

double part(std::uint64_t Count, std::uint64_t Of) {
  return Of == 0 ? 0 : static_cast<double>(Count) / static_cast<double>(Of);
}

} // namespace

CallResult simulateCalls(const Experiment &Setup, RetryMode Mode) {
  CallModel Model(Setup.Calls_, Mode, Setup.Seed_);
  std::mt19937_64 Arrivals(Setup.Seed_ + 1);
  std::exponential_distribution<double> Gap(Setup.Calls_.CallsPerSecond_);
  const double End = std::chrono::duration<double>(Setup.Duration_).count();
  const double DeadAt = End / 2;
  Tally Before;
  Tally After;
  Tally FirstSecond;
  for (double At = Gap(Arrivals); At < End; At += Gap(Arrivals)) {
    const TimePoint Now = TimePoint(std::chrono::hours(1)) +
                          std::chrono::duration_cast<Duration>(std::chrono::duration<double>(At));
    Tally One;
    Model.call(Now, At >= DeadAt, One);
    for (Tally *Sum : {At < DeadAt ? &Before : &After, At < DeadAt + 1 ? &FirstSecond : nullptr}) {
      if (Sum == nullptr || (Sum == &FirstSecond && At < DeadAt))
        continue;
      Sum->Calls_ += One.Calls_;
      Sum->Sent_ += One.Sent_;
      Sum->ToDead_ += One.ToDead_;
      Sum->Succeeded_ += One.Succeeded_;
    }
  }
  CallResult Result;
  Result.SentPerCall_ = part(After.Sent_, After.Calls_);
  Result.SucceededPart_ = part(After.Succeeded_, After.Calls_);
  if (Setup.Calls_.Dead_ > 0)
    Result.ToDeadPerSecond_ = static_cast<double>(After.ToDead_) / DeadAt / Setup.Calls_.Dead_;
  Result.FirstSecondSent_ = part(FirstSecond.Sent_, FirstSecond.Calls_);
  Result.FirstSecondSucceeded_ = part(FirstSecond.Succeeded_, FirstSecond.Calls_);
  return Result;
}

} // namespace rattancart
