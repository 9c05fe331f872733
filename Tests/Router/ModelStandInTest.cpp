#include "History/HistoryCheck.h"
#include "History/HistoryReader.h"
#include "StandIns/AnswerModel.h"
#include "StandIns/EngineStandInHandler.h"
#include "Tests/Router/ModelHandlerFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace rattancart;
namespace data = boost::unit_test::data;

namespace {

constexpr int Callers = 24;

struct FaultCase {
  const char *Name_;
  /// The faults of the first engine for each third of the layers.
  const char *Faults_[3];
};
std::ostream &operator<<(std::ostream &Out, const FaultCase &Case) { return Out << Case.Name_; }

const FaultCase FaultCases[] = {
    {"none", {"{}", "{}", "{}"}},
    {"answers crossed", {"{}", R"({"cross_answers":20})", R"({"cross_answers":20})"}},
    {"answers doubled", {R"({"duplicate_step_answers":true})", "{}", "{}"}},
    {"answers lost", {R"({"drop_step_answers":5})", R"({"drop_step_answers":5})", "{}"}},
    {"steps failed", {"{}", R"({"fail_steps":10})", "{}"}},
    {"an engine cut off", {"{}", "{}", R"({"cut_after_steps":60})"}},
    {"two engines cut off", {R"({"cut_after_steps":90})", R"({"cut_after_steps":40})", "{}"}},
    {"an engine leaves", {"{}", R"({"leaving":true})", "{}"}},
};

/// Two stand-in engines for each third of the model's layers.
struct Fixture : ModelHandlerFixture {
  Fixture() {
    makeHandler(std::chrono::milliseconds(500));
    for (std::uint32_t Third = 0; Third < 3; ++Third)
      for (int Copy = 0; Copy < 2; ++Copy)
        addEngine(Third, Copy);
  }

  void addEngine(std::uint32_t Third, int Copy) {
    EngineStandInConfig Config;
    const std::string Id = "e" + std::to_string(Third) + std::to_string(Copy);
    Config.Engine_.Id_ = EndpointId(Id);
    Config.Engine_.Model_ = ModelId("brief");
    Config.Engine_.Version_ = ModelVersion("3");
    Config.Engine_.Layers_ = {Third * 16, Third * 16 + 16};
    Config.Engine_.LayerCount_ = 48;
    Config.Engine_.StepTime_ = std::chrono::milliseconds(1);
    Config.HistoryLimit_ = 100000;
    Fronts_.push_back(std::make_unique<EngineStandInHandler>(Loop_, Log_, Time_, Client_, Config,
                                                             EngineFaults{}));
    Fronts_.back()->setAddress(
        serveEngine(Id, *Fronts_.back(), Config.Engine_.Layers_, Config.Engine_.StepTime_));
  }

  HttpResult call(const std::unique_ptr<HttpServer> &Server, const char *Method, const char *Target,
                  const std::string &Body) {
    HttpRequest Request;
    Request.Method_ = Method;
    Request.Target_ = Target;
    Request.Body_ = Body;
    std::optional<HttpResult> Got;
    Client_.send(Server->address(), Request, {}, [&](HttpResult R) { Got = std::move(R); });
    runUntil([&] { return Got.has_value(); });
    return *Got;
  }

  void setFaults(const FaultCase &Case) {
    for (std::size_t Third = 0; Third < 3; ++Third)
      call(EngineServers_[Third * 2], "POST", "/faults", Case.Faults_[Third]);
  }

  /// The histories that the engines recorded, one event a line.
  std::string engineHistory() {
    std::string Lines;
    for (const auto &Server : EngineServers_) {
      call(Server, "POST", "/faults", R"({"down":false,"cut_after_steps":0})");
      Lines += call(Server, "GET", "/v1/history", "").Response_.Body_ + "\n";
    }
    return Lines;
  }

  std::vector<std::unique_ptr<EngineStandInHandler>> Fronts_;
};

history::CallEvent asCall(const std::string &Prompt, const HttpResult &Got) {
  history::CallEvent Call;
  Call.Request_ = RequestId(std::string(Got.Response_.Headers_.get("x-rattancart-request")));
  Call.Prompt_ = Prompt;
  Call.Version_ = ModelVersion("3");
  Call.Text_ = Got.Response_.Body_;
  Call.Outcome_ = "done";
  Call.Status_ = Got.Response_.Status_;
  return Call;
}

} // namespace

BOOST_DATA_TEST_CASE_F(Fixture, CallersGetTheirOwnWholeAnswers, data::make(FaultCases), Case) {
  View_->Routes_.front().Delivery_ = Delivery::Stream;
  setFaults(Case);
  history::History Events;
  int Answered = 0;
  for (int Caller = 0; Caller < Callers; ++Caller) {
    const std::string Prompt = "caller " + std::to_string(Caller) + " asks #8";
    send(Prompt, [&, Prompt](const HttpResult &Got) {
      ++Answered;
      BOOST_TEST(!Got.Error_, Prompt << ": " << Got.Error_.message());
      BOOST_TEST(Got.Response_.Body_ == wholeAnswer("3", Prompt));
      Events.Calls_.push_back(asCall(Prompt, Got));
    });
  }
  runUntil([&] { return Answered == Callers; });
  BOOST_TEST(Finished_ == Callers);
  std::string Detail;
  BOOST_TEST(!history::readLines(engineHistory(), Events, Detail));
  BOOST_TEST(Events.LayerRuns_.size() >= static_cast<std::size_t>(Callers * 3 * 8));
  for (const auto &Check : {history::makeLayerCheck(), history::makeAnswerCheck()}) {
    const auto Found = Check->run(Events);
    BOOST_TEST(!Found, (Found ? Found->Text_ : ""));
  }
  BOOST_TEST_MESSAGE(Case.Name_ << ": attempts " << Handler_->stats().Attempts_ << " retries "
                                << Handler_->stats().ConnectionRetries_ << " stale "
                                << Handler_->stats().StaleSteps_);
}
