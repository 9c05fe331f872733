#include "Core/Common/ErrorCode.h"
#include "Net/HttpClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <array>
#include <optional>
#include <ostream>
#include <string>

using namespace rattancart;
using boost::asio::ip::tcp;
namespace data = boost::unit_test::data;
using namespace std::string_literals;

namespace {

/// Answers each request with the same bytes and closes the connection.
class BytesServer {
public:
  BytesServer(boost::asio::io_context &Loop, std::string Answer)
      : Acceptor_(Loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)), Socket_(Loop),
        Answer_(std::move(Answer)) {
    Acceptor_.async_accept(Socket_, [this](boost::system::error_code) {
      Socket_.async_read_some(boost::asio::buffer(Request_),
                              [this](boost::system::error_code, std::size_t) {
                                boost::system::error_code Ignored;
                                boost::asio::write(Socket_, boost::asio::buffer(Answer_), Ignored);
                                Socket_.shutdown(tcp::socket::shutdown_send, Ignored);
                              });
    });
  }
  NetAddress address() const {
    return NetAddress(fmt::format("127.0.0.1:{}", Acceptor_.local_endpoint().port()));
  }

private:
  tcp::acceptor Acceptor_;
  tcp::socket Socket_;
  std::string Answer_;
  std::array<char, 4096> Request_{};
};

struct Sink final : HttpResponseSink {
  HeadDecision onHead(const HttpResponse &Head) override {
    Statuses_.push_back(Head.Status_);
    return HeadDecision::Accept;
  }
  bool onBody(std::string_view Data) override {
    Body_ += Data;
    return true;
  }
  std::vector<std::uint32_t> Statuses_;
  std::string Body_;
};

/// What a request gets that is answered with these bytes.
struct Answer {
  std::error_code Error_;
  /// 0 if no head was passed on.
  std::uint32_t Status_ = 0;
  std::string Body_;
};

Answer request(const std::string &Bytes, bool WithSink) {
  boost::asio::io_context Loop;
  BytesServer Server(Loop, Bytes);
  HttpClient Client(Loop);
  Sink Received;
  HttpSendOptions Options;
  Options.Sink_ = WithSink ? &Received : nullptr;
  Options.ResponseTimeout_ = std::chrono::seconds(5);
  std::optional<HttpResult> Result;
  Client.send(Server.address(), {}, Options, [&](HttpResult Got) { Result = std::move(Got); });
  while (!Result && Loop.run_one())
    ;
  if (WithSink)
    return {Result->Error_, Received.Statuses_.empty() ? 0 : Received.Statuses_.back(),
            Received.Body_};
  return {Result->Error_, Result->Error_ ? 0 : Result->Response_.Status_, Result->Response_.Body_};
}

std::string statusLine(const std::string &Status) { return "HTTP/1.1 " + Status + " Text\r\n"; }

const std::string Whole = statusLine("200") + "Content-Length: 2\r\n\r\nok";

/// Statuses that are no status of a final answer.
const std::string BadStatuses[] = {"000", "001", "099", "101", "600", "700", "999"};
/// Statuses of interim answers; the final one follows.
const std::string InterimStatuses[] = {"100", "102", "103", "199"};

struct BadHead {
  const char *Name_;
  std::string Line_;
};
std::ostream &operator<<(std::ostream &Out, const BadHead &Case) { return Out << Case.Name_; }

const BadHead BadLines[] = {
    {"a blank before the colon", "X-A : 1"},
    {"a blank within a name", "X A: 1"},
    {"a blank before a name", " X-A: 1"},
    {"a tab before the colon", "X-A\t: 1"},
    {"a control byte in a name", "X\x01-A: 1"},
    {"NUL in a name", "X\0A: 1"s},
    {"DEL in a name", "X\x7f"
                      "A: 1"},
    {"a byte beyond ASCII in a name", "X\xe4: 1"},
    {"no name", ": 1"},
    {"no colon", "X-A"},
    {"a control byte in a value", "X-A: a\x01z"},
    {"NUL in a value", "X-A: a\0z"s},
    {"DEL in a value", "X-A: a\x7fz"},
    {"a bare CR in a value", "X-A: a\rz"},
    {"a blank in the name of the length", "Content-Length : 2"},
    {"a sign before the length", "Content-Length: +2"},
    {"two lengths", "Content-Length: 3"},
};

struct BadChunks {
  const char *Name_;
  std::string Body_;
};
std::ostream &operator<<(std::ostream &Out, const BadChunks &Case) { return Out << Case.Name_; }

const BadChunks BadBodies[] = {
    {"a blank before a size", " 2\r\nok\r\n0\r\n\r\n"},
    {"a sign before a size", "+2\r\nok\r\n0\r\n\r\n"},
    {"a prefix before a size", "0x2\r\nok\r\n0\r\n\r\n"},
    {"no size", "\r\nok\r\n0\r\n\r\n"},
    {"a size beyond 64 bits", "10000000000000002\r\nok\r\n0\r\n\r\n"},
    {"a chunk longer than its size", "2\r\nokay\r\n0\r\n\r\n"},
    {"a control byte in an extension", "2;a\x01=1\r\nok\r\n0\r\n\r\n"},
    {"a blank in the name of a trailer", "2\r\nok\r\n0\r\nX A: 1\r\n\r\n"},
    {"a control byte in the name of a trailer", "2\r\nok\r\n0\r\nX\x01: 1\r\n\r\n"},
    {"a control byte in the value of a trailer", "2\r\nok\r\n0\r\nX-A: a\x01z\r\n\r\n"},
};

} // namespace

BOOST_DATA_TEST_CASE(AnImpossibleStatusIsTakenForAnAnswer,
                     data::make(BadStatuses) * data::make({false, true}), Status, WithSink) {
  const Answer Got = request(statusLine(Status) + "Content-Length: 2\r\n\r\nok", WithSink);
  BOOST_TEST(Got.Error_ == ErrorCode::MalformedResponse);
  BOOST_TEST(Got.Status_ == 0U);
  BOOST_TEST(Got.Body_.empty());
}

BOOST_DATA_TEST_CASE(AnInterimAnswerIsTakenForTheFinalOne,
                     data::make(InterimStatuses) * data::make({false, true}), Status, WithSink) {
  const Answer Got = request(statusLine(Status) + "X-A: 1\r\n\r\n" + Whole, WithSink);
  BOOST_TEST(!Got.Error_);
  BOOST_TEST(Got.Status_ == 200U);
  BOOST_TEST(Got.Body_ == "ok");
  const Answer Alone = request(statusLine(Status) + "\r\n", WithSink);
  BOOST_TEST(Alone.Error_ == ErrorCode::ConnectionClosed);
  BOOST_TEST(Alone.Status_ == 0U);
}

BOOST_DATA_TEST_CASE(AMalformedFieldIsPassedOnOrHidesTheBody,
                     data::make(BadLines) * data::make({false, true}), Case, WithSink) {
  const Answer Got =
      request(statusLine("200") + "X-First: 1\r\n" + Case.Line_ + "\r\nContent-Length: 2\r\n\r\nok",
              WithSink);
  BOOST_TEST(Got.Error_ == ErrorCode::MalformedResponse);
  BOOST_TEST(Got.Status_ == 0U);
}

BOOST_DATA_TEST_CASE(AMalformedChunkEndsAsAWholeBody,
                     data::make(BadBodies) * data::make({false, true}), Case, WithSink) {
  const Answer Got =
      request(statusLine("200") + "Transfer-Encoding: chunked\r\n\r\n" + Case.Body_, WithSink);
  BOOST_TEST(Got.Error_.value() != 0);
}
