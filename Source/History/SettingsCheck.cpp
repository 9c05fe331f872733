#include "History/HistoryCheck.h"

#include <map>
#include <utility>

namespace rattancart::history {

namespace {

/// A process and its incarnation.
using ProcessRun = std::pair<std::string, Incarnation>;

class SettingsCheck final : public HistoryCheck {
public:
  std::string_view name() const override { return "settings"; }

  std::optional<Violation> run(const History &Events) const override {
    if (auto Found = checkApplied(Events))
      return Found;
    std::map<ChangeId, const DecisionEvent *> Decisions;
    for (const DecisionEvent &Event : Events.Decisions_) {
      const auto [It, IsFirst] = Decisions.emplace(Event.Change_, &Event);
      if (!IsFirst && It->second->Accepted_ != Event.Accepted_)
        return violation("a change was accepted and rejected", {It->second->Line_, Event.Line_});
    }
    return std::nullopt;
  }

private:
  std::optional<Violation> checkApplied(const History &Events) const {
    std::map<ProcessRun, const SettingsAppliedEvent *> Last;
    std::map<LogOffset, const SettingsAppliedEvent *> ByOffset;
    for (const SettingsAppliedEvent &Event : Events.AppliedSettings_) {
      const auto [Previous, IsFirst] =
          Last.emplace(ProcessRun(Event.Process_, Event.Incarnation_), &Event);
      if (!IsFirst && Event.Offset_ <= Previous->second->Offset_)
        return violation("applied settings went back to an earlier offset",
                         {Previous->second->Line_, Event.Line_});
      Previous->second = &Event;
      const auto [SameOffset, IsFirstAtOffset] = ByOffset.emplace(Event.Offset_, &Event);
      if (!IsFirstAtOffset && SameOffset->second->Digest_ != Event.Digest_)
        return violation("two processes differ in their settings at one offset",
                         {SameOffset->second->Line_, Event.Line_});
    }
    return std::nullopt;
  }
};

} // namespace

HistoryCheckPtr makeSettingsCheck() { return std::make_unique<SettingsCheck>(); }

} // namespace rattancart::history
