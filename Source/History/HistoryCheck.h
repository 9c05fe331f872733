#pragma once

#include "History/Event.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattancart::history {

/// A property that does not hold, with the lines that show it.
struct Violation {
  std::string Check_;
  std::string Text_;
  /// Places in History::Lines_.
  std::vector<std::size_t> Lines_;
};

/// One property of a history. Thread-safe.
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

/// Every token of a whole answer went through each layer exactly once, in order, within one
/// attempt and by one version; no attempt runs a layer twice for a token.
HistoryCheckPtr makeLayerCheck();
/// A whole answer is the model's whole answer to the caller's own prompt; a cut one is a part of
/// it and was seen to be cut.
HistoryCheckPtr makeAnswerCheck();
/// A call told "not-run" was not executed, neither by itself nor by a copy with its key.
HistoryCheckPtr makeNotRunCheck();
/// A key, and a call that may not be repeated, is executed at most once.
HistoryCheckPtr makeAtMostOnceCheck();
/// A leaving endpoint receives no new work after a few seconds.
HistoryCheckPtr makeLeavingCheck();
/// A graceful shutdown cuts off no request in flight.
HistoryCheckPtr makeShutdownCheck();
/// Applied settings only go forward, are the same everywhere, and so are the decisions on changes.
HistoryCheckPtr makeSettingsCheck();

/// All checks, in the order above.
std::vector<HistoryCheckPtr> allChecks();
/// The first violation of each check that fails.
std::vector<Violation> findViolations(const History &Events);
/// A violation as text, with its lines.
std::string describe(const Violation &Found, const History &Events);

} // namespace rattancart::history
