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

constexpr Duration ExitPollInterval = std::chrono::milliseconds(2);

/// Runs the program in the child of a fork. Makes only async-signal-safe calls.
[[noreturn]] void execProgram(const std::vector<char *> &Arguments, int Output, pid_t Parent) {
  // The program must not outlive a test that crashed.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != Parent || dup2(Output, STDOUT_FILENO) < 0)
    _exit(126);
  // With an inherited listening socket, the port of a stand-in would stay open after the stand-in
  // has stopped.
  close_range(STDERR_FILENO + 1, ~0U, 0);
  execv(Arguments.front(), Arguments.data());
  _exit(127);
}

} // namespace

ChildProcess::ChildProcess(const ProgramCommand &Command) : Program_(Command.Program_) {
  std::vector<std::string> ArgumentStrings{std::string(RATTANCART_BIN_DIR) + "/" +
                                           Command.Program_};
  ArgumentStrings.insert(ArgumentStrings.end(), Command.Arguments_.begin(),
                         Command.Arguments_.end());
  std::vector<char *> Arguments;
  Arguments.reserve(ArgumentStrings.size() + 1);
  for (std::string &Argument : ArgumentStrings)
    Arguments.push_back(Argument.data());
  Arguments.push_back(nullptr);

  std::array<int, 2> Pipe{};
  if (pipe2(Pipe.data(), O_CLOEXEC) != 0)
    throw std::runtime_error("can't create a pipe for " + Program_);
  const pid_t Parent = getpid();
  Pid_ = fork();
  if (Pid_ == 0)
    execProgram(Arguments, Pipe[1], Parent);
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
  const TimePoint Deadline = SystemClock().now() + Limit;
  std::string Last;
  for (;;) {
    while (const std::optional<std::string> Line = takeLine()) {
      if (std::string_view(*Line).starts_with(Prefix))
        return Line->substr(Prefix.size());
      Last = *Line;
    }
    if (!readMore(Deadline))
      throw std::runtime_error(fmt::format("{} ended before it wrote the line \"{}\", after \"{}\"",
                                           Program_, Prefix, Last));
  }
}

std::string ChildProcess::readOutput(Duration Limit) {
  const TimePoint Deadline = SystemClock().now() + Limit;
  while (readMore(Deadline))
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

bool ChildProcess::readMore(TimePoint Deadline) {
  const auto TimeLeft =
      std::chrono::duration_cast<std::chrono::milliseconds>(Deadline - SystemClock().now());
  pollfd Readable{Output_, POLLIN, 0};
  const int Ready =
      poll(&Readable, 1, static_cast<int>(std::max<std::int64_t>(0, TimeLeft.count())));
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
  const pid_t EndedPid = waitpid(Pid_, &Status, WNOHANG);
  if (EndedPid != Pid_)
    return true;
  ExitCode_ = WIFEXITED(Status) ? WEXITSTATUS(Status) : -WTERMSIG(Status);
  return false;
}

int ChildProcess::wait(Duration Limit) {
  const TimePoint Deadline = SystemClock().now() + Limit;
  while (isRunning()) {
    if (SystemClock().now() > Deadline)
      throw std::runtime_error(Program_ + " did not end in time");
    std::this_thread::sleep_for(ExitPollInterval);
  }
  return *ExitCode_;
}

ProgramResult runProgram(const ProgramCommand &Command, Duration Limit) {
  ChildProcess Process(Command);
  ProgramResult Result;
  Result.Output_ = Process.readOutput(Limit);
  Result.ExitCode_ = Process.wait(Limit);
  return Result;
}

} // namespace rattancart
