#pragma once

#include "History/Event.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattancart::history {

/// A violated property, with the events that show it.
struct Violation {
  /// HistoryCheck::name of the check that found it.
  std::string Check_;
  std::string Text_;
  /// Indexes into History::Lines_.
  std::vector<std::size_t> Lines_;
};

/// Checks one property of a history. Thread-safe.
class HistoryCheck {
public:
  virtual ~HistoryCheck() = default;
  virtual std::string_view name() const = 0;
  /// The first violation, or nothing if the property holds.
  virtual std::optional<Violation> run(const History &Events) const = 0;

protected:
  Violation violation(std::string Text, std::vector<std::size_t> Lines) const {
    return {std::string(name()), std::move(Text), std::move(Lines)};
  }
};

using HistoryCheckPtr = std::unique_ptr<HistoryCheck>;

/// Every token of a complete answer went through each layer exactly once, in order, within one
/// attempt and in one model version; no attempt runs a layer twice for a token.
HistoryCheckPtr makeLayerCheck();
/// A complete answer is the model's answer to the caller's own prompt. An incomplete one is the
/// beginning of that answer, and the caller could see that it is incomplete.
HistoryCheckPtr makeAnswerCheck();
/// If a call was answered "not-run", neither it nor a copy with its key was executed.
HistoryCheckPtr makeNotRunCheck();
/// Each key, and each call that may not be repeated, is executed at most once.
HistoryCheckPtr makeAtMostOnceCheck();
/// A leaving endpoint gets no new work later than a few seconds after it first showed that.
HistoryCheckPtr makeLeavingCheck();
/// A graceful shutdown cuts off no request.
HistoryCheckPtr makeShutdownCheck();
/// The offsets of the settings that a process applies increase, all processes apply the same
/// settings at the same offset, and all processes decide alike on each change.
HistoryCheckPtr makeSettingsCheck();

/// All checks, in the order above.
std::vector<HistoryCheckPtr> allChecks();
/// The first violation of each check that fails.
std::vector<Violation> findViolations(const History &Events);
/// A violation as text, followed by its events.
std::string describe(const Violation &Found, const History &Events);

} // namespace rattancart::history
