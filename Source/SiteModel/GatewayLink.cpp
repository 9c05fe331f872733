#include "SiteModel/GatewayLink.h"

#include "Core/Common/ErrorCode.h"

#include <chrono>
#include <utility>
#include <vector>

namespace rattancart {

namespace {

constexpr Duration PeerDelay = std::chrono::milliseconds(1);
constexpr Duration RefusalTime = std::chrono::milliseconds(1);
/// Time after which the kernel gives up a connection whose peer is silent.
constexpr Duration DeadPeerTimeout = std::chrono::seconds(3);

} // namespace

/// A call, and what stands between its engine and the gateway's own sink.
struct GatewayLink::Call final : HttpResponseSink {
  explicit Call(GatewayLink &Link) : Link_(Link) {}

  HeadDecision onHead(const HttpResponse &Head) override {
    return Link_.hangs() ? HeadDecision::Skip : Sink_->onHead(Head);
  }
  bool onBody(std::string_view Data) override { return Link_.hangs() || Sink_->onBody(Data); }

  GatewayLink &Link_;
  std::int64_t Number_ = 0;
  HttpResponseSink *Sink_ = nullptr;
  HttpCallback Done_;
  /// The call at the engines; nothing until the connection is open.
  std::optional<HttpCallId> Engine_;
  /// Tells the other gateway that the connection was closed; empty if it has not asked for that.
  std::function<void()> OnClosed_;
  bool AtPeer_ = false;
};

/// The answer of another gateway, on its way to this one.
class GatewayLink::PeerConnection final : public HttpResponder {
public:
  PeerConnection(GatewayLink &Link, CallPtr Sent) : Link_(Link), Sent_(std::move(Sent)) {}

  void send(HttpResponse Response) override {
    const std::string Body = std::exchange(Response.Body_, {});
    if (head(Response) && !Body.empty())
      sendChunk(Body);
    finishChunked();
  }
  void startChunked(HttpResponse Head) override { head(Head); }
  void sendChunk(std::string_view Data) override {
    if (isOpen() && !Sent_->Sink_->onBody(Data))
      fail(ErrorCode::ResponseTooLarge);
  }
  void finishChunked() override { Link_.end(Sent_, handedOver({})); }
  void abort() override { fail(ErrorCode::ConnectionClosed); }
  bool isOpen() const override { return Link_.Calls_.contains(Sent_->Number_); }
  std::size_t queuedBytes() const override { return 0; }
  void onClosed(std::function<void()> Handler) override { Sent_->OnClosed_ = std::move(Handler); }

private:
  static HttpResult handedOver(std::error_code Error) {
    HttpResult Result;
    Result.Error_ = Error;
    Result.BytesHandedOver_ = true;
    return Result;
  }
  bool head(const HttpResponse &Head) {
    if (!isOpen())
      return false;
    const bool Accepted = Sent_->Sink_->onHead(Head) == HeadDecision::Accept;
    if (!Accepted)
      fail(ErrorCode::MalformedResponse);
    return Accepted;
  }
  void fail(ErrorCode Reason) { Link_.end(Sent_, handedOver(Reason)); }

  GatewayLink &Link_;
  CallPtr Sent_;
};

void GatewayLink::setFault(LinkFault Fault) {
  Fault_ = Fault;
  if (Fault != LinkFault::Hangs && Fault != LinkFault::Resets)
    return;
  std::vector<CallPtr> Open;
  for (const auto &[Number, Each] : Calls_)
    if (Each->Engine_)
      Open.push_back(Each);
  for (const CallPtr &Each : Open)
    Queue_.after(hangs() ? DeadPeerTimeout : RefusalTime, [this, Each] {
      HttpResult Result;
      Result.Error_ = ErrorCode::ConnectionClosed;
      Result.BytesHandedOver_ = true;
      Result.Refused_ = true;
      if (Calls_.contains(Each->Number_))
        Engines_.cancel(*Each->Engine_);
      end(Each, std::move(Result));
    });
}

HttpCallId GatewayLink::send(const NetAddress &Address, HttpRequest Request,
                             HttpSendOptions Options, HttpCallback Done) {
  auto Sent = std::make_shared<Call>(*this);
  Sent->Number_ = NextCall_++;
  Sent->Sink_ = Options.Sink_;
  Sent->Done_ = std::move(Done);
  Calls_.emplace(Sent->Number_, Sent);
  HttpHandler *Peer = FindPeer_ ? FindPeer_(Address) : nullptr;
  if (Peer)
    startAtPeer(Sent, *Peer, std::move(Request), Options);
  else if (Fault_ == LinkFault::None && !Options.Sink_)
    connectOnly(Sent, Address, Options.ConnectTimeout_);
  else if (Fault_ == LinkFault::None)
    start(Sent, Address, std::move(Request), std::move(Options));
  else
    fail(Sent, Address, hangs() ? Options.ConnectTimeout_ : RefusalTime);
  return HttpCallId(Sent->Number_);
}

void GatewayLink::start(const CallPtr &Sent, const NetAddress &Address, HttpRequest Request,
                        HttpSendOptions Options) {
  Options.Sink_ = Sent->Sink_ ? Sent.get() : nullptr;
  Sent->Engine_ = Engines_.send(Address, std::move(Request), std::move(Options),
                                [this, Sent, Address](HttpResult Result) {
                                  if (ConnectHandler_ && !Result.Error_ && !hangs())
                                    ConnectHandler_(Address, true, RefusalTime);
                                  if (!hangs() || Result.Error_ == ErrorCode::Cancelled)
                                    end(Sent, std::move(Result));
                                });
}

void GatewayLink::connectOnly(const CallPtr &Sent, const NetAddress &Address, Duration Timeout) {
  if (Engines_.condition(EndpointId(Address.str())) != EngineCondition::Running)
    return fail(Sent, Address, Timeout);
  Queue_.after(RefusalTime, [this, Sent, Address] {
    if (ConnectHandler_ && Fault_ == LinkFault::None)
      ConnectHandler_(Address, true, RefusalTime);
    end(Sent, {});
  });
}

void GatewayLink::startAtPeer(const CallPtr &Sent, HttpHandler &Peer, HttpRequest Request,
                              const HttpSendOptions &Options) {
  Sent->AtPeer_ = true;
  Queue_.after(PeerDelay, [this, Sent, &Peer, Request = std::move(Request),
                           BeforeSend = Options.BeforeSend_]() mutable {
    if (!Calls_.contains(Sent->Number_))
      return;
    if (BeforeSend && !BeforeSend()) {
      HttpResult Result;
      Result.Error_ = ErrorCode::Cancelled;
      return end(Sent, std::move(Result));
    }
    Peer.handle(std::move(Request), std::make_shared<PeerConnection>(*this, Sent));
  });
}

void GatewayLink::fail(const CallPtr &Sent, const NetAddress &Address, Duration After) {
  Queue_.after(After, [this, Sent, Address, After, Refused = !hangs()] {
    if (!Calls_.contains(Sent->Number_))
      return;
    if (ConnectHandler_)
      ConnectHandler_(Address, false, After);
    HttpResult Result;
    Result.Error_ = ErrorCode::ConnectFailed;
    Result.Refused_ = Refused;
    end(Sent, std::move(Result));
  });
}

void GatewayLink::end(const CallPtr &Sent, HttpResult Result) {
  if (Calls_.erase(Sent->Number_) == 0)
    return;
  const HttpCallback Done = std::exchange(Sent->Done_, nullptr);
  Done(std::move(Result));
}

void GatewayLink::cancel(HttpCallId Id) {
  const auto Found = Calls_.find(Id.value());
  if (Found == Calls_.end())
    return;
  const CallPtr Sent = Found->second;
  if (Sent->Engine_)
    Engines_.cancel(*Sent->Engine_);
  if (const auto Closed = std::exchange(Sent->OnClosed_, nullptr))
    Closed();
  Queue_.after(Duration{}, [this, Sent] {
    HttpResult Result;
    Result.Error_ = ErrorCode::Cancelled;
    Result.BytesHandedOver_ = Sent->Engine_.has_value() || Sent->AtPeer_;
    end(Sent, std::move(Result));
  });
}

} // namespace rattancart
