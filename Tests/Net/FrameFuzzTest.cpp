#include "Core/Common/ErrorCode.h"
#include "Net/Address.h"
#include "Net/FrameCodec.h"
#include "Net/FrameConnection.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <ostream>
#include <random>
#include <string>
#include <vector>

using namespace rattancart;
namespace data = boost::unit_test::data;

namespace {

using Bytes = std::vector<std::uint8_t>;

constexpr std::uint64_t Seed = 20261204;
constexpr int Rounds = 200000;

/// One valid frame of each kind that carries strings, vectors or tables.
std::vector<Bytes> validFrames() {
  std::vector<Bytes> Frames;
  wire::HelloT Hello;
  Hello.instance = "entry-1";
  Hello.data_center = "karratha";
  Frames.push_back(encodeFrame(makeFrame(std::move(Hello))));
  wire::HeartbeatT Heartbeat;
  Heartbeat.demand.push_back(std::make_unique<wire::CustomerDemandT>());
  Heartbeat.demand.back()->customer = "crew";
  Frames.push_back(encodeFrame(makeFrame(std::move(Heartbeat))));
  wire::SettingsImageT Image;
  Image.body = std::string(300, 'x');
  Frames.push_back(encodeFrame(makeFrame(std::move(Image))));
  wire::EndpointUpdateT Update;
  for (const char *Id : {"eng-1", "eng-2"}) {
    Update.endpoints.push_back(std::make_unique<wire::EndpointInfoT>());
    Update.endpoints.back()->id = Id;
  }
  Frames.push_back(encodeFrame(makeFrame(std::move(Update))));
  wire::ClaimAnswerT Answer;
  Answer.call = "call-1";
  Answer.body = "{}";
  Frames.push_back(encodeFrame(makeFrame(std::move(Answer))));
  return Frames;
}

/// Changes a frame at random places: bits, bytes, words or its length.
void mutate(Bytes &Frame, std::mt19937_64 &Random) {
  const std::uint64_t Changes = 1 + Random() % 4;
  for (std::uint64_t Change = 0; Change < Changes && !Frame.empty(); ++Change) {
    const std::size_t Place = Random() % Frame.size();
    switch (Random() % 5) {
    case 0:
      Frame[Place] ^= static_cast<std::uint8_t>(1U << (Random() % 8));
      break;
    case 1:
      Frame[Place] = static_cast<std::uint8_t>(Random());
      break;
    case 2:
      for (std::size_t Byte = Place; Byte < std::min(Place + 4, Frame.size()); ++Byte)
        Frame[Byte] = Random() % 2 == 0 ? 0xff : 0;
      break;
    case 3:
      Frame.resize(Place);
      break;
    default:
      Frame.insert(Frame.begin() + static_cast<std::ptrdiff_t>(Place),
                   static_cast<std::uint8_t>(Random()));
    }
  }
}

struct StreamCase {
  std::string Name_;
  Bytes Sent_;
  ErrorCode Closed_;
};
std::ostream &operator<<(std::ostream &Out, const StreamCase &Case) { return Out << Case.Name_; }

const StreamCase StreamCases[] = {
    {"nothing", {}, ErrorCode::ConnectionClosed},
    {"half a prefix", {1, 0}, ErrorCode::ConnectionClosed},
    {"half a payload", {9, 0, 0, 0, 1}, ErrorCode::ConnectionClosed},
    {"a length beyond the limit", {1, 0, 0, 1}, ErrorCode::FrameTooLarge},
    {"the highest length", {255, 255, 255, 255}, ErrorCode::FrameTooLarge},
};

} // namespace

BOOST_AUTO_TEST_CASE(MutatedFramesAreRefusedOrSurviveReencoding) {
  std::mt19937_64 Random(Seed);
  const std::vector<Bytes> Valid = validFrames();
  for (const Bytes &Frame : Valid)
    BOOST_REQUIRE(bool(decodeFrame(Frame)));
  int Decoded = 0;
  for (int Round = 0; Round < Rounds; ++Round) {
    Bytes Frame = Valid[Random() % Valid.size()];
    mutate(Frame, Random);
    const auto Got = decodeFrame(Frame);
    if (!Got) {
      BOOST_REQUIRE(Got.error().Code_ == ErrorCode::MalformedFrame);
      continue;
    }
    ++Decoded;
    const auto Again = decodeFrame(encodeFrame(**Got));
    BOOST_REQUIRE(bool(Again));
    BOOST_REQUIRE((*Again)->payload.type == (*Got)->payload.type);
  }
  // Both outcomes must occur, or the mutations are too weak or too strong to test anything.
  BOOST_TEST(Decoded > Rounds / 100);
  BOOST_TEST(Decoded < Rounds);
}

BOOST_DATA_TEST_CASE(IncompleteOrOversizedFramesCloseTheConnection, data::make(StreamCases), Case) {
  boost::asio::io_context Loop;
  std::optional<std::error_code> Closed;
  FrameConnectionPtr Accepted;
  FrameServer Server(Loop, [&](FrameConnectionPtr Connection) {
    Accepted = std::move(Connection);
    Accepted->setHandlers([](std::span<const std::uint8_t>) { BOOST_ERROR("no frame was sent"); },
                          [&](std::error_code E) { Closed = E; });
  });
  BOOST_REQUIRE(!Server.listen(NetAddress("127.0.0.1:0")));
  boost::asio::ip::tcp::socket Peer(Loop);
  Peer.connect(*parseAddress(Server.address()));
  boost::asio::write(Peer, boost::asio::buffer(Case.Sent_));
  Peer.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
  while (!Closed && Loop.run_one())
    ;
  BOOST_REQUIRE(Closed.has_value());
  BOOST_TEST(*Closed == Case.Closed_);
}
