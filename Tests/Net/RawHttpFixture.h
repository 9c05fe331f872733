#pragma once

#include "Net/Address.h"
#include "Net/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

namespace rattancart {

/// Answers with the request's target and body. Leaves requests to /hold unanswered in Held_, and
/// those to /stream with only the head of a chunked response.
class TargetHandler final : public HttpHandler {
public:
  void handle(HttpRequest Request, HttpResponderPtr Responder) override {
    ++Count_;
    if (Request.path() == "/hold" || Request.path() == "/stream") {
      Held_ = std::move(Responder);
      if (Request.path() == "/stream")
        Held_->startChunked({});
      Held_->onClosed([this] { CallerDisconnected_ = true; });
      return;
    }
    HttpResponse Response;
    Response.Body_ = Request.Target_ + " " + Request.Body_ + ";";
    Responder->send(std::move(Response));
  }
  int Count_ = 0;
  bool CallerDisconnected_ = false;
  HttpResponderPtr Held_;
};

inline HttpServerOptions smallOptions() {
  HttpServerOptions Options;
  Options.MaxHeaderBytes_ = 1024;
  Options.MaxBodyBytes_ = 100;
  return Options;
}

/// A server and a caller that sends raw bytes, on one event loop.
struct RawHttpFixture {
  explicit RawHttpFixture(HttpServerOptions Options = smallOptions())
      : Server_(Loop_, Options, Handler_, Log_), Caller_(Loop_) {
    BOOST_REQUIRE(!Server_.listen(NetAddress("127.0.0.1:0")));
    connect();
  }

  void connect() {
    Received_.clear();
    Ended_ = false;
    Caller_ = boost::asio::ip::tcp::socket(Loop_);
    Caller_.connect(*parseAddress(Server_.address()));
    receive();
  }
  void send(std::string_view Text) {
    boost::system::error_code Ignored;
    boost::asio::write(Caller_, boost::asio::buffer(Text.data(), Text.size()), Ignored);
  }
  /// Closes the sending direction of the connection; the caller can still receive.
  void endSending() {
    boost::system::error_code Ignored;
    Caller_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, Ignored);
  }
  /// Fails the test if nothing happens for ten seconds.
  template <typename Condition> void runUntil(Condition Done) {
    while (!Done())
      BOOST_REQUIRE(Loop_.run_one_for(std::chrono::seconds(10)) > 0U);
  }
  bool received(std::string_view Part) const { return Received_.find(Part) != std::string::npos; }
  /// Returns once Part has been received or the connection has ended.
  void receiveUntil(std::string_view Part) {
    runUntil([&] { return Ended_ || received(Part); });
  }
  std::string receiveToEnd() {
    runUntil([this] { return Ended_; });
    return Received_;
  }
  /// The status of the first answer.
  int status() const {
    return Received_.starts_with("HTTP/1.1 ") ? std::stoi(Received_.substr(9, 3)) : 0;
  }

  boost::asio::io_context Loop_;
  NullLogger Log_;
  TargetHandler Handler_;
  HttpServer Server_;
  boost::asio::ip::tcp::socket Caller_;
  std::string Received_;
  bool Ended_ = false;

private:
  void receive() {
    Caller_.async_read_some(boost::asio::buffer(Buffer_),
                            [this](boost::system::error_code E, std::size_t Count) {
                              Received_.append(Buffer_.data(), Count);
                              if (E)
                                Ended_ = true;
                              else
                                receive();
                            });
  }
  std::array<char, 4096> Buffer_{};
};

inline std::string get(const std::string &Target) {
  return "GET " + Target + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

inline std::size_t countOccurrences(const std::string &Text, const std::string &Part) {
  std::size_t Count = 0;
  for (std::size_t At = Text.find(Part); At != std::string::npos; At = Text.find(Part, At + 1))
    ++Count;
  return Count;
}

} // namespace rattancart
