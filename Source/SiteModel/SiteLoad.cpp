#include "SiteModel/SiteLoad.h"

#include <algorithm>
#include <random>

namespace rattancart {

namespace {

/// Length of a simulation step; at most one request arrives per step and gateway.
constexpr Duration LoadStep = std::chrono::milliseconds(10);

double boundedExponential(std::mt19937 &Random, double Mean, double Max) {
  return std::min(Max, std::exponential_distribution<double>(1 / Mean)(Random));
}

} // namespace

CallerViews runLoad(SimulatedSite &Site, const SiteLoad &Load, Duration Span) {
  CallerViews Seen;
  std::mt19937 &Random = Site.random();
  const double StepSeconds = std::chrono::duration<double>(LoadStep).count();
  for (Duration Passed{}; Passed < Span; Passed += LoadStep) {
    for (std::size_t GatewayIndex = 0; GatewayIndex < Load.StreamsPerSecond_.size();
         ++GatewayIndex) {
      if (std::uniform_real_distribution<double>(0, 1)(Random) >=
          Load.StreamsPerSecond_[GatewayIndex] * StepSeconds)
        continue;
      const double Prompt =
          40 + boundedExponential(Random, Load.MeanPromptTokens_, Load.MaxPromptTokens_);
      const double Events = 1 + boundedExponential(Random, Load.MeanEvents_, Load.MaxEvents_);
      // One host takes no random number, so that the load stays the same for each seed.
      const std::size_t Host = Load.Hosts_.size() < 2 ? 0 : Random() % Load.Hosts_.size();
      Seen.push_back(Site.sendRequest(GatewayIndex, Prompt, static_cast<std::uint64_t>(Events), {},
                                      Load.Hosts_[Host]));
    }
    Site.queue().run(LoadStep);
  }
  return Seen;
}

double fractionInTime(const CallerViews &Seen) {
  if (Seen.empty())
    return 1;
  const auto Good =
      std::count_if(Seen.begin(), Seen.end(), [](const auto &Each) { return Each->inTime(); });
  return static_cast<double>(Good) / static_cast<double>(Seen.size());
}

std::vector<SecondOutcomes> outcomesBySecond(const CallerViews &Seen, TimePoint Start) {
  std::vector<SecondOutcomes> Seconds;
  for (const auto &Each : Seen) {
    const auto Index = static_cast<std::size_t>(
        std::max<std::int64_t>(0, (Each->SentAt_ - Start) / std::chrono::seconds(1)));
    if (Seconds.size() <= Index)
      Seconds.resize(Index + 1);
    SecondOutcomes &Here = Seconds[Index];
    ++Here.Offered_;
    if (Each->inTime())
      ++Here.InTime_;
    else if (Each->Status_ == 200 && Each->Complete_)
      ++Here.Late_;
    else if (Each->Status_ == 503)
      ++Here.Refused_;
    else
      ++Here.Failed_;
  }
  return Seconds;
}

} // namespace rattancart
