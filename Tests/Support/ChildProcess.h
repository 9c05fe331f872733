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

/// One of our programs, by the name of its file.
struct ProgramCommand {
  std::string Program_;
  std::vector<std::string> Arguments_;
};

/// A running program of ours. It is killed when this object goes. Not thread-safe.
class ChildProcess {
public:
  /// Starts the program without waiting for it. Throws std::runtime_error if that fails.
  explicit ChildProcess(const ProgramCommand &Call);
  ~ChildProcess();
  ChildProcess(ChildProcess &&Other) noexcept;
  ChildProcess &operator=(ChildProcess &&) = delete;

  /// Waits for the line "listening IP:PORT" and returns the address; later calls return it at
  /// once. Throws std::runtime_error if the program ends first or takes longer than Limit.
  const NetAddress &address(Duration Limit = std::chrono::seconds(30));
  /// Waits for a line of standard output that begins with Prefix and returns the rest of it.
  /// Throws as address().
  std::string awaitLine(std::string_view Prefix, Duration Limit = std::chrono::seconds(30));
  /// Standard output up to its end. Throws as address().
  std::string readOutput(Duration Limit = std::chrono::seconds(60));

  /// Signals: SIGSTOP, SIGCONT, SIGHUP, SIGTERM, SIGKILL. Without effect once the program ended.
  void pause();
  void resume();
  void hangUp();
  void terminate();
  void kill();
  /// Waits for the end; returns the exit code, or minus the signal's number. Throws
  /// std::runtime_error if it takes longer than Limit.
  int wait(Duration Limit = std::chrono::seconds(30));
  /// Whether the program has not ended yet.
  bool isRunning();
  pid_t pid() const { return Pid_; }

private:
  void signal(int Number);
  bool readMore(TimePoint Until);
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
ProgramResult runProgram(const ProgramCommand &Call, Duration Limit = std::chrono::seconds(60));

} // namespace rattancart
