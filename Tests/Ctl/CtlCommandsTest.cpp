#include "Ctl/CtlCommands.h"

#include "Control/AdminApi.h"
#include "Core/Settings/TokenHash.h"
#include "Net/HttpServer.h"
#include "Tests/Control/FakeLog.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <functional>
#include <future>
#include <sstream>
#include <string>
#include <thread>

using namespace rattancart;

namespace {

/// The administration API of a control process, run by a thread of its own.
class Control final : public HttpHandler, public SettingsListener, public EndpointDirectory {
public:
  Control() : Thread_([this] { run(); }) { Address_ = Started_.get_future().get(); }
  ~Control() override {
    Loop_.stop();
    Thread_.join();
  }
  Control(const Control &) = delete;
  Control &operator=(const Control &) = delete;

  void handle(HttpRequest Request, HttpResponderPtr Responder) override {
    if (Request.path() == "/cut")
      return;
    if (LoseNextAnswer_ && Request.Method_ == "POST") {
      LoseNextAnswer_ = false;
      // The change takes effect, but the connection is closed without an answer.
      Api_->handle(Request, Responder);
      Responder = nullptr;
      return;
    }
    if (!Api_->handle(Request, Responder))
      Responder->send({200, {}, R"({"state":"ok"})"});
  }
  void onSettingsRecord(LogOffset, std::string_view) override {}
  void onSettingsImage() override {}
  boost::json::array endpoints() const override { return {boost::json::object{{"id", "eng-1"}}}; }

  /// Runs Work on the control's loop and waits for it.
  template <typename Function> void onLoop(Function Work) {
    std::promise<void> Done;
    boost::asio::post(Loop_, [&] {
      Work();
      Done.set_value();
    });
    Done.get_future().get();
  }

  NetAddress Address_;
  FakeLog *Log_ = nullptr;
  bool LoseNextAnswer_ = false;

private:
  void run() {
    LoopScheduler Later(Loop_);
    std::mt19937_64 Random(3);
    FakeLog Log(Later, Random);
    NullLogger Events;
    const SystemClock Time;
    SettingsFollowerOptions Options;
    Options.Self_ = InstanceId("c1");
    Options.SubmitTimeout_ = std::chrono::milliseconds(300);
    SettingsFollower Follower({Log, Time, Later, Events, Random}, Options, *this);
    AdminApi Api(Follower, *this, Events, Random, {tokenHash("root")});
    Api_ = &Api;
    Log_ = &Log;
    HttpServer Server(Loop_, {}, *this, Events);
    const std::error_code Failure = Server.listen(NetAddress("127.0.0.1:0"));
    Follower.start();
    const std::function<void()> Announce = [&] {
      if (Failure || Follower.ready())
        return Started_.set_value(Failure ? NetAddress() : Server.address());
      Later.after(std::chrono::milliseconds(1), Announce);
    };
    boost::asio::post(Loop_, Announce);
    const auto Work = boost::asio::make_work_guard(Loop_);
    Loop_.run();
  }

  boost::asio::io_context Loop_;
  std::promise<NetAddress> Started_;
  AdminApi *Api_ = nullptr;
  std::thread Thread_;
};

struct Outcome {
  int Exit_;
  std::string Out_;
  std::string Errors_;
};

template <typename Function>
Outcome runCommand(const std::vector<NetAddress> &Controls, Function Command,
                   const std::string &Token = "root", bool Json = false) {
  CtlClient Client(Controls, Token, std::chrono::seconds(5));
  std::ostringstream Out;
  std::ostringstream Errors;
  CtlOptions Options;
  Options.Json_ = Json;
  Options.Wait_ = std::chrono::seconds(1);
  CtlCommands Commands(Client, Options, Out, Errors);
  const int Exit = Command(Commands);
  return {Exit, Out.str(), Errors.str()};
}

/// A settings file that the destructor removes.
class TemporaryFile {
public:
  explicit TemporaryFile(const std::string &Text)
      : Name_(fmt::format("ctl-test-{}.yaml", static_cast<const void *>(this))) {
    std::ofstream(Name_) << Text;
  }
  ~TemporaryFile() { std::remove(Name_.c_str()); }
  TemporaryFile(const TemporaryFile &) = delete;
  TemporaryFile &operator=(const TemporaryFile &) = delete;
  const std::string Name_;
};

} // namespace

BOOST_AUTO_TEST_CASE(FileIsAppliedAndSettingsAreShown) {
  Control Process;
  const std::vector<NetAddress> Controls{Process.Address_};
  const std::string File = RATTANCART_EXAMPLES "/pilbara.yaml";
  const auto Apply = [&](CtlCommands &Ctl) { return Ctl.apply(File); };
  BOOST_TEST(runCommand(Controls, Apply).Out_.starts_with("accepted: revision 0"));
  BOOST_TEST(runCommand(Controls, Apply).Out_ == "unchanged\n");
  const Outcome Shown = runCommand(
      Controls, [](CtlCommands &Ctl) { return Ctl.get("/teams/rigging/limits/training/weight"); });
  BOOST_TEST(Shown.Out_ == "0.5\n");
  const Outcome Diff = runCommand(Controls, [](CtlCommands &Ctl) {
    const TemporaryFile Empty("teams: {rigging: {}}\n");
    return Ctl.diff(Empty.Name_);
  });
  BOOST_TEST(Diff.Out_.find("- /teams/rigging/routes/briefs\n") != std::string::npos, Diff.Out_);
  BOOST_TEST(runCommand(Controls, [](CtlCommands &Ctl) {
               return Ctl.drain("eng-1", false);
             }).Out_.starts_with("accepted: revision 1"));
  const Outcome History =
      runCommand(Controls, [](CtlCommands &Ctl) { return Ctl.history("/endpoints", 10); });
  BOOST_TEST(History.Out_.starts_with("1 accepted bootstrap-"), History.Out_);
  BOOST_TEST(runCommand(Controls, [](CtlCommands &Ctl) {
               return Ctl.endpoints();
             }).Out_.find("eng-1") != std::string::npos);
  BOOST_TEST(runCommand(Controls, [&](CtlCommands &Ctl) {
               return Ctl.state(Process.Address_);
             }).Out_.find("ok") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(DecisionIsAskedForAgainWhenTheAnswerWasLost) {
  Control Process;
  Process.onLoop([&] { Process.LoseNextAnswer_ = true; });
  // No process listens at the first address, so the request goes to the second.
  const Outcome Applied =
      runCommand({NetAddress("127.0.0.1:1"), Process.Address_},
                 [](CtlCommands &Ctl) { return Ctl.apply(RATTANCART_EXAMPLES "/maroc.yaml"); });
  BOOST_TEST(Applied.Exit_ == 0, Applied.Errors_);
  LogOffset Next = NoOffset;
  Process.onLoop([&] { Next = Process.Log_->next(); });
  BOOST_TEST((Next == LogOffset(1)));
}

BOOST_AUTO_TEST_CASE(ErrorsHaveTheExitCodesOfErrorInfo) {
  Control Process;
  const std::vector<NetAddress> Controls{Process.Address_};
  const auto Get = [](CtlCommands &Ctl) { return Ctl.get("/"); };
  const Outcome Denied = runCommand(Controls, Get, "wrong");
  BOOST_TEST(Denied.Exit_ == errorInfo(ErrorCode::Unauthenticated).ExitCode_);
  BOOST_TEST(Denied.Errors_.starts_with("error 801:"), Denied.Errors_);
  BOOST_TEST(runCommand(Controls, Get, "wrong", true).Out_.starts_with(R"({"error":801)"));
  BOOST_TEST(runCommand({NetAddress("127.0.0.1:1")}, Get).Exit_ ==
             errorInfo(ErrorCode::ConnectFailed).ExitCode_);
  const TemporaryFile Faulty("defaults: {limit: {weight: 0, speed: 1}}\n");
  const Outcome Refused =
      runCommand(Controls, [&](CtlCommands &Ctl) { return Ctl.apply(Faulty.Name_); });
  BOOST_TEST(Refused.Exit_ == errorInfo(ErrorCode::InvalidValue).ExitCode_);
  BOOST_TEST(std::count(Refused.Errors_.begin(), Refused.Errors_.end(), '\n') == 2);
  const Outcome Missing =
      runCommand(Controls, [](CtlCommands &Ctl) { return Ctl.apply("no-such-file.yaml"); });
  BOOST_TEST(Missing.Exit_ == errorInfo(ErrorCode::SettingsFileUnreadable).ExitCode_);
  const Outcome BadPath = runCommand(Controls, [](CtlCommands &Ctl) { return Ctl.get("a b"); });
  BOOST_TEST(BadPath.Exit_ == errorInfo(ErrorCode::BadPath).ExitCode_);
  const Outcome BadId =
      runCommand(Controls, [](CtlCommands &Ctl) { return Ctl.drain("a/b", false); });
  BOOST_TEST(BadId.Exit_ == errorInfo(ErrorCode::Usage).ExitCode_);
  BOOST_TEST(runCommand(Controls, [](CtlCommands &Ctl) { return Ctl.change("nobody"); }).Exit_ ==
             errorInfo(ErrorCode::ChangeUnknown).ExitCode_);
}
