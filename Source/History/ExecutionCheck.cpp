#include "History/HistoryCheck.h"

#include <map>

namespace rattancart::history {

namespace {

std::map<RequestId, const CallEvent *> callsById(const History &Events) {
  std::map<RequestId, const CallEvent *> Calls;
  for (const CallEvent &Call : Events.Calls_)
    Calls.emplace(Call.Request_, &Call);
  return Calls;
}

bool isLookUp(const ExecutionEvent &Execution) {
  return Execution.Method_ == "GET" || Execution.Method_ == "HEAD";
}

class NotRunCheck final : public HistoryCheck {
public:
  std::string_view name() const override { return "not-run"; }

  std::optional<Violation> run(const History &Events) const override {
    const auto Calls = callsById(Events);
    std::multimap<RequestId, const ExecutionEvent *> ByCall;
    std::multimap<IdempotencyKey, const ExecutionEvent *> ByKey;
    for (const ExecutionEvent &Execution : Events.Executions_) {
      ByCall.emplace(Execution.Call_, &Execution);
      ByKey.emplace(Execution.Key_, &Execution);
    }
    for (const CallEvent &Call : Events.Calls_) {
      if (Call.Outcome_ != "not-run")
        continue;
      if (auto Found = judge(Call, ByCall.equal_range(Call.Request_), Calls))
        return Found;
      if (auto Found = judge(Call, ByKey.equal_range(Call.Key_), Calls))
        return Found;
    }
    return std::nullopt;
  }

private:
  template <typename Range>
  std::optional<Violation> judge(const CallEvent &Call, const Range &Executions,
                                 const std::map<RequestId, const CallEvent *> &Calls) const {
    // Executions without an id or a key say nothing about others without one.
    for (auto Place = Executions.first; Place != Executions.second && !Place->first.empty();
         ++Place)
      if (contradicts(Call, *Place->second, Calls))
        return violation("a call was told not-run and executed",
                         {Call.Line_, Place->second->Line_});
    return std::nullopt;
  }

  static bool contradicts(const CallEvent &Call, const ExecutionEvent &Execution,
                          const std::map<RequestId, const CallEvent *> &Calls) {
    if (!Call.Request_.empty() && Execution.Call_ == Call.Request_)
      return true;
    if (Call.Key_.empty() || Execution.Key_ != Call.Key_)
      return false;
    // A repeat that was sent after the answer may run; a copy sent before it may not.
    const auto Other = Calls.find(Execution.Call_);
    return Other == Calls.end() || Other->second->Started_ <= Call.At_;
  }
};

class AtMostOnceCheck final : public HistoryCheck {
public:
  std::string_view name() const override { return "at-most-once"; }

  std::optional<Violation> run(const History &Events) const override {
    const auto Calls = callsById(Events);
    std::map<IdempotencyKey, const ExecutionEvent *> ByKey;
    std::map<RequestId, const ExecutionEvent *> ByCall;
    for (const ExecutionEvent &Execution : Events.Executions_) {
      if (isLookUp(Execution) || mayRepeat(Execution, Calls))
        continue;
      if (!Execution.Key_.empty()) {
        const auto [Place, First] = ByKey.emplace(Execution.Key_, &Execution);
        if (!First)
          return violation("a key was executed twice", {Place->second->Line_, Execution.Line_});
      }
      if (!Execution.Call_.empty()) {
        const auto [Place, First] = ByCall.emplace(Execution.Call_, &Execution);
        if (!First)
          return violation("a call was executed twice", {Place->second->Line_, Execution.Line_});
      }
    }
    return std::nullopt;
  }

private:
  static bool mayRepeat(const ExecutionEvent &Execution,
                        const std::map<RequestId, const CallEvent *> &Calls) {
    const auto Place = Calls.find(Execution.Call_);
    return Place != Calls.end() && Place->second->Idempotent_;
  }
};

} // namespace

HistoryCheckPtr makeNotRunCheck() { return std::make_unique<NotRunCheck>(); }
HistoryCheckPtr makeAtMostOnceCheck() { return std::make_unique<AtMostOnceCheck>(); }

} // namespace rattancart::history
