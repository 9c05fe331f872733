#include "History/HistoryCheck.h"

#include "StandIns/AnswerModel.h"

#include <fmt/format.h>

#include <map>

namespace rattancart::history {

namespace {

class AnswerCheck final : public HistoryCheck {
public:
  std::string_view name() const override { return "answers"; }

  std::optional<Violation> run(const History &Events) const override {
    std::map<RequestId, ModelVersion> Versions;
    for (const LayerRunEvent &Run : Events.LayerRuns_)
      Versions.emplace(Run.Request_, Run.Version_);
    for (const CallEvent &Call : Events.Calls_) {
      if (Call.Prompt_.empty() || Call.Status_ != 200)
        continue;
      const ModelVersion &Version = Call.Version_.empty() ? Versions[Call.Request_] : Call.Version_;
      if (auto Found = checkCall(Call, wholeAnswer(Version.str(), Call.Prompt_)))
        return Found;
    }
    return std::nullopt;
  }

private:
  std::optional<Violation> checkCall(const CallEvent &Call, const std::string &Whole) const {
    if (!Call.Truncated_ && Call.Outcome_ != "cut") {
      if (Call.Text_ == Whole)
        return std::nullopt;
      const bool Part = Whole.starts_with(Call.Text_);
      return violation(Part ? "a cut answer was ended like a whole one; whole: " + Whole
                            : "not the answer to the caller's prompt; right: " + Whole,
                       {Call.Line_});
    }
    if (Whole.starts_with(Call.Text_))
      return std::nullopt;
    return violation("a cut answer with foreign tokens; right: " + Whole, {Call.Line_});
  }
};

} // namespace

HistoryCheckPtr makeAnswerCheck() { return std::make_unique<AnswerCheck>(); }

} // namespace rattancart::history
