#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>

/// A relay that makes no decisions: the baseline for the router's cost per request. It forwards
/// each request of a connection over one connection to a fixed address.
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

class RelaySession : public std::enable_shared_from_this<RelaySession> {
public:
  RelaySession(tcp::socket Caller, tcp::endpoint Target)
      : Caller_(std::move(Caller)), Service_(Caller_.get_executor()), Target_(std::move(Target)) {}

  void start() {
    Service_.async_connect(Target_, [Self = shared_from_this()](beast::error_code Failure) {
      if (!Failure)
        Self->readRequest();
    });
  }

private:
  void readRequest() {
    Request_ = {};
    http::async_read(Caller_, CallerBuffer_, Request_,
                     [Self = shared_from_this()](beast::error_code Failure, std::size_t) {
                       if (!Failure)
                         Self->forward();
                     });
  }

  void forward() {
    http::async_write(Service_, Request_,
                      [Self = shared_from_this()](beast::error_code Failure, std::size_t) {
                        if (!Failure)
                          Self->readResponse();
                      });
  }

  void readResponse() {
    Response_ = {};
    http::async_read(Service_, ServiceBuffer_, Response_,
                     [Self = shared_from_this()](beast::error_code Failure, std::size_t) {
                       if (!Failure)
                         Self->sendResponse();
                     });
  }

  void sendResponse() {
    http::async_write(Caller_, Response_,
                      [Self = shared_from_this()](beast::error_code Failure, std::size_t) {
                        if (!Failure)
                          Self->readRequest();
                      });
  }

  tcp::socket Caller_;
  tcp::socket Service_;
  tcp::endpoint Target_;
  beast::flat_buffer CallerBuffer_;
  beast::flat_buffer ServiceBuffer_;
  http::request<http::string_body> Request_;
  http::response<http::string_body> Response_;
};

void accept(tcp::acceptor &Acceptor, const tcp::endpoint &Target) {
  Acceptor.async_accept([&Acceptor, &Target](beast::error_code Failure, tcp::socket Caller) {
    if (!Failure)
      std::make_shared<RelaySession>(std::move(Caller), Target)->start();
    accept(Acceptor, Target);
  });
}

tcp::endpoint endpointOf(const char *Address, const char *Port) {
  return {asio::ip::make_address(Address), static_cast<unsigned short>(std::atoi(Port))};
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 5) {
    std::fputs("usage: bare-relay LISTEN-IP PORT TARGET-IP PORT\n", stderr);
    return 2;
  }
  asio::io_context Loop(1);
  const tcp::endpoint Target = endpointOf(Arguments[3], Arguments[4]);
  tcp::acceptor Acceptor(Loop, endpointOf(Arguments[1], Arguments[2]));
  accept(Acceptor, Target);
  std::puts("listening");
  std::fflush(stdout);
  Loop.run();
}
