#include "Core/Recovery/PromptQuarantine.h"

#include <algorithm>

namespace rattancart {

namespace {

/// Number of times that a change is reported.
constexpr int ReportsPerChange = 3;
/// Cleared suspects are passed on for this long.
constexpr Duration ClearedShareTime = std::chrono::seconds(5);

} // namespace

void PromptQuarantine::onCrash(const std::vector<PromptPartId> &Parts, const EndpointId &Engine,
                               Incarnation Run, TimePoint Now) {
  bool Changed = false;
  // Old crashes don't count towards the limit together with a new one.
  forgetOldCrashes(Now);
  for (const PromptPartId &Part : Parts) {
    Record &Suspect = Suspects_[Part];
    Suspect.Served_ = Suspect.Served_ || ServedAt_.contains(Part);
    if (!Suspect.Crashes_.try_emplace({Engine, Run}, Crash{Now, false}).second)
      continue;
    report(Suspect, Now);
    Changed = true;
  }
  limitSuspects();
  if (Changed && ReportHandler_)
    ReportHandler_();
}

void PromptQuarantine::onServed(const std::vector<PromptPartId> &Parts, TimePoint Now) {
  bool Changed = false;
  for (const PromptPartId &Part : Parts) {
    rememberServed(Part, Now);
    const auto Found = Suspects_.find(Part);
    if (Found == Suspects_.end())
      continue;
    const bool NearLimit = isNearLimit(Found->second);
    const bool NewlyServed = !std::exchange(Found->second.Served_, true);
    if (clear(Found->second, Now) || NewlyServed)
      Changed = reportCleared(Found->second, NearLimit, Now) || Changed;
  }
  if (Changed && ReportHandler_)
    ReportHandler_();
}

std::optional<QuarantinedPart> PromptQuarantine::find(const std::vector<PromptPartId> &Parts,
                                                      TimePoint Now) const {
  std::optional<QuarantinedPart> Due;
  for (const PromptPartId &Part : Parts) {
    const auto Found = Suspects_.find(Part);
    if (Found == Suspects_.end() || !isQuarantined(Found->second) ||
        isExplainedByOther(Found->second, Parts))
      continue;
    const Duration Remaining = trialDueAt(Found->second) - Now;
    if (Remaining > Duration{})
      return QuarantinedPart{Part, Remaining, false, Found->second.Trial_};
    if (!Due)
      Due = QuarantinedPart{Part, Duration{}, true, Found->second.Trial_};
  }
  return Due;
}

void PromptQuarantine::onTrialRequested(const PromptPartId &Part, TimePoint Now) {
  if (const auto Found = Suspects_.find(Part); Found != Suspects_.end())
    Found->second.ClaimAfter_ = Now + Options_.ClaimRetryTime_;
}

void PromptQuarantine::onTrialClaimed(const PromptPartId &Part, TurnNumber Trial, TimePoint Now) {
  const auto Found = Suspects_.find(Part);
  if (Found == Suspects_.end() || Trial <= Found->second.Trial_)
    return;
  Found->second.Trial_ = Trial;
  Found->second.TrialAt_ = Now;
  report(Found->second, Now);
  if (ReportHandler_)
    ReportHandler_();
}

std::optional<SuspectedPart> PromptQuarantine::mostSuspected(const std::vector<PromptPartId> &Parts,
                                                             TimePoint Now) const {
  std::optional<SuspectedPart> Most;
  for (const PromptPartId &Part : Parts) {
    const auto Found = Suspects_.find(Part);
    const std::size_t Crashes = Found == Suspects_.end() ? 0 : countCrashes(Found->second);
    if (Crashes > (Most ? Most->Crashes_ : 0))
      Most = SuspectedPart{Part, Crashes, Now - lastCrashAt(Found->second)};
  }
  return Most;
}

std::size_t PromptQuarantine::size() const {
  return static_cast<std::size_t>(
      std::count_if(Suspects_.begin(), Suspects_.end(),
                    [this](const auto &Entry) { return isQuarantined(Entry.second); }));
}

std::size_t PromptQuarantine::crashCount(const PromptPartId &Part) const {
  const auto Found = Suspects_.find(Part);
  return Found == Suspects_.end() ? 0 : countCrashes(Found->second);
}

void PromptQuarantine::merge(const std::vector<PromptSuspect> &Suspects, TimePoint Now) {
  bool Changed = false;
  forgetOldCrashes(Now);
  for (const PromptSuspect &Other : Suspects) {
    Record &Suspect = Suspects_[Other.Part_];
    Suspect.Served_ = Suspect.Served_ || Other.Served_;
    const Duration Retention = retentionTime(toRecord(Other));
    for (const EngineCrash &Each : Other.Crashes_)
      if (Now - Each.At_ < Retention)
        mergeCrash(Suspect, Each, Now);
    if (Other.Trial_ > Suspect.Trial_) {
      Suspect.Trial_ = Other.Trial_;
      Suspect.TrialAt_ = Other.TrialAt_;
      Suspect.ChangedAt_ = Now;
    }
    // The others know already what was to be reported.
    if (Other.Served_ && countUncleared(Suspect) == 0)
      Suspect.Reports_ = 0;
    const auto ServedHere = ServedAt_.find(Other.Part_);
    if (ServedHere == ServedAt_.end())
      continue;
    // Answers that arrived here after a crash show that the part was not its cause.
    const bool NearLimit = isNearLimit(Suspect);
    const bool NewlyServed = !std::exchange(Suspect.Served_, true);
    if (clear(Suspect, ServedHere->second) || NewlyServed)
      Changed = reportCleared(Suspect, NearLimit, Now) || Changed;
  }
  limitSuspects();
  if (Changed && ReportHandler_)
    ReportHandler_();
}

void PromptQuarantine::mergeCrash(Record &Suspect, const EngineCrash &Other, TimePoint Now) {
  const auto [Known, New] =
      Suspect.Crashes_.try_emplace({Other.Engine_, Other.Run_}, Crash{Other.At_, Other.Cleared_});
  if (New || (Other.Cleared_ && !Known->second.Cleared_))
    Suspect.ChangedAt_ = Now;
  Known->second.Cleared_ = Known->second.Cleared_ || Other.Cleared_;
}

std::vector<PromptSuspect> PromptQuarantine::takeReports() {
  std::vector<PromptSuspect> Reports;
  for (auto &[Part, Suspect] : Suspects_) {
    if (Suspect.Reports_ == 0 || Reports.size() >= Options_.MaxShared_)
      continue;
    --Suspect.Reports_;
    Reports.push_back(toShared(Part, Suspect));
  }
  return Reports;
}

std::vector<PromptSuspect> PromptQuarantine::suspects(TimePoint Now) const {
  std::vector<std::pair<std::size_t, PromptSuspect>> Ranked;
  for (const auto &[Part, Suspect] : Suspects_) {
    const std::size_t Crashes = countCrashes(Suspect);
    if (Crashes > 0 && isAccessory(Suspect))
      continue;
    if (Crashes > 0 || Now - Suspect.ChangedAt_ < ClearedShareTime)
      Ranked.emplace_back(Crashes, toShared(Part, Suspect));
  }
  std::stable_sort(Ranked.begin(), Ranked.end(),
                   [](const auto &A, const auto &B) { return A.first > B.first; });
  Ranked.resize(std::min(Ranked.size(), Options_.MaxShared_));
  std::vector<PromptSuspect> Shared;
  Shared.reserve(Ranked.size());
  for (auto &[Crashes, Suspect] : Ranked)
    Shared.push_back(std::move(Suspect));
  return Shared;
}

std::size_t PromptQuarantine::countCrashes(const Record &Suspect) const {
  std::vector<TimePoint> Times;
  for (const auto &[Id, Each] : Suspect.Crashes_)
    if (!Each.Cleared_)
      Times.push_back(Each.At_);
  return countApart(std::move(Times));
}

std::size_t PromptQuarantine::countApart(std::vector<TimePoint> Times) const {
  std::sort(Times.begin(), Times.end());
  std::size_t Count = 0;
  std::optional<TimePoint> Last;
  for (const TimePoint Time : Times)
    if (!Last || Time - *Last >= Options_.SameCrashTime_) {
      ++Count;
      Last = Time;
    }
  return Count;
}

TimePoint PromptQuarantine::trialDueAt(const Record &Suspect) const {
  const std::size_t Crashes = countCrashes(Suspect);
  Duration Hold = Options_.HoldTime_;
  for (std::size_t Count = crashLimit(Suspect); Count < Crashes && Hold < Options_.MaxHoldTime_;
       ++Count)
    Hold *= 2;
  const TimePoint Since = std::max(lastCrashAt(Suspect), Suspect.TrialAt_);
  return std::max(Since + std::min(Hold, Options_.MaxHoldTime_) + TrialDelay_, Suspect.ClaimAfter_);
}

TimePoint PromptQuarantine::lastCrashAt(const Record &Suspect) {
  TimePoint Last{};
  for (const auto &[Id, Each] : Suspect.Crashes_)
    if (!Each.Cleared_)
      Last = std::max(Last, Each.At_);
  return Last;
}

bool PromptQuarantine::isExplainedBy(const Record &Suspect, const Record &Other) {
  return std::all_of(Suspect.Crashes_.begin(), Suspect.Crashes_.end(), [&](const auto &Entry) {
    const auto Same = Other.Crashes_.find(Entry.first);
    return Entry.second.Cleared_ || (Same != Other.Crashes_.end() && !Same->second.Cleared_);
  });
}

bool PromptQuarantine::isExplainedByOther(const Record &Suspect,
                                          const std::vector<PromptPartId> &Parts) const {
  const bool ByOne = std::any_of(Suspects_.begin(), Suspects_.end(), [&](const auto &Entry) {
    return std::find(Parts.begin(), Parts.end(), Entry.first) == Parts.end() &&
           isQuarantined(Entry.second) && isExplainedBy(Suspect, Entry.second);
  });
  if (ByOne)
    return true;
  std::vector<TimePoint> Unexplained;
  for (const auto &[Id, Each] : Suspect.Crashes_)
    if (!Each.Cleared_ && !isCrashOfOther(Id, Suspect, Parts))
      Unexplained.push_back(Each.At_);
  return countApart(std::move(Unexplained)) < crashLimit(Suspect);
}

bool PromptQuarantine::isCrashOfOther(const CrashId &Id, const Record &Suspect,
                                      const std::vector<PromptPartId> &Parts) const {
  return std::any_of(Suspects_.begin(), Suspects_.end(), [&](const auto &Entry) {
    const auto Same = Entry.second.Crashes_.find(Id);
    return &Entry.second != &Suspect && Same != Entry.second.Crashes_.end() &&
           !Same->second.Cleared_ &&
           std::find(Parts.begin(), Parts.end(), Entry.first) == Parts.end() &&
           isQuarantined(Entry.second) && countUncleared(Entry.second) > countUncleared(Suspect);
  });
}

bool PromptQuarantine::isAccessory(const Record &Suspect) const {
  const std::size_t Crashes = countUncleared(Suspect);
  return std::any_of(Suspects_.begin(), Suspects_.end(), [&](const auto &Entry) {
    return countUncleared(Entry.second) > Crashes && isExplainedBy(Suspect, Entry.second);
  });
}

std::size_t PromptQuarantine::countUncleared(const Record &Suspect) {
  return static_cast<std::size_t>(
      std::count_if(Suspect.Crashes_.begin(), Suspect.Crashes_.end(),
                    [](const auto &Entry) { return !Entry.second.Cleared_; }));
}

bool PromptQuarantine::clear(Record &Suspect, TimePoint ServedAt) {
  bool Changed = false;
  for (auto &[Id, Each] : Suspect.Crashes_)
    if (Each.At_ <= ServedAt)
      Changed = !std::exchange(Each.Cleared_, true) || Changed;
  return Changed;
}

bool PromptQuarantine::isNearLimit(const Record &Suspect) const {
  return countCrashes(Suspect) + 1 >= crashLimit(Suspect);
}

void PromptQuarantine::report(Record &Suspect, TimePoint Now) {
  Suspect.ChangedAt_ = Now;
  Suspect.Reports_ = ReportsPerChange;
}

bool PromptQuarantine::reportCleared(Record &Suspect, bool NearLimit, TimePoint Now) {
  Suspect.ChangedAt_ = Now;
  Suspect.Reports_ = NearLimit ? ReportsPerChange : std::max(Suspect.Reports_, 1);
  return NearLimit;
}

void PromptQuarantine::forgetOldCrashes(TimePoint Now) {
  for (auto &[Part, Suspect] : Suspects_)
    std::erase_if(Suspect.Crashes_, [&, Retention = retentionTime(Suspect)](const auto &Entry) {
      return Now - Entry.second.At_ >= Retention;
    });
}

void PromptQuarantine::limitSuspects() {
  std::erase_if(Suspects_, [](const auto &Entry) { return Entry.second.Crashes_.empty(); });
  const auto Rank = [this](const Record &Suspect) {
    return std::pair(countCrashes(Suspect), Suspect.ChangedAt_);
  };
  while (Suspects_.size() > Options_.MaxSuspects_)
    Suspects_.erase(
        std::min_element(Suspects_.begin(), Suspects_.end(), [&](const auto &A, const auto &B) {
          return Rank(A.second) < Rank(B.second);
        }));
}

void PromptQuarantine::rememberServed(const PromptPartId &Part, TimePoint Now) {
  const auto [Known, New] = ServedAt_.try_emplace(Part, Now);
  if (!New)
    ServedOrder_.erase({Known->second, Part});
  Known->second = Now;
  ServedOrder_.emplace(Now, Part);
  if (ServedAt_.size() <= Options_.MaxServedParts_)
    return;
  ServedAt_.erase(ServedOrder_.begin()->second);
  ServedOrder_.erase(ServedOrder_.begin());
}

PromptQuarantine::Record PromptQuarantine::toRecord(const PromptSuspect &Shared) {
  Record Suspect;
  Suspect.Served_ = Shared.Served_;
  for (const EngineCrash &Each : Shared.Crashes_)
    Suspect.Crashes_.try_emplace({Each.Engine_, Each.Run_}, Crash{Each.At_, Each.Cleared_});
  return Suspect;
}

PromptSuspect PromptQuarantine::toShared(const PromptPartId &Part, const Record &Suspect) const {
  PromptSuspect Shared{Part, Suspect.Served_, {}, Suspect.Trial_, Suspect.TrialAt_};
  for (const auto &[Id, Each] : Suspect.Crashes_)
    Shared.Crashes_.push_back({Id.first, Id.second, Each.At_, Each.Cleared_});
  std::sort(Shared.Crashes_.begin(), Shared.Crashes_.end(),
            [](const EngineCrash &A, const EngineCrash &B) { return A.At_ > B.At_; });
  Shared.Crashes_.resize(std::min(Shared.Crashes_.size(), Options_.MaxSharedCrashes_));
  return Shared;
}

} // namespace rattancart
