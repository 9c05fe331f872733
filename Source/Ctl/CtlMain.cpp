#include "Core/Common/ErrorCode.h"
#include "Core/Settings/TokenHash.h"
#include "Ctl/CtlCommands.h"
#include "Net/Address.h"

#include <CLI/CLI.hpp>

#include <iostream>
#include <string>
#include <vector>

using namespace rattancart;

namespace {

struct Arguments {
  std::vector<std::string> Controls_;
  std::string Token_;
  CtlOptions Options_;
  std::uint32_t WaitSeconds_ = 0;
  std::uint32_t TimeoutSeconds_ = 10;
  std::string Path_ = "/";
  std::string File_;
  std::string Name_;
  std::uint32_t Limit_ = 50;
  bool Undo_ = false;
};

int usage(const std::string &Detail) {
  const std::error_code Code = ErrorCode::Usage;
  std::cerr << "error " << Code.value() << ": " << Code.message() << ": " << Detail << '\n';
  return errorInfo(ErrorCode::Usage).ExitCode_;
}

void addCommands(CLI::App &App, Arguments &Given) {
  CLI::App *Get = App.add_subcommand("get", "Prints the settings at and below a path");
  Get->add_option("path", Given.Path_, "Settings path")->capture_default_str();
  for (const auto &[Name, Text] :
       {std::pair{"apply", "Makes the settings equal to a file, as one change"},
        std::pair{"diff", "Prints what apply would change"},
        std::pair{"validate", "Checks a file without a control process"}})
    App.add_subcommand(Name, Text)
        ->add_option("file", Given.File_, "YAML file of settings")
        ->required();
  CLI::App *History = App.add_subcommand("history", "Prints the latest decisions on changes");
  History->add_option("path", Given.Path_, "Settings path")->capture_default_str();
  History->add_option("--limit", Given.Limit_, "Maximum number of decisions")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  App.add_subcommand("change", "Prints the decision on a change")
      ->add_option("id", Given.Name_, "Change id")
      ->required();
  App.add_subcommand("state", "Prints the state of a process")
      ->add_option("address", Given.Name_, "IP:PORT of its state server")
      ->required();
  App.add_subcommand("endpoints", "Prints the endpoints that a control process knows");
  CLI::App *Drain = App.add_subcommand("drain", "Keeps new work away from an endpoint");
  Drain->add_option("id", Given.Name_, "Endpoint id")->required();
  Drain->add_flag("--undo", Given.Undo_, "Lets the endpoint take work again");
  App.add_subcommand("hash-token", "Prints the hash of an operator's token")
      ->add_option("token", Given.Name_, "Token")
      ->required();
}

int run(const std::string &Command, const Arguments &Given) {
  if (Command == "hash-token") {
    std::cout << tokenHash(Given.Name_) << '\n';
    return 0;
  }
  if (Command == "validate")
    return validateFile(Given.File_, std::cout, std::cerr);
  std::vector<NetAddress> Controls;
  for (const std::string &Text : Given.Controls_)
    Controls.emplace_back(Text);
  if (Command == "state")
    Controls = {NetAddress(Given.Name_)};
  if (Controls.empty())
    return usage("--control IP:PORT is required");
  for (const NetAddress &Address : Controls)
    if (!parseAddress(Address))
      return usage(Address.str() + " is not IP:PORT");
  // A state server needs no token, so none is sent to it.
  const std::string Token = Command == "state" ? std::string() : Given.Token_;
  CtlClient Client(Controls, Token, std::chrono::seconds(Given.TimeoutSeconds_));
  CtlOptions Options = Given.Options_;
  Options.Wait_ = std::chrono::seconds(Given.WaitSeconds_);
  CtlCommands Commands(Client, Options, std::cout, std::cerr);
  if (Command == "get")
    return Commands.get(Given.Path_);
  if (Command == "apply")
    return Commands.apply(Given.File_);
  if (Command == "diff")
    return Commands.diff(Given.File_);
  if (Command == "history")
    return Commands.history(Given.Path_, Given.Limit_);
  if (Command == "change")
    return Commands.change(Given.Name_);
  if (Command == "state")
    return Commands.state(NetAddress(Given.Name_));
  if (Command == "drain")
    return Commands.drain(Given.Name_, Given.Undo_);
  return Commands.endpoints();
}

} // namespace

int main(int Count, char **Values) {
  Arguments Given;
  CLI::App App("Administration of rattancart");
  App.set_version_flag("--version", std::string("rattancartctl ") + RATTANCART_VERSION);
  App.add_option("--control", Given.Controls_,
                 "IP:PORT of a control's administration API; several are tried in turn")
      ->envname("RATTANCART_CONTROL")
      ->delimiter(',')
      ->allow_extra_args(false);
  App.add_option("--token", Given.Token_, "The operator's token")->envname("RATTANCART_TOKEN");
  App.add_flag("--json", Given.Options_.Json_, "Prints JSON");
  App.add_option("--wait", Given.WaitSeconds_,
                 "Seconds to wait until all given controls have an accepted change");
  App.add_option("--timeout", Given.TimeoutSeconds_, "Seconds that one request may take")
      ->check(CLI::Range(1, 600))
      ->capture_default_str();
  App.require_subcommand(1);
  App.fallthrough();
  addCommands(App, Given);
  try {
    App.parse(Count, Values);
  } catch (const CLI::ParseError &Failure) {
    return App.exit(Failure) == 0 ? 0 : errorInfo(ErrorCode::Usage).ExitCode_;
  }
  return run(App.get_subcommands().front()->get_name(), Given);
}
