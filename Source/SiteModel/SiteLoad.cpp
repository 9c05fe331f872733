#include "SiteModel/SiteLoad.h"

#include <algorithm>
#include <random>

namespace rattancart {

namespace {

/// Callers come at steps of this length, at most one a step and gateway.
constexpr Duration LoadStep = std::chrono::milliseconds(10);

double spread(std::mt19937 &Random, double Mean, double Most) {
  return std::min(Most, std::exponential_distribution<double>(1 / Mean)(Random));
}

} // namespace

CallerViews runLoad(SimulatedSite &Site, const SiteLoad &Load, Duration Span) {
  CallerViews Seen;
  std::mt19937 &Random = Site.random();
  const double StepSeconds = std::chrono::duration<double>(LoadStep).count();
  for (Duration Passed{}; Passed < Span; Passed += LoadStep) {
    for (std::size_t At = 0; At < Load.StreamsPerSecond_.size(); ++At) {
      if (std::uniform_real_distribution<double>(0, 1)(Random) >=
          Load.StreamsPerSecond_[At] * StepSeconds)
        continue;
      const double Prompt = 40 + spread(Random, Load.MeanPromptTokens_, Load.MaxPromptTokens_);
      const double Events = 1 + spread(Random, Load.MeanEvents_, Load.MaxEvents_);
      Seen.push_back(Site.sendRequest(At, Prompt, static_cast<std::uint64_t>(Events)));
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
