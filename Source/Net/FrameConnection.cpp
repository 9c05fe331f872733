#include "Net/FrameConnection.h"

#include "Core/Common/ErrorCode.h"
#include "Net/Address.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <utility>
#include <vector>

namespace rattancart {

namespace {

using boost::asio::ip::tcp;

constexpr std::size_t PrefixBytes = 4;

class TcpFrameConnection final : public FrameConnection,
                                 public std::enable_shared_from_this<TcpFrameConnection> {
public:
  explicit TcpFrameConnection(tcp::socket Socket) : Socket_(std::move(Socket)) {
    boost::system::error_code Ignored;
    Socket_.set_option(tcp::no_delay(true), Ignored);
  }

  void send(std::span<const std::uint8_t> Payload) override {
    if (!Open_)
      return;
    std::vector<std::uint8_t> Frame(PrefixBytes + Payload.size());
    const auto Length = static_cast<std::uint32_t>(Payload.size());
    for (std::size_t Byte = 0; Byte < PrefixBytes; ++Byte)
      Frame[Byte] = static_cast<std::uint8_t>(Length >> (8 * Byte));
    std::copy(Payload.begin(), Payload.end(), Frame.begin() + PrefixBytes);
    QueuedBytes_ += Frame.size();
    Outgoing_.push_back(std::move(Frame));
    if (Outgoing_.size() == 1)
      writeNext();
  }

  void close() override { fail(ErrorCode::Cancelled); }
  bool isOpen() const override { return Open_; }
  std::size_t queuedBytes() const override { return QueuedBytes_; }
  std::uint64_t bytesIn() const override { return BytesIn_; }
  std::uint64_t bytesOut() const override { return BytesOut_; }

  void setHandlers(std::function<void(std::span<const std::uint8_t>)> OnFrame,
                   std::function<void(std::error_code)> OnClosed) override {
    OnFrame_ = std::move(OnFrame);
    OnClosed_ = std::move(OnClosed);
    readPrefix();
  }

private:
  void readPrefix() {
    boost::asio::async_read(
        Socket_, boost::asio::buffer(Prefix_),
        [Self = shared_from_this()](boost::system::error_code E, std::size_t Count) {
          Self->BytesIn_ += Count;
          if (E)
            return Self->fail(ErrorCode::ConnectionClosed);
          Self->readPayload();
        });
  }

  void readPayload() {
    std::size_t Length = 0;
    for (std::size_t Byte = 0; Byte < PrefixBytes; ++Byte)
      Length |= static_cast<std::size_t>(Prefix_[Byte]) << (8 * Byte);
    if (Length > MaxFrameBytes)
      return fail(ErrorCode::FrameTooLarge);
    Payload_.resize(Length);
    boost::asio::async_read(
        Socket_, boost::asio::buffer(Payload_),
        [Self = shared_from_this()](boost::system::error_code E, std::size_t Count) {
          Self->BytesIn_ += Count;
          if (E)
            return Self->fail(ErrorCode::ConnectionClosed);
          if (!Self->Open_)
            return;
          Self->OnFrame_(Self->Payload_);
          if (Self->Open_)
            Self->readPrefix();
        });
  }

  void writeNext() {
    boost::asio::async_write(
        Socket_, boost::asio::buffer(Outgoing_.front()),
        [Self = shared_from_this()](boost::system::error_code E, std::size_t Count) {
          Self->BytesOut_ += Count;
          if (E)
            return Self->fail(ErrorCode::ConnectionClosed);
          Self->QueuedBytes_ -= Self->Outgoing_.front().size();
          Self->Outgoing_.pop_front();
          if (Self->Open_ && !Self->Outgoing_.empty())
            Self->writeNext();
        });
  }

  void fail(std::error_code Reason) {
    if (!Open_)
      return;
    Open_ = false;
    boost::system::error_code Ignored;
    Socket_.close(Ignored);
    if (!OnClosed_)
      return;
    // Posted, so that OnClosed_ is never called from within close() or send().
    boost::asio::post(Socket_.get_executor(), [Self = shared_from_this(), Reason] {
      const auto OnClosed = std::exchange(Self->OnClosed_, nullptr);
      Self->OnFrame_ = nullptr;
      if (OnClosed)
        OnClosed(Reason);
    });
  }

  tcp::socket Socket_;
  bool Open_ = true;
  std::array<std::uint8_t, PrefixBytes> Prefix_{};
  std::vector<std::uint8_t> Payload_;
  std::deque<std::vector<std::uint8_t>> Outgoing_;
  std::size_t QueuedBytes_ = 0;
  std::uint64_t BytesIn_ = 0;
  std::uint64_t BytesOut_ = 0;
  std::function<void(std::span<const std::uint8_t>)> OnFrame_;
  std::function<void(std::error_code)> OnClosed_;
};

/// A connect with its timeout: the operation that completes first decides the outcome.
struct PendingConnect {
  explicit PendingConnect(boost::asio::io_context &Loop) : Socket_(Loop), Timer_(Loop) {}
  tcp::socket Socket_;
  boost::asio::steady_timer Timer_;
};

} // namespace

void openFrameConnection(boost::asio::io_context &Loop, const NetAddress &Address, Duration Timeout,
                         std::function<void(FrameConnectionPtr, std::error_code)> Done) {
  const auto Target = parseAddress(Address);
  if (!Target) {
    boost::asio::post(
        Loop, [Done = std::move(Done), Failure = Target.error().Code_] { Done(nullptr, Failure); });
    return;
  }
  auto Pending = std::make_shared<PendingConnect>(Loop);
  Pending->Timer_.expires_after(Timeout);
  Pending->Timer_.async_wait([Pending](boost::system::error_code E) {
    boost::system::error_code Ignored;
    if (!E)
      Pending->Socket_.close(Ignored);
  });
  Pending->Socket_.async_connect(
      *Target, [Pending, Done = std::move(Done)](boost::system::error_code E) {
        Pending->Timer_.cancel();
        if (E || !Pending->Socket_.is_open())
          return Done(nullptr, ErrorCode::ConnectFailed);
        Done(std::make_shared<TcpFrameConnection>(std::move(Pending->Socket_)), {});
      });
}

class FrameServer::Impl : public std::enable_shared_from_this<FrameServer::Impl> {
public:
  Impl(boost::asio::io_context &Loop, std::function<void(FrameConnectionPtr)> Accepted)
      : Acceptor_(Loop), Retry_(Loop), Accepted_(std::move(Accepted)) {}

  std::error_code listen(const NetAddress &Address) {
    const auto Target = parseAddress(Address);
    if (!Target)
      return Target.error().Code_;
    boost::system::error_code E;
    Acceptor_.open(Target->protocol(), E);
    Acceptor_.set_option(tcp::acceptor::reuse_address(true), E);
    if (Acceptor_.bind(*Target, E) || Acceptor_.listen(tcp::acceptor::max_listen_connections, E))
      return ErrorCode::BindFailed;
    accept();
    return {};
  }

  NetAddress address() const {
    boost::system::error_code E;
    return formatAddress(Acceptor_.local_endpoint(E));
  }

  void stop() {
    boost::system::error_code Ignored;
    Acceptor_.close(Ignored);
    Retry_.cancel();
  }

private:
  void accept() {
    Acceptor_.async_accept(
        [Self = shared_from_this()](boost::system::error_code E, tcp::socket Socket) {
          if (!Self->Acceptor_.is_open())
            return;
          if (E)
            return Self->acceptLater();
          Self->Accepted_(std::make_shared<TcpFrameConnection>(std::move(Socket)));
          Self->accept();
        });
  }

  void acceptLater() {
    // Typically out of file descriptors; an immediate retry would fail again in a busy loop.
    Retry_.expires_after(std::chrono::milliseconds(50));
    Retry_.async_wait([Self = shared_from_this()](boost::system::error_code E) {
      if (!E && Self->Acceptor_.is_open())
        Self->accept();
    });
  }

  tcp::acceptor Acceptor_;
  boost::asio::steady_timer Retry_;
  std::function<void(FrameConnectionPtr)> Accepted_;
};

FrameServer::FrameServer(boost::asio::io_context &Loop,
                         std::function<void(FrameConnectionPtr)> Accepted)
    : Impl_(std::make_shared<Impl>(Loop, std::move(Accepted))) {}
FrameServer::~FrameServer() { stop(); }
std::error_code FrameServer::listen(const NetAddress &Address) { return Impl_->listen(Address); }
NetAddress FrameServer::address() const { return Impl_->address(); }
void FrameServer::stop() { Impl_->stop(); }

} // namespace rattancart
