#include "History/HistoryCheck.h"

#include "StandIns/AnswerModel.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

namespace rattancart::history {

namespace {

using Runs = std::vector<const LayerRunEvent *>;
using Attempts = std::map<AttemptNumber, Runs>;

std::vector<std::size_t> linesOf(const Runs &Of) {
  std::vector<std::size_t> Lines;
  for (const LayerRunEvent *Run : Of)
    Lines.push_back(Run->Line_);
  return Lines;
}

class LayerCheck final : public HistoryCheck {
public:
  std::string_view name() const override { return "layers"; }

  std::optional<Violation> run(const History &Events) const override {
    std::map<RequestId, Attempts> Requests;
    for (const LayerRunEvent &Run : Events.LayerRuns_)
      Requests[Run.Request_][Run.Attempt_].push_back(&Run);
    for (const auto &[Request, ByAttempt] : Requests)
      if (auto Found = checkRequest(ByAttempt))
        return Found;
    for (const CallEvent &Call : Events.Calls_)
      if (auto Found = checkDelivered(Call, Requests[Call.Request_]))
        return Found;
    return std::nullopt;
  }

private:
  std::optional<Violation> checkRequest(const Attempts &ByAttempt) const {
    const LayerRunEvent *First = ByAttempt.begin()->second.front();
    for (const auto &[Attempt, All] : ByAttempt)
      for (const LayerRunEvent *Run : All)
        if (Run->Version_ != First->Version_)
          return violation("a request ran on two versions", {First->Line_, Run->Line_});
    for (const auto &[Attempt, All] : ByAttempt)
      for (const auto &LayerGroup : layerGroups(All))
        if (auto Found = checkLayerGroup(LayerGroup))
          return Found;
    return checkImports(ByAttempt);
  }

  /// Splits the layers at the ends of all runs, so that each run covers a group of layers
  /// completely or not at all. Returns the runs of each group, sorted by position.
  static std::vector<Runs> layerGroups(const Runs &All) {
    std::set<std::uint32_t> Cuts;
    for (const LayerRunEvent *Run : All) {
      Cuts.insert(Run->Layers_.Begin_);
      Cuts.insert(Run->Layers_.End_);
    }
    std::vector<Runs> LayerGroups;
    for (const std::uint32_t Begin : Cuts) {
      Runs LayerGroup;
      for (const LayerRunEvent *Run : All)
        if (Run->Layers_.Begin_ <= Begin && Begin < Run->Layers_.End_)
          LayerGroup.push_back(Run);
      std::stable_sort(LayerGroup.begin(), LayerGroup.end(),
                       [](const auto *A, const auto *B) { return A->Position_ < B->Position_; });
      if (!LayerGroup.empty())
        LayerGroups.push_back(std::move(LayerGroup));
    }
    return LayerGroups;
  }

  /// Checks that an imported KV cache was computed by an earlier attempt.
  std::optional<Violation> checkImports(const Attempts &ByAttempt) const {
    for (const auto &[Attempt, All] : ByAttempt)
      for (const LayerRunEvent *Run : All)
        if (Run->Imported_ && !computedBefore(*Run, ByAttempt))
          return violation("a KV cache was imported that no earlier attempt computed",
                           {Run->Line_});
    return std::nullopt;
  }

  static bool computedBefore(const LayerRunEvent &Import, const Attempts &ByAttempt) {
    for (const auto &[Attempt, All] : ByAttempt) {
      if (Attempt >= Import.Attempt_)
        break;
      std::uint32_t Next = 0;
      for (const Runs &LayerGroup : layerGroups(All))
        for (const LayerRunEvent *Run : LayerGroup)
          if (Run->Layers_ == Import.Layers_ && Run->Position_ == Next)
            Next += Run->Count_;
      if (Next >= Import.Count_)
        return true;
    }
    return false;
  }

  std::optional<Violation> checkLayerGroup(const Runs &LayerGroup) const {
    for (std::size_t Index = 1; Index < LayerGroup.size(); ++Index) {
      const LayerRunEvent *Before = LayerGroup[Index - 1];
      const LayerRunEvent *Run = LayerGroup[Index];
      if (Run->Position_ < Before->Position_ + Before->Count_)
        return violation(fmt::format("a layer ran twice for the token at {}", Run->Position_),
                         {Before->Line_, Run->Line_});
      const bool SameEngine = Run->Engine_ == Before->Engine_;
      if (SameEngine && Run->Sequence_ < Before->Sequence_)
        return violation("tokens went through a layer out of order", {Before->Line_, Run->Line_});
    }
    return std::nullopt;
  }

  /// How many tokens, counted from the first, went through all layers in this attempt.
  static std::uint32_t tokensThroughAllLayers(const Runs &All) {
    std::uint32_t Covered = UINT32_MAX;
    std::uint32_t NextLayer = 0;
    std::uint32_t LayerCount = 0;
    std::set<std::uint32_t> Ends;
    for (const LayerRunEvent *Run : All) {
      Ends.insert(Run->Layers_.End_);
      Ends.insert(Run->Layers_.Begin_);
      LayerCount = std::max(LayerCount, Run->LayerCount_);
    }
    for (const Runs &LayerGroup : layerGroups(All)) {
      const auto CoversNextLayer = [&](const LayerRunEvent *Run) {
        return Run->Layers_.Begin_ <= NextLayer && NextLayer < Run->Layers_.End_;
      };
      if (!std::all_of(LayerGroup.begin(), LayerGroup.end(), CoversNextLayer))
        return 0;
      std::uint32_t Next = 0;
      for (const LayerRunEvent *Run : LayerGroup)
        if (Run->Position_ == Next)
          Next += Run->Count_;
      Covered = std::min(Covered, Next);
      NextLayer = *Ends.upper_bound(NextLayer);
    }
    return NextLayer == LayerCount ? Covered : 0;
  }

  std::optional<Violation> checkDelivered(const CallEvent &Call, const Attempts &ByAttempt) const {
    if (Call.Prompt_.empty() || Call.Outcome_ != "done" || Call.Status_ != 200 || Call.Truncated_)
      return std::nullopt;
    const std::size_t Prompt = splitTokens(Call.Prompt_).size();
    const std::size_t Answer = splitTokens(Call.Text_).size();
    std::vector<std::size_t> Evidence{Call.Line_};
    // The answer's last token goes through no layer: no further token is computed from it.
    std::uint32_t Longest = 0;
    for (const auto &[Attempt, All] : ByAttempt) {
      Longest = std::max(Longest, tokensThroughAllLayers(All));
      const auto Lines = linesOf(All);
      Evidence.insert(Evidence.end(), Lines.begin(), Lines.end());
    }
    if (Longest + 1 >= Prompt + Answer)
      return std::nullopt;
    return violation(
        fmt::format(
            "{} tokens were delivered after a prompt of {}, but only {} tokens went through "
            "all layers in one attempt",
            Answer, Prompt, Longest),
        std::move(Evidence));
  }
};

} // namespace

HistoryCheckPtr makeLayerCheck() { return std::make_unique<LayerCheck>(); }

} // namespace rattancart::history
