#include "Core/Common/ErrorCode.h"
#include "Tests/Router/FakeEngineHandler.h"
#include "Tests/Router/ModelHandlerFixture.h"

#include <boost/asio/post.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>

using namespace rattancart;
namespace data = boost::unit_test::data;

namespace {

constexpr std::uint32_t AnswerTokens = 5;

/// Two engines for each half of the model.
struct Fixture : ModelHandlerFixture {
  Fixture() {
    for (int Index = 0; Index < 4; ++Index)
      addEngine(Index);
  }

  void addEngine(int Index) {
    const std::string Id = "e" + std::to_string(Index);
    Engines_.push_back(std::make_unique<FakeEngineHandler>(Id, AnswerTokens));
    // The first two engines are so much faster that chains use them while they can.
    serveEngine(Id, *Engines_.back(), Index % 2 == 0 ? LayerRange{0, 24} : LayerRange{24, 48},
                std::chrono::milliseconds(Index < 2 ? 1 : 1000));
  }

  std::vector<std::unique_ptr<FakeEngineHandler>> Engines_;
};

std::string expectedText() {
  return fakeAnswer({"how", "do", "I", "tie", "a", "bowline"}, AnswerTokens);
}

std::string wholeBody() {
  return R"({"text":")" + expectedText() + R"(","tokens":5,"model":"brief","version":"3"})";
}

struct BodyCase {
  const char *Body_;
  std::uint32_t Status_;
};
std::ostream &operator<<(std::ostream &Out, const BodyCase &Case) { return Out << Case.Body_; }

const BodyCase BodyCases[] = {
    {R"({"prompt":"how do I tie a bowline"})", 200},
    {R"( {"prompt":"how do  I tie a\nbowline", "more":1})", 200},
    {"", 400},
    {" \n ", 400},
    {R"({"prompt":""})", 400},
    {R"({"prompt":7})", 400},
    {R"({"prompt":"how)", 400},
    {R"({})", 400},
    {"\xff\xfe", 400},
};

struct FaultCase {
  const char *Name_;
  void (*Plant_)(Fixture &);
  std::uint32_t Attempts_;
};
std::ostream &operator<<(std::ostream &Out, const FaultCase &Case) { return Out << Case.Name_; }

const FaultCase FaultCases[] = {
    {"none", [](Fixture &) {}, 1},
    {"first stage dies at prefill", [](Fixture &F) { F.Engines_[0]->DieAfterSteps_ = 0; }, 2},
    {"first stage dies mid-answer", [](Fixture &F) { F.Engines_[0]->DieAfterSteps_ = 2; }, 2},
    {"last stage dies at the first token", [](Fixture &F) { F.Engines_[1]->DieAfterSteps_ = 0; },
     2},
    {"last stage dies at the last token", [](Fixture &F) { F.Engines_[1]->DieAfterSteps_ = 4; }, 2},
    {"two stages die at once",
     [](Fixture &F) {
       F.Engines_[0]->DieAfterSteps_ = 3;
       F.Engines_[1]->DieAfterSteps_ = 2;
     },
     3},
    {"first stage refuses connections", [](Fixture &F) { F.EngineServers_[0]->stop(); }, 2},
    {"a connection goes silent",
     [](Fixture &F) {
       F.makeHandler(std::chrono::milliseconds(300));
       F.Engines_[1]->SilentSteps_ = 1;
     },
     1},
    {"a stage goes silent",
     [](Fixture &F) {
       F.makeHandler(std::chrono::milliseconds(300));
       F.Engines_[1]->HoldSteps_ = true;
     },
     2},
    {"an answer is crossed", [](Fixture &F) { F.Engines_[1]->CrossedAnswers_ = 1; }, 1},
    {"the last stage leaves before its first step",
     [](Fixture &F) {
       F.Engines_[0]->OnStep_ = [&F] { F.Table_.markLeaving(EndpointId("e1"), Incarnation(0)); };
     },
     2},
    {"a stage leaves mid-answer",
     [](Fixture &F) {
       F.Engines_[0]->OnStep_ = [&F] {
         if (F.Engines_[0]->Steps_ == 3)
           F.Table_.markLeaving(EndpointId("e0"), Incarnation(0));
       };
     },
     1},
    {"the first plan's engine left",
     [](Fixture &F) { F.Table_.markLeaving(EndpointId("e0"), Incarnation(0)); }, 1},
};

} // namespace

BOOST_DATA_TEST_CASE_F(Fixture, BodyIsParsedOrRefused, data::make(BodyCases), Case) {
  const HttpResult Got = ask(Case.Body_);
  BOOST_TEST(Got.Response_.Status_ == Case.Status_);
  if (Case.Status_ == 200)
    BOOST_TEST(Got.Response_.Body_ == wholeBody());
  else
    BOOST_TEST(Got.Response_.Headers_.get("x-rattancart-error") == "312");
  BOOST_TEST(Finished_ == 1);
}

BOOST_DATA_TEST_CASE_F(Fixture, AnswerIsWholeUnderFaults,
                       data::make(FaultCases) * data::make({false, true}), Case, Streamed) {
  View_->Routes_.front().Delivery_ = Streamed ? Delivery::Stream : Delivery::Whole;
  // The first prefill of a later attempt is longer than the prompt, so the length is set here.
  for (const auto &Engine : Engines_)
    Engine->PromptLength_ = 6;
  Case.Plant_(*this);
  const HttpResult Got = ask();
  BOOST_TEST(!Got.Error_);
  BOOST_TEST(Got.Response_.Body_ == (Streamed ? expectedText() : wholeBody()));
  BOOST_TEST(Got.Response_.Headers_.get("x-rattancart-outcome") == "done");
  BOOST_TEST(Handler_->stats().Attempts_ == Case.Attempts_);
  BOOST_TEST(Handler_->inFlight() == 0U);
  BOOST_TEST(Handler_->state().at("prefixes").to_number<int>() == 1);
  BOOST_TEST(Finished_ == 1);
  BOOST_TEST(End_.Status_ == 200U);
  BOOST_TEST(End_.Tokens_ == AnswerTokens);
}

BOOST_FIXTURE_TEST_CASE(FailedStreamIsCutAndNeverClosedAsWhole, Fixture) {
  View_->Routes_.front().Delivery_ = Delivery::Stream;
  for (int Index : {1, 3})
    Engines_[Index]->DieAfterSteps_ = 2;
  const HttpResult Got = ask();
  BOOST_TEST(Got.Error_);
  BOOST_TEST(Handler_->stats().Failed_ == 1U);
  BOOST_TEST(Finished_ == 1);
}

BOOST_FIXTURE_TEST_CASE(NoChainIsRefusedAsNotRun, Fixture) {
  Table_.markLeaving(EndpointId("e1"), Incarnation(0));
  Table_.markGone(EndpointId("e3"), Incarnation(0));
  const HttpResult Got = ask();
  BOOST_TEST(Got.Response_.Status_ == 503U);
  BOOST_TEST(Got.Response_.Headers_.get("x-rattancart-outcome") == "not-run");
  BOOST_TEST(Got.Response_.Headers_.get("x-rattancart-error") == "501");
}

BOOST_FIXTURE_TEST_CASE(DeadlineEndsTheRequest, Fixture) {
  Timeout_ = std::chrono::milliseconds(20);
  Engines_[0]->HoldSteps_ = true;
  const HttpResult Got = ask();
  BOOST_TEST(Got.Response_.Status_ == 504U);
  BOOST_TEST(Got.Response_.Headers_.get("x-rattancart-outcome") == "unknown");
  runUntil([&] { return Engines_[0]->Cancels_ == 1 && Engines_[1]->Cancels_ == 1; });
}

BOOST_FIXTURE_TEST_CASE(CallerGoneCancelsAllStages, Fixture) {
  Engines_[1]->HoldSteps_ = true;
  HttpRequest Request;
  Request.Method_ = "POST";
  Request.Body_ = "a b";
  const HttpCallId Call =
      Client_.send(CallerServer_.address(), Request, {}, [](const HttpResult &) {});
  runUntil([&] { return Engines_[1]->Steps_ == 1; });
  BOOST_TEST(Handler_->state().at("requests").as_array().size() == 1U);
  Client_.cancel(Call);
  runUntil([&] { return Engines_[0]->Cancels_ == 1 && Engines_[1]->Cancels_ == 1; });
  BOOST_TEST(Handler_->stats().Cancelled_ == 1U);
  BOOST_TEST(End_.Status_ == 0U);
  BOOST_TEST(Finished_ == 1);
}

BOOST_FIXTURE_TEST_CASE(EndpointGoneEndsTheAttemptAtOnce, Fixture) {
  for (const auto &Engine : Engines_)
    Engine->PromptLength_ = 6;
  Engines_[1]->HoldSteps_ = true;
  boost::asio::post(Loop_, [this] {
    runUntil([&] { return Engines_[1]->Steps_ == 1; });
    Table_.markGone(EndpointId("e1"), Incarnation(0));
    Handler_->onViewChanged();
  });
  BOOST_TEST(ask().Response_.Body_ == wholeBody());
  BOOST_TEST(Handler_->stats().ConnectionRetries_ == 0U);
  BOOST_TEST(Handler_->stats().Attempts_ == 2U);
}
