#pragma once

#include "Ctl/CtlClient.h"

#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <string>
#include <string_view>

namespace rattancart {

struct CtlOptions {
  bool Json_ = false;
  /// How long to wait until all controls have an accepted change; zero to not wait.
  std::chrono::seconds Wait_{0};
  /// How long to ask for the decision on a change whose outcome is unknown.
  std::chrono::seconds UnknownOutcomeTimeout_{10};
};

/// The commands of rattancartctl. Each writes results to Out and errors to Errors, and returns the
/// program's exit code. Not thread-safe.
class CtlCommands {
public:
  /// Precondition: all references outlive this object.
  CtlCommands(CtlClient &Client, CtlOptions Options, std::ostream &Out, std::ostream &Errors)
      : Client_(Client), Options_(Options), Out_(Out), Errors_(Errors) {}

  int get(const std::string &Path);
  int apply(const std::string &File);
  int diff(const std::string &File);
  int history(const std::string &Path, std::uint32_t Limit);
  int change(const std::string &Id);
  int state(const NetAddress &Address);
  int endpoints();
  int drain(const std::string &Endpoint, bool Undo);

private:
  struct PlannedChange;
  /// Computes the change that makes the settings equal to the file.
  int planChange(const std::string &File, PlannedChange &Out);
  /// Prints the decision on the change that Answer belongs to. Asks the controls for it while the
  /// outcome is unknown, up to UnknownOutcomeTimeout_.
  int awaitDecision(const std::string &Id, CtlAnswer Answer);
  /// Prints the decision on a change; waits for all controls if it was accepted.
  int reportChange(const boost::json::object &Fields);
  bool hasRevision(const NetAddress &Address, std::int64_t Revision);
  /// Waits up to Wait_ until all controls have the revision; false if they don't.
  bool waitForRevision(std::int64_t Revision);
  /// Prints an error; returns its exit code.
  int reportError(const std::error_code &Code, const std::string &Detail);
  /// Prints the answer's body or its error.
  int printAnswer(const CtlAnswer &Answer);

  CtlClient &Client_;
  CtlOptions Options_;
  std::ostream &Out_;
  std::ostream &Errors_;
};

/// Checks a settings file without a control process. Writes a line per fault to Errors and returns
/// the program's exit code.
int validateFile(const std::string &File, std::ostream &Out, std::ostream &Errors);
/// Indented JSON with one member per line.
std::string prettyJson(const boost::json::value &Value);

} // namespace rattancart
