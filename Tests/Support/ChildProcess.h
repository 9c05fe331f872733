#pragma once

#include "Core/Common/Clock.h"
#include "Core/Membership/Endpoint.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <sys/types.h>

/// Helpers for tests that run the real programs.
namespace rattancart {

/// The command line of one of the programs of this project.
struct ProgramCommand {
  /// The name of its file in the directory of built programs.
  std::string Program_;
  std::vector<std::string> Arguments_;
};

/// A running program, which is killed when this object is destroyed. Not thread-safe.
class ChildProcess {
public:
  /// Starts the program and returns at once. Throws std::runtime_error if that fails.
  explicit ChildProcess(const ProgramCommand &Command);
  ~ChildProcess();
  ChildProcess(ChildProcess &&Other) noexcept;
  ChildProcess &operator=(ChildProcess &&) = delete;

  /// Waits for the line "listening IP:PORT" and returns the address; later calls return it at
  /// once. Throws std::runtime_error if the program ends first or takes longer than Limit.
  const NetAddress &address(Duration Limit = std::chrono::seconds(30));
  /// Waits for a line of standard output that begins with Prefix and returns the rest of it.
  /// Throws as address().
  std::string awaitLine(std::string_view Prefix, Duration Limit = std::chrono::seconds(30));
  /// Reads standard output to its end and returns what no other call has returned. Throws
  /// std::runtime_error if that takes longer than Limit.
  std::string readOutput(Duration Limit = std::chrono::seconds(60));

  /// These send SIGSTOP, SIGCONT, SIGHUP, SIGTERM and SIGKILL. They have no effect once the program
  /// has ended.
  void pause();
  void resume();
  void hangUp();
  void terminate();
  void kill();
  /// Waits for the end of the program and returns its exit code, or the negated number of the
  /// signal that ended it. Throws std::runtime_error if it takes longer than Limit.
  int wait(Duration Limit = std::chrono::seconds(30));
  /// Returns whether the program has not ended yet.
  bool isRunning();
  pid_t pid() const { return Pid_; }

private:
  void signal(int Number);
  bool readMore(TimePoint Deadline);
  std::optional<std::string> takeLine();

  std::string Program_;
  pid_t Pid_ = -1;
  int Output_ = -1;
  std::string Buffer_;
  std::optional<NetAddress> Address_;
  std::optional<int> ExitCode_;
};

struct ProgramResult {
  int ExitCode_ = 0;
  std::string Output_;
};

/// Runs a program to its end. Throws std::runtime_error if it takes longer than Limit.
ProgramResult runProgram(const ProgramCommand &Command, Duration Limit = std::chrono::seconds(60));

} // namespace rattancart
