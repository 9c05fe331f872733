#include "History/HistoryCheck.h"

#include <fmt/format.h>

namespace rattancart::history {

std::vector<HistoryCheckPtr> allChecks() {
  std::vector<HistoryCheckPtr> Checks;
  Checks.push_back(makeLayerCheck());
  Checks.push_back(makeAnswerCheck());
  Checks.push_back(makeNotRunCheck());
  Checks.push_back(makeAtMostOnceCheck());
  Checks.push_back(makeLeavingCheck());
  Checks.push_back(makeShutdownCheck());
  Checks.push_back(makeSettingsCheck());
  return Checks;
}

std::vector<Violation> findViolations(const History &Events) {
  std::vector<Violation> Found;
  for (const HistoryCheckPtr &Check : allChecks())
    if (std::optional<Violation> First = Check->run(Events))
      Found.push_back(std::move(*First));
  return Found;
}

std::string describe(const Violation &Found, const History &Events) {
  std::string Text = fmt::format("{}: {}\n", Found.Check_, Found.Text_);
  for (const std::size_t Line : Found.Lines_)
    Text += fmt::format("  {}\n", Events.Lines_.at(Line));
  return Text;
}

} // namespace rattancart::history
