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

bool covers(RelayDirection Set, RelayDirection One) {
  return Set == RelayDirection::Both || Set == One;
}

/// What the connections share with the relay.
struct RelayShared {
  Duration Delay_{};
  RelayStats Stats_;
};

/// One connection through the relay.
class RelayPair : public std::enable_shared_from_this<RelayPair> {
public:
  RelayPair(tcp::socket Caller, RelayShared &Shared)
      : Caller_(std::move(Caller)), Target_(Caller_.get_executor()), Shared_(Shared) {
    ++Shared_.Stats_.Accepted_;
  }

  void start(const tcp::endpoint &To) {
    Target_.async_connect(To, [Self = shared_from_this()](const Failure &E) {
      if (E)
        return Self->close();
      Failure Ignored;
      Self->Caller_.set_option(tcp::no_delay(true), Ignored);
      Self->Target_.set_option(tcp::no_delay(true), Ignored);
      Self->read(Self->Up_);
      Self->read(Self->Down_);
    });
  }

  void silence(RelayDirection Direction) {
    Up_.Silent_ = Up_.Silent_ || covers(Direction, RelayDirection::ToTarget);
    Down_.Silent_ = Down_.Silent_ || covers(Direction, RelayDirection::ToCaller);
  }

  void close() {
    Closed_ = true;
    Failure Ignored;
    Caller_.close(Ignored);
    Target_.close(Ignored);
  }
  bool isClosed() const { return Closed_; }

private:
  /// One direction of the connection.
  struct Way {
    tcp::socket &From_;
    tcp::socket &To_;
    std::uint64_t RelayStats::*Counter_;
    bool Silent_ = false;
    std::array<char, 16384> Buffer_{};
    /// Bytes under way, oldest first.
    std::deque<std::string> Queue_;
    bool Writing_ = false;
    bool Ended_ = false;
  };

  void read(Way &On) {
    On.From_.async_read_some(boost::asio::buffer(On.Buffer_),
                             [Self = shared_from_this(), &On](const Failure &E, std::size_t Count) {
                               if (!Self->Closed_)
                                 Self->onRead(On, E, Count);
                             });
  }

  void onRead(Way &On, const Failure &E, std::size_t Count) {
    // The far end of a silent connection does not hear of its end either.
    if (E && On.Silent_)
      return;
    if (E)
      return end(On);
    if (On.Silent_)
      Shared_.Stats_.BytesDropped_ += Count;
    else
      pass(On, std::string(On.Buffer_.data(), Count));
    read(On);
  }

  void pass(Way &On, std::string Bytes) {
    if (Shared_.Delay_.count() == 0)
      return queue(On, std::move(Bytes));
    auto Alarm =
        std::make_shared<boost::asio::steady_timer>(Caller_.get_executor(), Shared_.Delay_);
    Alarm->async_wait(
        [Self = shared_from_this(), &On, Alarm, Held = std::move(Bytes)](const Failure &) mutable {
          if (!Self->Closed_)
            Self->queue(On, std::move(Held));
        });
  }

  void queue(Way &On, std::string Bytes) {
    On.Queue_.push_back(std::move(Bytes));
    if (!On.Writing_)
      write(On);
  }

  void write(Way &On) {
    On.Writing_ = true;
    boost::asio::async_write(On.To_, boost::asio::buffer(On.Queue_.front()),
                             [Self = shared_from_this(), &On](const Failure &E, std::size_t Count) {
                               if (Self->Closed_)
                                 return;
                               if (E)
                                 return Self->close();
                               Self->Shared_.Stats_.*On.Counter_ += Count;
                               On.Queue_.pop_front();
                               On.Writing_ = false;
                               if (!On.Queue_.empty())
                                 return Self->write(On);
                               if (On.Ended_)
                                 Self->end(On);
                             });
  }

  /// Passes the end of one direction on; both ended close the connection.
  void end(Way &On) {
    On.Ended_ = true;
    if (!On.Queue_.empty())
      return;
    Failure Ignored;
    On.To_.shutdown(tcp::socket::shutdown_send, Ignored);
    if (Up_.Ended_ && Down_.Ended_ && Up_.Queue_.empty() && Down_.Queue_.empty())
      close();
  }

  tcp::socket Caller_;
  tcp::socket Target_;
  RelayShared &Shared_;
  bool Closed_ = false;
  Way Up_{Caller_, Target_, &RelayStats::BytesToTarget_};
  Way Down_{Target_, Caller_, &RelayStats::BytesToCaller_};
};

} // namespace

class Relay::Impl {
public:
  Impl() : Acceptor_(Loop_), Work_(Loop_.get_executor()) {
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

  /// Runs a change on the relay's thread and waits for it.
  template <typename Change> auto on(Change Action) const {
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
    bind(Here_);
  }

  void prune() {
    std::erase_if(Pairs_, [](const auto &Pair) { return Pair->isClosed(); });
  }

  mutable boost::asio::io_context Loop_{1};
  tcp::acceptor Acceptor_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work_;
  std::thread Thread_;
  tcp::endpoint Here_;
  std::optional<tcp::endpoint> Target_;
  RelayShared Shared_;
  std::optional<RelayDirection> NewSilence_;
  bool Listening_ = false;
  std::set<std::shared_ptr<RelayPair>> Pairs_;

private:
  void bind(const tcp::endpoint &At) {
    Acceptor_.open(At.protocol());
    Acceptor_.set_option(tcp::acceptor::reuse_address(true));
    Acceptor_.bind(At);
    Here_ = Acceptor_.local_endpoint();
  }

  void accept() {
    Acceptor_.async_accept([this](const Failure &E, tcp::socket Caller) {
      if (E)
        return;
      take(std::move(Caller));
      accept();
    });
  }

  void take(tcp::socket Caller) {
    prune();
    if (!Target_)
      return;
    const auto Pair = std::make_shared<RelayPair>(std::move(Caller), Shared_);
    if (NewSilence_)
      Pair->silence(*NewSilence_);
    Pairs_.insert(Pair);
    Pair->start(*Target_);
  }
};

Relay::Relay() : Impl_(std::make_unique<Impl>()) {}
Relay::Relay(const NetAddress &Target) : Relay() { setTarget(Target); }
Relay::~Relay() = default;

NetAddress Relay::address() const { return formatAddress(Impl_->Here_); }

void Relay::setTarget(const NetAddress &Target) {
  const auto Parsed = parseAddress(Target);
  if (!Parsed)
    throw std::runtime_error("not an address: " + Target.str());
  Impl_->on([&] { Impl_->Target_ = *Parsed; });
}

void Relay::forward() {
  Impl_->on([&] {
    Impl_->NewSilence_.reset();
    Impl_->Shared_.Delay_ = Duration::zero();
    if (!Impl_->Listening_)
      Impl_->listen();
  });
}

void Relay::refuse() {
  Impl_->on([&] { Impl_->refuse(); });
}

void Relay::closeOpen() {
  Impl_->on([&] {
    for (const auto &Pair : Impl_->Pairs_)
      Pair->close();
    Impl_->prune();
  });
}

void Relay::blackholeOpen(RelayDirection Direction) {
  Impl_->on([&] {
    for (const auto &Pair : Impl_->Pairs_)
      Pair->silence(Direction);
  });
}

void Relay::blackholeNew(RelayDirection Direction) {
  Impl_->on([&] { Impl_->NewSilence_ = Direction; });
}

void Relay::setDelay(Duration Delay) {
  Impl_->on([&] { Impl_->Shared_.Delay_ = Delay; });
}

RelayStats Relay::stats() const {
  return Impl_->on([&] {
    Impl_->prune();
    RelayStats Copy = Impl_->Shared_.Stats_;
    Copy.Open_ = Impl_->Pairs_.size();
    return Copy;
  });
}

} // namespace rattancart
