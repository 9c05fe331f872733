#include "Process/LineLogger.h"

#include <boost/test/unit_test.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>

using namespace rattancart;

namespace {

/// A pipe with a non-blocking read end.
struct Pipe {
  Pipe() {
    BOOST_REQUIRE(pipe(Ends_.data()) == 0);
    fcntl(Ends_[0], F_SETFL, O_NONBLOCK);
  }
  ~Pipe() {
    close(Ends_[0]);
    close(Ends_[1]);
  }
  Pipe(const Pipe &) = delete;
  Pipe &operator=(const Pipe &) = delete;

  std::string read() const {
    std::string Text;
    std::array<char, 65536> Buffer{};
    for (ssize_t Size = 0; (Size = ::read(Ends_[0], Buffer.data(), Buffer.size())) > 0;)
      Text.append(Buffer.data(), static_cast<std::size_t>(Size));
    return Text;
  }

  std::array<int, 2> Ends_{};
};

std::size_t count(const std::string &Text, const std::string &Part) {
  std::size_t Found = 0;
  for (std::size_t At = Text.find(Part); At != std::string::npos; At = Text.find(Part, At + 1))
    ++Found;
  return Found;
}

LineLogger::Options options(int Descriptor, std::uint32_t Lines) {
  LineLogger::Options Options;
  Options.Descriptor_ = Descriptor;
  Options.LinesPerSecond_ = Lines;
  return Options;
}

} // namespace

BOOST_AUTO_TEST_CASE(LinesOfOneEventAreLimitedAndDroppedLinesAreCounted) {
  const Pipe Out;
  ManualClock Time;
  LineLogger Log(Time, "node", options(Out.Ends_[1], 10));
  for (int I = 0; I < 50; ++I)
    Log.log(LogEvent::RequestSent, {{"id", I}});
  Log.log(LogEvent::ProcessReady, {});
  std::string Text = Out.read();
  BOOST_TEST(count(Text, "name=RequestSent") == 10U);
  BOOST_TEST(count(Text, "name=ProcessReady") == 1U);
  Time.advance(std::chrono::seconds(1));
  Log.log(LogEvent::RequestSent, {});
  Text = Out.read();
  BOOST_TEST(count(Text, "name=LinesDropped") == 1U);
  BOOST_TEST(count(Text, "lines=40") == 1U);
  BOOST_TEST(count(Text, "name=RequestSent") == 1U);
}

BOOST_AUTO_TEST_CASE(AnOutputThatIsNotReadNeverBlocksTheProcess) {
  const Pipe Out;
  ManualClock Time;
  LineLogger Log(Time, "node", options(Out.Ends_[1], 1'000'000));
  // Far more than the capacity of a pipe.
  for (int I = 0; I < 20'000; ++I)
    Log.log(LogEvent::RequestSent, {{"id", "0123456789abcdef"}});
  BOOST_TEST(count(Out.read(), "name=RequestSent") < 20'000U);
}

BOOST_AUTO_TEST_CASE(EventsBelowTheLevelAreLeftOut) {
  const Pipe Out;
  ManualClock Time;
  auto Options = options(Out.Ends_[1], 10);
  Options.Minimum_ = LogLevel::Warning;
  LineLogger Log(Time, "node", Options);
  Log.log(LogEvent::RequestSent, {});
  Log.log(LogEvent::PlatformLost, {});
  BOOST_TEST(count(Out.read(), "event=") == 1U);
}
