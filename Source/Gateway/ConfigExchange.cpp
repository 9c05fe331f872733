#include "Gateway/ConfigExchange.h"

#include "Core/Common/ErrorCode.h"
#include "Gateway/PeerForwarding.h"
#include "Gateway/TextPatch.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace rattancart {

namespace {

/// A fetch without a sign of its answer for this long is given up.
constexpr Duration SilenceLimit = std::chrono::milliseconds(700);
constexpr Duration CheckInterval = std::chrono::milliseconds(100);
constexpr Duration ConnectTimeout = std::chrono::milliseconds(500);
/// Ends a transfer that never ends although parts of it arrive.
constexpr Duration FetchLimit = std::chrono::seconds(30);
constexpr std::size_t MaxConfigBytes = 16 * 1024 * 1024;
/// Bytes on their way to other gateways from which on no further answer is begun. A link of a
/// gateway may carry as little as 1.75 MB a second.
constexpr std::size_t MaxBytesUnderWay = 1024 * 1024;

std::optional<std::uint64_t> number(std::string_view Text, int Base) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data(), End, Value, Base);
  return Text.empty() || Read.ec != std::errc() || Read.ptr != End ? std::nullopt
                                                                   : std::optional(Value);
}

std::optional<ConfigDigest> digestField(const HttpHeaders &Headers, std::string_view Name) {
  const auto Value = number(Headers.get(Name), 16);
  return Value ? std::optional(ConfigDigest(*Value)) : std::nullopt;
}

std::string digestText(ConfigDigest Digest) { return fmt::format("{:016x}", Digest.value()); }

HttpResponse emptyAnswer(std::uint32_t Status) {
  HttpResponse Answer;
  Answer.Status_ = Status;
  return Answer;
}

} // namespace

bool ConfigServer::isForConfig(const HttpRequest &Request) {
  return Request.path() == config_exchange::Path && Request.Headers_.has(config_exchange::Base) &&
         !Request.Headers_.has(forwarding::Sender);
}

std::size_t ConfigServer::bytesUnderWay() {
  std::erase_if(Transfers_, [](const Transfer &Each) {
    const auto Responder = Each.Responder_.lock();
    return !Responder || !Responder->isOpen();
  });
  std::size_t Bytes = 0;
  for (const Transfer &Each : Transfers_)
    Bytes += Each.Bytes_;
  return Bytes;
}

std::shared_ptr<const std::string> ConfigServer::frame(const ConfigText &Newest,
                                                       const ConfigText *Base) {
  if (FramesOf_ != Newest.Digest_)
    Frames_.clear();
  FramesOf_ = Newest.Digest_;
  const auto [Known, Added] =
      Frames_.try_emplace(Base ? Base->Digest_ : ConfigDigest(0), std::shared_ptr<std::string>());
  if (!Added)
    return Known->second;
  if (auto Compressed = compressWith(Base ? *Base->Bytes_ : std::string_view(), *Newest.Bytes_))
    Known->second = std::make_shared<const std::string>(std::move(*Compressed));
  return Known->second;
}

void ConfigServer::handle(const HttpRequest &Request, std::optional<StoreEra> Era,
                          const HttpResponderPtr &Responder) {
  const ConfigText *Newest = History_.newest();
  if (!Newest || !History_.end()) {
    Metrics_.count("configs_sent_total", "unknown");
    return Responder->send(emptyAnswer(404));
  }
  if (bytesUnderWay() >= MaxBytesUnderWay) {
    Metrics_.count("configs_sent_total", "busy");
    return Responder->send(emptyAnswer(503));
  }
  const auto Wanted = digestField(Request.Headers_, config_exchange::Base);
  const ConfigText *Base = Wanted ? History_.find(*Wanted) : nullptr;
  const auto Frame = frame(*Newest, Base);
  if (!Frame) {
    Metrics_.count("configs_sent_total", "unknown");
    return Responder->send(emptyAnswer(404));
  }
  HttpResponse Answer;
  Answer.Status_ = 200;
  Answer.Headers_.add("Content-Type", "application/zstd");
  Answer.Headers_.add(std::string(config_exchange::Digest), digestText(Newest->Digest_));
  Answer.Headers_.add(std::string(config_exchange::End), std::to_string(*History_.end()));
  if (Era)
    Answer.Headers_.add(std::string(config_exchange::Era), std::to_string(Era->value()));
  if (Base)
    Answer.Headers_.add(std::string(config_exchange::Base), digestText(Base->Digest_));
  Answer.Body_ = *Frame;
  Metrics_.count("configs_sent_total", Base ? "difference" : "whole");
  Metrics_.count("config_bytes_sent_total", "-", Frame->size());
  Transfers_.push_back({Responder, Frame->size()});
  Responder->send(std::move(Answer));
}

/// Collects the answer of the other gateway.
struct ConfigFetcher::Fetch final : HttpResponseSink {
  HeadDecision onHead(const HttpResponse &) override {
    HeardAt_ = Time_->now();
    return HeadDecision::Accept;
  }
  bool onBody(std::string_view Data) override {
    HeardAt_ = Time_->now();
    Body_ += Data;
    return Body_.size() <= MaxConfigBytes;
  }

  const Clock *Time_ = nullptr;
  TimePoint HeardAt_;
  std::string Body_;
  HttpCallId Call_{0};
  Callback Done_;
};

ConfigFetcher::ConfigFetcher(boost::asio::io_context &Loop, const Clock &Time, HttpSender &Client,
                             const ConfigHistory &History)
    : Time_(Time), Client_(Client), History_(History), Timer_(Loop) {}

ConfigFetcher::~ConfigFetcher() { cancel(); }

void ConfigFetcher::fetch(const NetAddress &From, Callback Done) {
  HttpRequest Request;
  Request.Method_ = "GET";
  Request.Target_ = std::string(config_exchange::Path);
  const ConfigText *Known = History_.newest();
  Request.Headers_.add(std::string(config_exchange::Base),
                       Known ? digestText(Known->Digest_) : std::string());
  // The next fetch opens its own connection.
  Request.Headers_.add("Connection", "close");
  Fetch_ = std::make_shared<Fetch>();
  Fetch_->Time_ = &Time_;
  Fetch_->HeardAt_ = Time_.now();
  Fetch_->Done_ = std::move(Done);
  HttpSendOptions Options;
  // Connections to a gateway that was lost meanwhile would only fail by their silence.
  Options.Use_ = ConnectionUse::Fresh;
  Options.ConnectTimeout_ = ConnectTimeout;
  Options.ResponseTimeout_ = FetchLimit;
  Options.Sink_ = Fetch_.get();
  Fetch_->Call_ =
      Client_.send(From, std::move(Request), Options, [this, Own = Fetch_](HttpResult Outcome) {
        // A fetch that was given up has no callback any more.
        if (Own->Done_)
          onAnswer(std::move(Outcome));
      });
  watch();
}

void ConfigFetcher::watch() {
  Timer_.every(CheckInterval, [this] {
    if (Time_.now() - Fetch_->HeardAt_ < SilenceLimit)
      return;
    const Callback Done = Fetch_->Done_;
    cancel();
    Done(Error{ErrorCode::ResponseTimeout, "the other gateway is silent"});
  });
}

void ConfigFetcher::cancel() {
  Timer_.cancel();
  const auto GivenUp = std::exchange(Fetch_, nullptr);
  if (!GivenUp)
    return;
  GivenUp->Done_ = nullptr;
  Client_.cancel(GivenUp->Call_);
}

void ConfigFetcher::onAnswer(HttpResult Outcome) {
  Timer_.cancel();
  const auto Ended = std::exchange(Fetch_, nullptr);
  const Callback Done = std::exchange(Ended->Done_, nullptr);
  if (Outcome.Error_)
    return Done(Error{Outcome.Error_, "no answer from the other gateway"});
  if (Outcome.Response_.Status_ != 200)
    return Done(Error{ErrorCode::PeerDeclined,
                      fmt::format("the other gateway answered {}", Outcome.Response_.Status_)});
  Outcome.Response_.Body_ = std::move(Ended->Body_);
  Done(decode(Outcome.Response_));
}

Result<FetchedConfig> ConfigFetcher::decode(const HttpResponse &Answer) const {
  const auto Digest = digestField(Answer.Headers_, config_exchange::Digest);
  const auto End = number(Answer.Headers_.get(config_exchange::End), 10);
  const auto Era = number(Answer.Headers_.get(config_exchange::Era), 10);
  const auto BaseDigest = digestField(Answer.Headers_, config_exchange::Base);
  const ConfigText *Base = BaseDigest ? History_.find(*BaseDigest) : nullptr;
  if (!Digest || !End || (BaseDigest && !Base))
    return Error{ErrorCode::PatchFailed, "the answer lacks a field, or names an unknown base"};
  auto Text = restoreWith(Base ? *Base->Bytes_ : std::string_view(), Answer.Body_, MaxConfigBytes);
  if (!Text)
    return Text.error();
  if (ConfigHistory::digest(*Text) != *Digest)
    return Error{ErrorCode::PatchFailed, "the digest differs"};
  FetchedConfig Fetched;
  Fetched.TransferredBytes_ = Answer.Body_.size();
  Fetched.Bytes_ = std::move(*Text);
  Fetched.End_ = *End;
  if (Era)
    Fetched.Era_ = StoreEra(*Era);
  return Fetched;
}

} // namespace rattancart
