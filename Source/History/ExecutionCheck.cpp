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

bool isReadOnly(const ExecutionEvent &Execution) {
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
      if (auto Found = findExecution(Call, ByCall.equal_range(Call.Request_), Calls))
        return Found;
      if (auto Found = findExecution(Call, ByKey.equal_range(Call.Key_), Calls))
        return Found;
    }
    return std::nullopt;
  }

private:
  template <typename Range>
  std::optional<Violation>
  findExecution(const CallEvent &Call, const Range &Executions,
                const std::map<RequestId, const CallEvent *> &Calls) const {
    // If the id or the key is empty, the executions found by it don't belong to the call.
    for (auto It = Executions.first; It != Executions.second && !It->first.empty(); ++It)
      if (contradicts(Call, *It->second, Calls))
        return violation("a call was answered not-run and executed",
                         {Call.Line_, It->second->Line_});
    return std::nullopt;
  }

  /// Whether the execution must not happen, given that the call was answered not-run.
  static bool contradicts(const CallEvent &Call, const ExecutionEvent &Execution,
                          const std::map<RequestId, const CallEvent *> &Calls) {
    if (!Call.Request_.empty() && Execution.Call_ == Call.Request_)
      return true;
    if (Call.Key_.empty() || Execution.Key_ != Call.Key_)
      return false;
    // A copy that was sent before the answer must not be executed; a repeat sent after it may.
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
      if (isReadOnly(Execution) || mayRepeat(Execution, Calls))
        continue;
      if (!Execution.Key_.empty()) {
        const auto [It, IsFirst] = ByKey.emplace(Execution.Key_, &Execution);
        if (!IsFirst)
          return violation("a key was executed twice", {It->second->Line_, Execution.Line_});
      }
      if (!Execution.Call_.empty()) {
        const auto [It, IsFirst] = ByCall.emplace(Execution.Call_, &Execution);
        if (!IsFirst)
          return violation("a call was executed twice", {It->second->Line_, Execution.Line_});
      }
    }
    return std::nullopt;
  }

private:
  static bool mayRepeat(const ExecutionEvent &Execution,
                        const std::map<RequestId, const CallEvent *> &Calls) {
    const auto It = Calls.find(Execution.Call_);
    return It != Calls.end() && It->second->Idempotent_;
  }
};

} // namespace

HistoryCheckPtr makeNotRunCheck() { return std::make_unique<NotRunCheck>(); }
HistoryCheckPtr makeAtMostOnceCheck() { return std::make_unique<AtMostOnceCheck>(); }

} // namespace rattancart::history
