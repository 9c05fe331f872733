#include "Router/FrameClaimClient.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>

using namespace rattancart;
namespace data = boost::unit_test::data;

namespace {

class FakeSender final : public FrameSender {
public:
  bool isUp() const override { return Up_; }
  bool send(const wire::FrameT &Frame) override {
    if (!Up_)
      return false;
    if (const auto *Request = Frame.payload.AsClaimRequest()) {
      Sent_ += "c" + std::to_string(Request->position);
      LastId_ = Request->id;
    }
    if (const auto *Close = Frame.payload.AsClaimClose())
      Sent_ += Close->closing == wire::ClaimClosing::Done ? 'F' : 'R';
    return true;
  }

  bool Up_ = true;
  std::uint64_t LastId_ = 0;
  std::string Sent_;
};

/// Events, one letter each. Calls: c claim at position 5, a abandon, f finish, r release. Answers:
/// w won, l lost, i not eligible, d done, u unavailable but may still win, n unavailable and never
/// appended. Link: - lost, + up again. Time: p AnswerTimeout_ passes, s CloseResendTime_ passes.
/// Sent: c5 claim, F finish, R release. Replies: letters as for answers.
struct Case {
  const char *Name_;
  const char *Events_;
  const char *Sent_;
  const char *Replies_;
};
std::ostream &operator<<(std::ostream &Out, const Case &C) { return Out << C.Name_; }

const Case Cases[] = {
    {"won and finished", "cwf", "c5F", "w"},
    {"lost, done later", "cld", "c5", "ld"},
    {"link moves before the answer", "c-+w", "c5c5", "w"},
    {"answers of both controls", "c-+ww", "c5c5", "w"},
    {"link moves while a loser follows", "cl-+d", "c5c5", "ld"},
    {"decided claims are not asked again", "cw-+", "c5", "w"},
    {"no link", "-cp", "", "u"},
    {"win after abandon is released", "caw", "c5R", ""},
    {"win after abandon over a new link", "ca-+w", "c5c5R", ""},
    {"second win after abandon", "caww", "c5R", ""},
    {"win after unavailable is released", "cuw", "c5R", "u"},
    {"a claim that was never appended is forgotten", "cn-+w", "c5", "u"},
    {"one control can't speak for another", "c-+nw", "c5c5R", "u"},
    {"win after the answer timeout is released", "cpw", "c5R", "u"},
    {"a loser that is abandoned is forgotten", "cla-+", "c5", "l"},
    {"abandoned, then lost", "cal-+", "c5", ""},
    {"abandoned, then done", "cad", "c5", ""},
    {"finish without a link is sent later", "cw-f+", "c5F", "w"},
    {"release without a link is sent later", "cw-r+", "c5R", "w"},
    {"finish is sent again over a new link", "cwf-+", "c5FF", "w"},
    {"but not for ever", "cwfs-+", "c5F", "w"},
    {"not eligible ends it", "ciw", "c5", "i"},
};

struct Fixture {
  Fixture() : Client_(Loop_, Time_, Log_, Sender_, {}) {}

  void answer(wire::ClaimState State, std::uint16_t Status = 0) {
    wire::ClaimAnswerT Answer;
    Answer.id = Sender_.LastId_;
    Answer.call = "a";
    Answer.state = State;
    Answer.status = Status;
    Client_.onAnswer(Answer);
  }
  void wait(Duration Step) {
    Time_.advance(Step);
    // One tick of the client's timer, which reads the manual clock.
    Loop_.run_one();
  }
  void event(char Event) {
    const RequestId Call("a");
    const IdempotencyKey Key("k");
    switch (Event) {
    case 'c':
      return Client_.claim(Call, Key, LogOffset(5), [this](const ClaimReply &Reply) {
        Replies_ += "wlidu"[static_cast<int>(Reply.State_)];
      });
    case 'a':
      return Client_.abandon(Call);
    case 'f':
      return Client_.finish(Call, Key, 201, "b");
    case 'r':
      return Client_.release(Call, Key);
    case 'w':
      return answer(wire::ClaimState::Won);
    case 'l':
      return answer(wire::ClaimState::Lost);
    case 'i':
      return answer(wire::ClaimState::NotEligible);
    case 'd':
      return answer(wire::ClaimState::Done);
    case 'u':
      return answer(wire::ClaimState::Unavailable, ClaimMayStillWin);
    case 'n':
      return answer(wire::ClaimState::Unavailable);
    case '-':
      Sender_.Up_ = false;
      return Client_.onLinkLost();
    case '+':
      Sender_.Up_ = true;
      return Client_.onLinkUp();
    case 'p':
      return wait(std::chrono::seconds(4));
    default:
      return wait(std::chrono::seconds(6));
    }
  }

  boost::asio::io_context Loop_;
  ManualClock Time_;
  NullLogger Log_;
  FakeSender Sender_;
  FrameClaimClient Client_;
  std::string Replies_;
};

} // namespace

BOOST_DATA_TEST_CASE(LinkEventsKeepOneClaim, data::make(Cases), C) {
  Fixture F;
  for (const char *Event = C.Events_; *Event; ++Event)
    F.event(*Event);
  BOOST_TEST(F.Sender_.Sent_ == C.Sent_);
  BOOST_TEST(F.Replies_ == C.Replies_);
}

BOOST_AUTO_TEST_CASE(ReplyNeverComesFromWithinClaim) {
  Fixture F;
  F.event('-');
  F.event('c');
  BOOST_TEST(F.Replies_.empty());
  F.Loop_.poll();
  BOOST_TEST(F.Replies_ == "u");
}

BOOST_AUTO_TEST_CASE(WaitingClosesAreBounded) {
  boost::asio::io_context Loop;
  ManualClock Time;
  NullLogger Log;
  FakeSender Sender;
  Sender.Up_ = false;
  FrameClaimClientOptions Options;
  Options.MaxCloses_ = 3;
  FrameClaimClient Client(Loop, Time, Log, Sender, Options);
  for (int Index = 0; Index < 10; ++Index)
    Client.finish(RequestId(std::to_string(Index)), IdempotencyKey("k"), 200, "b");
  BOOST_TEST(Client.state().at("closes").to_number<int>() == 3);
  BOOST_TEST(Client.state().at("closes_dropped").to_number<int>() == 7);
}
