#include "Core/Common/ErrorCode.h"
#include "Link/LinkDialer.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <random>

using namespace rattancart;

namespace {

/// Counts the callbacks for links.
class CountingOwner final : public PeerLinkOwner {
public:
  wire::HelloT makeHello() override {
    wire::HelloT Hello;
    Hello.protocol = Protocol_;
    Hello.instance = "i1";
    return Hello;
  }
  wire::HeartbeatT makeHeartbeat() override { return {}; }
  void onLinkUp(const PeerLinkPtr &Link) override {
    ++UpCount_;
    LastLink_ = Link;
  }
  void onLinkFrame(const PeerLinkPtr &Link, const wire::FrameT &Frame) override {
    ++FrameCount_;
    if (const auto *Heartbeat = Frame.payload.AsHeartbeat())
      LastCreationTime_ = Link->earliestCreationTime(Heartbeat->echo);
  }
  void onLinkDown(const PeerLinkPtr &Link, std::error_code Reason) override {
    ++DownCount_;
    Reason_ = Reason;
    if (LastLink_ == Link)
      LastLink_ = nullptr;
  }

  std::uint16_t Protocol_ = FrameProtocolVersion;
  int UpCount_ = 0;
  int DownCount_ = 0;
  int FrameCount_ = 0;
  std::error_code Reason_;
  TimePoint LastCreationTime_{};
  PeerLinkPtr LastLink_;
};

struct Fixture {
  Fixture()
      : Server_(Loop_, [this](FrameConnectionPtr Connection) {
          Links_.push_back(
              std::make_shared<PeerLink>(Loop_, Time_, ServerOwner_, std::move(Connection)));
          Links_.back()->start();
        }) {
    BOOST_REQUIRE(!Server_.listen(NetAddress("127.0.0.1:0")));
  }

  void runUntil(const std::function<bool()> &Condition) {
    while (!Condition() && Loop_.run_one_for(std::chrono::seconds(30)))
      ;
    BOOST_REQUIRE(Condition());
  }

  boost::asio::io_context Loop_;
  SystemClock Time_;
  std::mt19937_64 Random_{1};
  CountingOwner ServerOwner_;
  CountingOwner ClientOwner_;
  std::vector<PeerLinkPtr> Links_;
  FrameServer Server_;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(EchoedHeartbeatsLimitTheAgeOfFrames, Fixture) {
  LinkDialer Dialer(Loop_, Time_, ClientOwner_, Random_, {Server_.address()});
  const TimePoint Before = Time_.now();
  Dialer.start();
  runUntil([&] { return ClientOwner_.LastCreationTime_ > TimePoint{}; });
  BOOST_TEST((ClientOwner_.LastCreationTime_ >= Before));
  BOOST_TEST((ClientOwner_.LastCreationTime_ <= Time_.now()));
  BOOST_TEST(Dialer.link()->isUp());
}

BOOST_FIXTURE_TEST_CASE(LostLinkIsReopened, Fixture) {
  LinkDialer Dialer(Loop_, Time_, ClientOwner_, Random_, {Server_.address()});
  Dialer.start();
  runUntil([&] { return ServerOwner_.UpCount_ == 1 && ClientOwner_.UpCount_ == 1; });
  ServerOwner_.LastLink_->close(ErrorCode::Cancelled);
  runUntil([&] { return ClientOwner_.UpCount_ == 2; });
  BOOST_TEST(ClientOwner_.DownCount_ == 1);
}

BOOST_FIXTURE_TEST_CASE(NextAddressIsTriedWhenTheFirstRefuses, Fixture) {
  LinkDialer Dialer(Loop_, Time_, ClientOwner_, Random_,
                    {NetAddress("127.0.0.1:1"), Server_.address()});
  Dialer.start();
  runUntil([&] { return ClientOwner_.UpCount_ == 1; });
  BOOST_TEST((Dialer.address() == Server_.address()));
}

BOOST_FIXTURE_TEST_CASE(OtherProtocolVersionIsRefused, Fixture) {
  ClientOwner_.Protocol_ = FrameProtocolVersion + 1;
  LinkDialer Dialer(Loop_, Time_, ClientOwner_, Random_, {Server_.address()});
  Dialer.start();
  runUntil([&] { return ServerOwner_.DownCount_ > 0; });
  BOOST_TEST(ServerOwner_.Reason_ == ErrorCode::ProtocolVersion);
  BOOST_TEST(ServerOwner_.UpCount_ == 0);
}

BOOST_FIXTURE_TEST_CASE(MalformedFrameClosesTheLink, Fixture) {
  FrameConnectionPtr Raw;
  openFrameConnection(Loop_, Server_.address(), std::chrono::seconds(5),
                      [&](FrameConnectionPtr Connection, std::error_code) {
                        Raw = std::move(Connection);
                        Raw->setHandlers([](std::span<const std::uint8_t>) {},
                                         [](std::error_code) {});
                        Raw->send(std::vector<std::uint8_t>(64, 0xff));
                      });
  runUntil([&] { return ServerOwner_.DownCount_ == 1; });
  BOOST_TEST(ServerOwner_.Reason_ == ErrorCode::MalformedFrame);
}

// A peer whose process is stopped keeps its connections open but sends nothing.
BOOST_FIXTURE_TEST_CASE(SilentPeerIsClosed, Fixture) {
  FrameConnectionPtr Raw;
  openFrameConnection(Loop_, Server_.address(), std::chrono::seconds(5),
                      [&](FrameConnectionPtr Connection, std::error_code) {
                        Raw = std::move(Connection);
                        Raw->setHandlers([](std::span<const std::uint8_t>) {},
                                         [](std::error_code) {});
                      });
  runUntil([&] { return ServerOwner_.DownCount_ == 1; });
  BOOST_TEST(ServerOwner_.Reason_ == ErrorCode::HeartbeatMissed);
}
