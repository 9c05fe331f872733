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
  /// After a change was accepted: waits up to this time until all controls have it. Zero: no wait.
  std::chrono::seconds Wait_{0};
  /// How long an unknown outcome is asked about.
  std::chrono::seconds AskAgain_{10};
};

/// The commands of rattancartctl. Each returns the exit code; results go to Out, errors to
/// Errors. Not thread-safe.
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
  struct Plan;
  int plan(const std::string &File, Plan &Out);
  int settle(const std::string &Id, CtlAnswer Answer);
  int reportChange(const boost::json::object &Fields);
  bool hasRevision(const NetAddress &Address, std::int64_t Revision);
  /// Whether all controls have the revision before the time is over.
  bool waitEverywhere(std::int64_t Revision);
  int fail(const std::error_code &Code, const std::string &Detail);
  int show(const CtlAnswer &Answer);

  CtlClient &Client_;
  CtlOptions Options_;
  std::ostream &Out_;
  std::ostream &Errors_;
};

/// Checks a file without a control process; one line a fault goes to Errors.
int validateFile(const std::string &File, std::ostream &Out, std::ostream &Errors);
/// JSON as people read it: one member a line.
std::string prettyJson(const boost::json::value &Value);

} // namespace rattancart
