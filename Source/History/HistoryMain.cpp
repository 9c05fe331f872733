#include "Core/Common/ErrorCode.h"
#include "History/HistoryCheck.h"
#include "History/HistoryReader.h"

#include <CLI/CLI.hpp>

#include <fmt/format.h>

#include <fstream>
#include <iterator>

using namespace rattancart;

namespace {

int fail(ErrorCode Code, const std::string &Detail) {
  fmt::print(stderr, "{}: {}\n", errorInfo(Code).Text_, Detail);
  return errorInfo(Code).ExitCode_;
}

} // namespace

int main(int Count, char **Arguments) {
  std::vector<std::string> Files;
  bool All = false;
  CLI::App App("Checks histories of concurrent runs and prints the first violation");
  App.add_option("files", Files, "Files of JSON lines; - reads standard input")->required();
  App.add_flag("--all", All, "Print the first violation of each check");
  CLI11_PARSE(App, Count, Arguments);

  history::History Events;
  for (const std::string &File : Files) {
    std::ifstream Input(File == "-" ? "/dev/stdin" : File);
    if (!Input)
      return fail(ErrorCode::SettingsFileUnreadable, File);
    const std::string Text((std::istreambuf_iterator<char>(Input)), {});
    std::string Detail;
    if (history::readLines(Text, Events, Detail))
      return fail(ErrorCode::MalformedBody, fmt::format("{}: {}", File, Detail));
  }
  const std::vector<history::Violation> Found = history::findViolations(Events);
  for (const history::Violation &Each : Found) {
    fmt::print("{}", history::describe(Each, Events));
    if (!All)
      break;
  }
  if (Found.empty())
    fmt::print("{} events hold\n", Events.Lines_.size());
  return Found.empty() ? 0 : errorInfo(ErrorCode::ExpectationFailed).ExitCode_;
}
