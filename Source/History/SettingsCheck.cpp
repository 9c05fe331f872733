#include "History/HistoryCheck.h"

#include <map>
#include <utility>

namespace rattancart::history {

namespace {

/// One run of a process.
using ProcessRun = std::pair<std::string, Incarnation>;

class SettingsCheck final : public HistoryCheck {
public:
  std::string_view name() const override { return "settings"; }

  std::optional<Violation> run(const History &Events) const override {
    if (auto Found = checkApplied(Events))
      return Found;
    std::map<ChangeId, const DecisionEvent *> Decisions;
    for (const DecisionEvent &Event : Events.Decisions_) {
      const auto [Place, First] = Decisions.emplace(Event.Change_, &Event);
      if (!First && Place->second->Accepted_ != Event.Accepted_)
        return violation("a change was accepted and rejected", {Place->second->Line_, Event.Line_});
    }
    return std::nullopt;
  }

private:
  std::optional<Violation> checkApplied(const History &Events) const {
    std::map<ProcessRun, const AppliedEvent *> Last;
    std::map<LogOffset, const AppliedEvent *> ByOffset;
    for (const AppliedEvent &Event : Events.Applied_) {
      const auto [Before, First] =
          Last.emplace(ProcessRun(Event.Process_, Event.Incarnation_), &Event);
      if (!First && Event.Offset_ <= Before->second->Offset_)
        return violation("applied settings went back", {Before->second->Line_, Event.Line_});
      Before->second = &Event;
      const auto [Same, Fresh] = ByOffset.emplace(Event.Offset_, &Event);
      if (!Fresh && Same->second->Digest_ != Event.Digest_)
        return violation("two processes differ at one offset", {Same->second->Line_, Event.Line_});
    }
    return std::nullopt;
  }
};

} // namespace

HistoryCheckPtr makeSettingsCheck() { return std::make_unique<SettingsCheck>(); }

} // namespace rattancart::history
