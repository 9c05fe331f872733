#include "Core/Common/ErrorCode.h"
#include "Net/FrameConnection.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <vector>

using namespace rattancart;

BOOST_AUTO_TEST_CASE(FramesArriveWholeAndInOrder) {
  boost::asio::io_context Loop;
  std::vector<std::size_t> Sizes;
  FrameConnectionPtr Accepted;
  FrameServer Server(Loop, [&](FrameConnectionPtr Connection) {
    Accepted = std::move(Connection);
    Accepted->setHandlers(
        [&](std::span<const std::uint8_t> Frame) { Sizes.push_back(Frame.size()); },
        [](std::error_code) {});
  });
  BOOST_REQUIRE(!Server.listen(NetAddress("127.0.0.1:0")));

  FrameConnectionPtr Client;
  openFrameConnection(Loop, Server.address(), std::chrono::seconds(5),
                      [&](FrameConnectionPtr Connection, std::error_code) {
                        Client = std::move(Connection);
                        Client->setHandlers([](std::span<const std::uint8_t>) {},
                                            [](std::error_code) {});
                        for (const std::size_t Size : {0U, 1U, 70000U, 3U})
                          Client->send(std::vector<std::uint8_t>(Size, 7));
                      });
  while (Sizes.size() < 4 && Loop.run_one())
    ;
  BOOST_TEST(Sizes == (std::vector<std::size_t>{0, 1, 70000, 3}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(CloseOfAConnectionIsReportedOnce) {
  boost::asio::io_context Loop;
  int CloseReports = 0;
  FrameConnectionPtr Accepted;
  FrameServer Server(Loop, [&](FrameConnectionPtr Connection) {
    Accepted = std::move(Connection);
    Accepted->setHandlers([](std::span<const std::uint8_t>) {},
                          [&](std::error_code E) {
                            ++CloseReports;
                            BOOST_TEST(E == ErrorCode::ConnectionClosed);
                          });
  });
  BOOST_REQUIRE(!Server.listen(NetAddress("127.0.0.1:0")));
  openFrameConnection(Loop, Server.address(), std::chrono::seconds(5),
                      [](FrameConnectionPtr, std::error_code) {});
  while (CloseReports == 0 && Loop.run_one())
    ;
  Loop.poll();
  BOOST_TEST(CloseReports == 1);
}
