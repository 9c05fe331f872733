#include "Tests/Support/ChildProcess.h"

#include <fmt/format.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <stdexcept>
#include <thread>
#include <utility>

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace rattancart {

namespace {

constexpr Duration WaitInterval = std::chrono::milliseconds(2);

/// Turns the child of a fork into the program. Only async-signal-safe calls.
[[noreturn]] void becomeProgram(const std::vector<char *> &Arguments, int Output, pid_t Parent) {
  // The program must not outlive a test that crashed.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != Parent || dup2(Output, STDOUT_FILENO) < 0)
    _exit(126);
  execv(Arguments.front(), Arguments.data());
  _exit(127);
}

} // namespace

ChildProcess::ChildProcess(const ProgramCommand &Call) : Program_(Call.Program_) {
  std::vector<std::string> Texts{std::string(RATTANCART_BIN_DIR) + "/" + Call.Program_};
  Texts.insert(Texts.end(), Call.Arguments_.begin(), Call.Arguments_.end());
  std::vector<char *> Arguments;
  Arguments.reserve(Texts.size() + 1);
  for (std::string &Text : Texts)
    Arguments.push_back(Text.data());
  Arguments.push_back(nullptr);

  std::array<int, 2> Pipe{};
  if (pipe2(Pipe.data(), O_CLOEXEC) != 0)
    throw std::runtime_error("no pipe for " + Program_);
  const pid_t Parent = getpid();
  Pid_ = fork();
  if (Pid_ == 0)
    becomeProgram(Arguments, Pipe[1], Parent);
  close(Pipe[1]);
  Output_ = Pipe[0];
  if (Pid_ < 0) {
    close(Output_);
    throw std::runtime_error("can't start " + Program_);
  }
}

ChildProcess::ChildProcess(ChildProcess &&Other) noexcept
    : Program_(std::move(Other.Program_)), Pid_(std::exchange(Other.Pid_, -1)),
      Output_(std::exchange(Other.Output_, -1)), Buffer_(std::move(Other.Buffer_)),
      Address_(std::move(Other.Address_)), ExitCode_(Other.ExitCode_) {}

ChildProcess::~ChildProcess() {
  if (Pid_ > 0 && !ExitCode_) {
    ::kill(Pid_, SIGKILL);
    int Status = 0;
    while (waitpid(Pid_, &Status, 0) < 0 && errno == EINTR)
      ;
  }
  if (Output_ >= 0)
    close(Output_);
}

const NetAddress &ChildProcess::address(Duration Limit) {
  if (!Address_)
    Address_ = NetAddress(awaitLine("listening ", Limit));
  return *Address_;
}

std::string ChildProcess::awaitLine(std::string_view Prefix, Duration Limit) {
  const TimePoint Until = SystemClock().now() + Limit;
  for (;;) {
    while (const std::optional<std::string> Line = takeLine())
      if (std::string_view(*Line).starts_with(Prefix))
        return Line->substr(Prefix.size());
    if (!readMore(Until))
      throw std::runtime_error(fmt::format("{} ended before the line \"{}\"", Program_, Prefix));
  }
}

std::string ChildProcess::readOutput(Duration Limit) {
  const TimePoint Until = SystemClock().now() + Limit;
  while (readMore(Until))
    ;
  return std::exchange(Buffer_, {});
}

std::optional<std::string> ChildProcess::takeLine() {
  const std::size_t End = Buffer_.find('\n');
  if (End == std::string::npos)
    return std::nullopt;
  std::string Line = Buffer_.substr(0, End);
  Buffer_.erase(0, End + 1);
  return Line;
}

bool ChildProcess::readMore(TimePoint Until) {
  const auto Left =
      std::chrono::duration_cast<std::chrono::milliseconds>(Until - SystemClock().now());
  pollfd Wait{Output_, POLLIN, 0};
  const int Ready = poll(&Wait, 1, static_cast<int>(std::max<std::int64_t>(0, Left.count())));
  if (Ready < 0 && errno == EINTR)
    return true;
  if (Ready <= 0)
    throw std::runtime_error("timeout while reading from " + Program_);
  std::array<char, 4096> Bytes{};
  const ssize_t Count = read(Output_, Bytes.data(), Bytes.size());
  if (Count <= 0)
    return Count < 0 && errno == EINTR;
  Buffer_.append(Bytes.data(), static_cast<std::size_t>(Count));
  return true;
}

void ChildProcess::signal(int Number) {
  if (isRunning())
    ::kill(Pid_, Number);
}

void ChildProcess::pause() { signal(SIGSTOP); }
void ChildProcess::resume() { signal(SIGCONT); }
void ChildProcess::hangUp() { signal(SIGHUP); }

void ChildProcess::terminate() { signal(SIGTERM); }
void ChildProcess::kill() { signal(SIGKILL); }

bool ChildProcess::isRunning() {
  if (ExitCode_)
    return false;
  int Status = 0;
  const pid_t Ended = waitpid(Pid_, &Status, WNOHANG);
  if (Ended != Pid_)
    return true;
  ExitCode_ = WIFEXITED(Status) ? WEXITSTATUS(Status) : -WTERMSIG(Status);
  return false;
}

int ChildProcess::wait(Duration Limit) {
  const TimePoint Until = SystemClock().now() + Limit;
  while (isRunning()) {
    if (SystemClock().now() > Until)
      throw std::runtime_error(Program_ + " did not end in time");
    std::this_thread::sleep_for(WaitInterval);
  }
  return *ExitCode_;
}

ProgramResult runProgram(const ProgramCommand &Call, Duration Limit) {
  ChildProcess Process(Call);
  ProgramResult Result;
  Result.Output_ = Process.readOutput(Limit);
  Result.ExitCode_ = Process.wait(Limit);
  return Result;
}

} // namespace rattancart
