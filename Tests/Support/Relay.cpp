#include "Tests/Support/Relay.h"

#include "Net/Address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <deque>
#include <future>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>

namespace rattancart {

namespace {

using boost::asio::ip::tcp;
using Failure = boost::system::error_code;

bool includesDirection(RelayDirection Selected, RelayDirection Single) {
  return Selected == RelayDirection::Both || Selected == Single;
}

/// The state that the relay and its connections share.
struct RelaySharedState {
  Duration Delay_{};
  RelayStats Stats_;
};

/// A connection from a caller and the one to the target to which its bytes are forwarded.
class RelayConnection : public std::enable_shared_from_this<RelayConnection> {
public:
  RelayConnection(tcp::socket Caller, RelaySharedState &Shared)
      : Caller_(std::move(Caller)), Target_(Caller_.get_executor()), Shared_(Shared) {
    ++Shared_.Stats_.Accepted_;
  }

  void start(const tcp::endpoint &Endpoint) {
    Target_.async_connect(Endpoint, [Self = shared_from_this()](const Failure &E) {
      if (E)
        return Self->close();
      Failure Ignored;
      Self->Caller_.set_option(tcp::no_delay(true), Ignored);
      Self->Target_.set_option(tcp::no_delay(true), Ignored);
      Self->read(Self->ToTarget_);
      Self->read(Self->ToCaller_);
    });
  }

  void dropBytes(RelayDirection Direction) {
    ToTarget_.Dropping_ =
        ToTarget_.Dropping_ || includesDirection(Direction, RelayDirection::ToTarget);
    ToCaller_.Dropping_ =
        ToCaller_.Dropping_ || includesDirection(Direction, RelayDirection::ToCaller);
  }

  void close() {
    Closed_ = true;
    Failure Ignored;
    Caller_.close(Ignored);
    Target_.close(Ignored);
  }
  bool isClosed() const { return Closed_; }

private:
  /// The state of one direction of the connection.
  struct DirectionState {
    tcp::socket &From_;
    tcp::socket &To_;
    std::uint64_t RelayStats::*Counter_;
    bool Dropping_ = false;
    std::array<char, 16384> Buffer_{};
    /// Bytes that were read and not written yet, oldest first.
    std::deque<std::string> Queue_;
    bool Writing_ = false;
    bool Ended_ = false;
  };

  void read(DirectionState &State) {
    State.From_.async_read_some(
        boost::asio::buffer(State.Buffer_),
        [Self = shared_from_this(), &State](const Failure &E, std::size_t Count) {
          if (!Self->Closed_)
            Self->onRead(State, E, Count);
        });
  }

  void onRead(DirectionState &State, const Failure &E, std::size_t Count) {
    // In a blackholed direction the end of the connection is not passed on either.
    if (E && State.Dropping_)
      return;
    if (E)
      return end(State);
    if (State.Dropping_)
      Shared_.Stats_.BytesDropped_ += Count;
    else
      forwardBytes(State, std::string(State.Buffer_.data(), Count));
    read(State);
  }

  void forwardBytes(DirectionState &State, std::string Bytes) {
    if (Shared_.Delay_.count() == 0)
      return queue(State, std::move(Bytes));
    auto DelayTimer =
        std::make_shared<boost::asio::steady_timer>(Caller_.get_executor(), Shared_.Delay_);
    DelayTimer->async_wait([Self = shared_from_this(), &State, DelayTimer,
                            DelayedBytes = std::move(Bytes)](const Failure &) mutable {
      if (!Self->Closed_)
        Self->queue(State, std::move(DelayedBytes));
    });
  }

  void queue(DirectionState &State, std::string Bytes) {
    State.Queue_.push_back(std::move(Bytes));
    if (!State.Writing_)
      write(State);
  }

  void write(DirectionState &State) {
    State.Writing_ = true;
    boost::asio::async_write(
        State.To_, boost::asio::buffer(State.Queue_.front()),
        [Self = shared_from_this(), &State](const Failure &E, std::size_t Count) {
          if (Self->Closed_)
            return;
          if (E)
            return Self->close();
          Self->Shared_.Stats_.*State.Counter_ += Count;
          State.Queue_.pop_front();
          State.Writing_ = false;
          if (!State.Queue_.empty())
            return Self->write(State);
          if (State.Ended_)
            Self->end(State);
        });
  }

  /// Passes the end of one direction on, and closes the connection once both have ended.
  void end(DirectionState &State) {
    State.Ended_ = true;
    if (!State.Queue_.empty())
      return;
    Failure Ignored;
    State.To_.shutdown(tcp::socket::shutdown_send, Ignored);
    if (ToTarget_.Ended_ && ToCaller_.Ended_ && ToTarget_.Queue_.empty() &&
        ToCaller_.Queue_.empty())
      close();
  }

  tcp::socket Caller_;
  tcp::socket Target_;
  RelaySharedState &Shared_;
  bool Closed_ = false;
  DirectionState ToTarget_{Caller_, Target_, &RelayStats::BytesToTarget_};
  DirectionState ToCaller_{Target_, Caller_, &RelayStats::BytesToCaller_};
};

} // namespace

class Relay::Impl {
public:
  Impl() : Acceptor_(Loop_), LoopGuard_(Loop_.get_executor()) {
    bind(tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    listen();
    Thread_ = std::thread([this] { Loop_.run(); });
  }
  ~Impl() {
    Loop_.stop();
    Thread_.join();
  }
  Impl(const Impl &) = delete;
  Impl &operator=(const Impl &) = delete;

  /// Runs the action on the relay's thread, waits for it and returns its result.
  template <typename Change> auto runOnLoop(Change Action) const {
    std::packaged_task<decltype(Action())()> Task(std::move(Action));
    auto Done = Task.get_future();
    boost::asio::post(Loop_, [&Task] { Task(); });
    return Done.get();
  }

  void listen() {
    Failure E;
    if (Acceptor_.listen(tcp::acceptor::max_listen_connections, E))
      throw std::runtime_error("the relay can't listen: " + E.message());
    Listening_ = true;
    accept();
  }

  void refuse() {
    if (!Listening_)
      return;
    Listening_ = false;
    Failure Ignored;
    Acceptor_.close(Ignored);
    // A bound socket that does not listen refuses connections and keeps the port.
    bind(LocalEndpoint_);
  }

  void eraseClosed() {
    std::erase_if(Connections_, [](const auto &Connection) { return Connection->isClosed(); });
  }

  mutable boost::asio::io_context Loop_{1};
  tcp::acceptor Acceptor_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> LoopGuard_;
  std::thread Thread_;
  tcp::endpoint LocalEndpoint_;
  std::optional<tcp::endpoint> Target_;
  RelaySharedState Shared_;
  std::optional<RelayDirection> BlackholeOfNew_;
  bool Listening_ = false;
  std::set<std::shared_ptr<RelayConnection>> Connections_;

private:
  void bind(const tcp::endpoint &ListenEndpoint) {
    Acceptor_.open(ListenEndpoint.protocol());
    Acceptor_.set_option(tcp::acceptor::reuse_address(true));
    Acceptor_.bind(ListenEndpoint);
    LocalEndpoint_ = Acceptor_.local_endpoint();
  }

  void accept() {
    Acceptor_.async_accept([this](const Failure &E, tcp::socket Caller) {
      if (E)
        return;
      addConnection(std::move(Caller));
      accept();
    });
  }

  void addConnection(tcp::socket Caller) {
    eraseClosed();
    if (!Target_)
      return;
    const auto Connection = std::make_shared<RelayConnection>(std::move(Caller), Shared_);
    if (BlackholeOfNew_)
      Connection->dropBytes(*BlackholeOfNew_);
    Connections_.insert(Connection);
    Connection->start(*Target_);
  }
};

Relay::Relay() : Impl_(std::make_unique<Impl>()) {}
Relay::Relay(const NetAddress &Target) : Relay() { setTarget(Target); }
Relay::~Relay() = default;

NetAddress Relay::address() const { return formatAddress(Impl_->LocalEndpoint_); }

void Relay::setTarget(const NetAddress &Target) {
  const auto Parsed = parseAddress(Target);
  if (!Parsed)
    throw std::runtime_error("not an address: " + Target.str());
  Impl_->runOnLoop([&] { Impl_->Target_ = *Parsed; });
}

void Relay::forward() {
  Impl_->runOnLoop([&] {
    Impl_->BlackholeOfNew_.reset();
    Impl_->Shared_.Delay_ = Duration::zero();
    if (!Impl_->Listening_)
      Impl_->listen();
  });
}

void Relay::refuse() {
  Impl_->runOnLoop([&] { Impl_->refuse(); });
}

void Relay::closeOpen() {
  Impl_->runOnLoop([&] {
    for (const auto &Connection : Impl_->Connections_)
      Connection->close();
    Impl_->eraseClosed();
  });
}

void Relay::blackholeOpen(RelayDirection Direction) {
  Impl_->runOnLoop([&] {
    for (const auto &Connection : Impl_->Connections_)
      Connection->dropBytes(Direction);
  });
}

void Relay::blackholeNew(RelayDirection Direction) {
  Impl_->runOnLoop([&] { Impl_->BlackholeOfNew_ = Direction; });
}

void Relay::setDelay(Duration Delay) {
  Impl_->runOnLoop([&] { Impl_->Shared_.Delay_ = Delay; });
}

RelayStats Relay::stats() const {
  return Impl_->runOnLoop([&] {
    Impl_->eraseClosed();
    RelayStats Copy = Impl_->Shared_.Stats_;
    Copy.Open_ = Impl_->Connections_.size();
    return Copy;
  });
}

} // namespace rattancart
