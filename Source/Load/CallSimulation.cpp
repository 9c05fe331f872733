#include "Load/CallSimulation.h"

#include "Core/Recovery/CircuitBreaker.h"
#include "Core/Recovery/RouteRetryBudget.h"

#include <random>
#include <string>
#include <vector>

namespace rattancart {

namespace {

const RouteId LookupRoute("lookup");

struct Tally {
  std::uint64_t Calls_ = 0;
  std::uint64_t Sent_ = 0;
  std::uint64_t SentToDead_ = 0;
  std::uint64_t Succeeded_ = 0;
};

/// What one router knows of its retries and of the endpoints.
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

  /// Simulates one call with all its attempts and adds them to Count.
  void call(TimePoint Now, bool EndpointsDied, Tally &Count) {
    CallRouter &Router = Routers_[Random_() % Routers_.size()];
    Router.Budget_.onFirstAttempt(LookupRoute, Setup_.RetryPercent_, Now);
    ++Count.Calls_;
    for (std::uint32_t Attempt = 1; Attempt <= Setup_.MaxAttempts_; ++Attempt) {
      if (Attempt > 1 && Mode_ == RetryMode::Budget &&
          !Router.Budget_.tryConsumeRetry(LookupRoute, Now))
        return;
      const std::uint32_t Chosen = pick(Router, Now);
      const bool Dead = EndpointsDied && Chosen < Setup_.DeadEndpoints_;
      ++Count.Sent_;
      Count.SentToDead_ += Dead ? 1 : 0;
      if (!Dead) {
        Router.Circuits_.succeeded(Ids_[Chosen], Now);
        ++Count.Succeeded_;
        return;
      }
      if (Mode_ == RetryMode::Budget)
        Router.Circuits_.failed(Ids_[Chosen], Now);
    }
  }

private:
  /// Picks a random endpoint among those whose circuit lets requests pass, or among all if there is
  /// none.
  std::uint32_t pick(CallRouter &Router, TimePoint Now) {
    std::vector<std::uint32_t> Open;
    for (std::uint32_t I = 0; I < Setup_.Endpoints_; ++I)
      if (Router.Circuits_.mayPass(Ids_[I], Now))
        Open.push_back(I);
    const std::uint32_t Chosen = Open.empty()
                                     ? static_cast<std::uint32_t>(Random_() % Setup_.Endpoints_)
                                     : Open[Random_() % Open.size()];
    Router.Circuits_.tryPass(Ids_[Chosen], Now);
    return Chosen;
  }

  const CallExperiment &Setup_;
  RetryMode Mode_;
  std::mt19937_64 Random_;
  std::vector<CallRouter> Routers_;
  std::vector<EndpointId> Ids_;
};

double ratio(std::uint64_t Count, std::uint64_t Total) {
  return Total == 0 ? 0 : static_cast<double>(Count) / static_cast<double>(Total);
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
      Sum->SentToDead_ += One.SentToDead_;
      Sum->Succeeded_ += One.Succeeded_;
    }
  }
  CallResult Result;
  Result.SentPerCall_ = ratio(After.Sent_, After.Calls_);
  Result.SucceededFraction_ = ratio(After.Succeeded_, After.Calls_);
  if (Setup.Calls_.DeadEndpoints_ > 0)
    Result.SentPerSecondToEachDead_ =
        static_cast<double>(After.SentToDead_) / DeadAt / Setup.Calls_.DeadEndpoints_;
  Result.FirstSecondSentPerCall_ = ratio(FirstSecond.Sent_, FirstSecond.Calls_);
  Result.FirstSecondSucceededFraction_ = ratio(FirstSecond.Succeeded_, FirstSecond.Calls_);
  return Result;
}

} // namespace rattancart
