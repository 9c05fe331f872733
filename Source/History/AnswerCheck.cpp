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
  std::optional<Violation> checkCall(const CallEvent &Call, const std::string &Expected) const {
    if (!Call.Truncated_ && Call.Outcome_ != "cut") {
      if (Call.Text_ == Expected)
        return std::nullopt;
      const bool IsPrefix = Expected.starts_with(Call.Text_);
      return violation(IsPrefix ? "an incomplete answer was ended as a complete one; expected: " +
                                      Expected
                                : "not the answer to the caller's prompt; expected: " + Expected,
                       {Call.Line_});
    }
    if (Expected.starts_with(Call.Text_))
      return std::nullopt;
    return violation(
        "an incomplete answer has tokens that are not in the expected one; expected: " + Expected,
        {Call.Line_});
  }
};

} // namespace

HistoryCheckPtr makeAnswerCheck() { return std::make_unique<AnswerCheck>(); }

} // namespace rattancart::history
