#include "SiteModel/GatewayLink.h"

#include "Core/Common/ErrorCode.h"

#include <chrono>
#include <utility>
#include <vector>

namespace rattancart {

namespace {

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
  if (Fault_ == LinkFault::None)
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
  Queue_.after(Duration{}, [this, Sent] {
    HttpResult Result;
    Result.Error_ = ErrorCode::Cancelled;
    Result.BytesHandedOver_ = Sent->Engine_.has_value();
    end(Sent, std::move(Result));
  });
}

} // namespace rattancart
