#include "Gateway/StoreRelay.h"

#include "Core/Common/ErrorCode.h"

#include <algorithm>
#include <memory>
#include <random>
#include <utility>

namespace rattancart {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr Duration TickInterval = milliseconds(100);
/// Two publications within the second for which an announcement counts.
constexpr Duration PublishInterval = milliseconds(400);
constexpr Duration SubscribeInterval = milliseconds(1000);
/// A subscription that is not renewed for this long ends; it survives three lost datagrams.
constexpr Duration SubscriptionLifetime = milliseconds(3500);

/// Versions of the configuration that a reader can name differences to. Most receivers have the one
/// before the newest.
constexpr std::size_t OfferedBases = 4;

/// An owner that is silent for this long may be replaced by one that is not known yet.
constexpr Duration OwnerSilenceLimit = milliseconds(1500);
/// Without an owner for this long, each gateway reads for itself.
constexpr Duration ReadersLifetime = milliseconds(10000);

std::int64_t toMicroseconds(Duration Time) { return Time / microseconds(1); }

std::unique_ptr<wire::ListChangeT> toWire(const ListChange &Change, ListPosition From) {
  auto Encoded = std::make_unique<wire::ListChangeT>();
  Encoded->offset = static_cast<std::uint32_t>(Change.Offset_ - From);
  Encoded->id = Change.Id_.str();
  Encoded->removed = !Change.Listing_;
  if (!Change.Listing_)
    return Encoded;
  const EndpointListing &Listing = *Change.Listing_;
  Encoded->service = Listing.Service_.str();
  Encoded->address = Listing.Address_.str();
  Encoded->data_center = Listing.DataCenter_.str();
  Encoded->leaving = Listing.State_ != EndpointState::Live;
  Encoded->run = Listing.Run_.value();
  Encoded->slots = Listing.Slots_;
  Encoded->kind = Listing.Kind_;
  Encoded->first_layer = Listing.Layers_.Begin_;
  Encoded->end_layer = Listing.Layers_.End_;
  return Encoded;
}

ListChange fromWire(const wire::ListChangeT &Encoded, ListPosition From) {
  ListChange Change{From + Encoded.offset, EndpointId(Encoded.id), std::nullopt};
  if (Encoded.removed)
    return Change;
  EndpointListing &Listing = Change.Listing_.emplace();
  Listing.Id_ = Change.Id_;
  Listing.Service_ = ServiceId(Encoded.service);
  Listing.Address_ = NetAddress(Encoded.address);
  Listing.DataCenter_ = DataCenterId(Encoded.data_center);
  Listing.State_ = Encoded.leaving ? EndpointState::Leaving : EndpointState::Live;
  Listing.Run_ = Incarnation(Encoded.run);
  Listing.Slots_ = Encoded.slots;
  Listing.Kind_ = Encoded.kind;
  Listing.Layers_ = {Encoded.first_layer, Encoded.end_layer};
  return Change;
}

std::optional<StoreEra> era(const wire::ListChangesT &Received) {
  return Received.era_known ? std::optional(StoreEra(Received.era)) : std::nullopt;
}

ListSpan spanFromWire(const wire::ListChangesT &Received) {
  ListSpan Span{Received.from, Received.to, Received.at_end, Received.digest, {}, era(Received)};
  for (const auto &Each : Received.changes)
    if (Each)
      Span.Changes_.push_back(fromWire(*Each, Received.from));
  return Span;
}

const char *roleName(StoreRole Role) {
  switch (Role) {
  case StoreRole::Reader:
    return "reader";
  case StoreRole::Receiver:
    return "receiver";
  case StoreRole::Alone:
    break;
  }
  return "alone";
}

const char *outcomeName(SpanOutcome Outcome) {
  switch (Outcome) {
  case SpanOutcome::Applied:
    return "applied";
  case SpanOutcome::Old:
    return "old";
  case SpanOutcome::Elsewhere:
    return "elsewhere";
  case SpanOutcome::Diverged:
    return "diverged";
  case SpanOutcome::OtherEra:
    return "other era";
  case SpanOutcome::Untrusted:
    break;
  }
  return "untrusted";
}

std::string joined(const std::vector<std::string> &Names) {
  std::string Text;
  for (const std::string &Name : Names)
    Text += (Text.empty() ? "" : ",") + Name;
  return Text.empty() ? "-" : Text;
}

GatewayRun randomRun() {
  std::random_device Random;
  return GatewayRun(std::uint64_t{Random()} << 32 | Random());
}

} // namespace

StoreRelay::StoreRelay(Dependencies Use, DataCenterId Home, std::size_t Readers,
                       ListRelay::Options Timing)
    : Use_(Use), Home_(std::move(Home)), ReaderCount_(Readers), Run_(randomRun()),
      Relay_(Timing, std::random_device{}()), ConfigServer_(History_, Use.Metrics_),
      Fetcher_(Use.Loop_, Use.Time_, Use.Client_, History_), Timer_(Use.Loop_) {}

void StoreRelay::start() {
  if (!enabled())
    return;
  Use_.Store_.shareReads(Relay_, History_);
  Use_.Datagrams_.onDatagram(
      [this](wire::GatewayDatagramT &Content, const DatagramSocket::Endpoint &From) {
        onDatagram(Content, From);
      });
  Timer_.every(TickInterval, [this] { tick(); });
}

void StoreRelay::tick() {
  updateRole();
  logLaterConfig();
  fetchConfig();
  Use_.Store_.reconsiderReads();
  if (Use_.Time_.now() - SubscribedAt_ >= SubscribeInterval)
    subscribe();
  publish();
}

void StoreRelay::logLaterConfig() {
  const auto End = Relay_.laterConfigEnd(Use_.Time_.now());
  if (!End || End == LoggedConfigEnd_)
    return;
  LoggedConfigEnd_ = End;
  Use_.Log_.log(LogEvent::ConfigAnnounced, {{"end", *End}});
}

void StoreRelay::fetchConfig() {
  const TimePoint Now = Use_.Time_.now();
  if (Fetcher_.isBusy())
    return;
  const auto Offer = Relay_.configOffer(Now);
  if (!Offer)
    return;
  Fetcher_.fetch(NetAddress(Offer->Source_),
                 [this, Offer = *Offer, Now](Result<FetchedConfig> Fetched) {
                   onConfigFetched(Offer, Now, std::move(Fetched));
                 });
}

void StoreRelay::onConfigFetched(const ConfigOffer &Offer, TimePoint BeganAt,
                                 Result<FetchedConfig> Fetched) {
  if (Fetched && Fetched->Era_ != Relay_.era())
    Fetched = Error{ErrorCode::StoreReturned, "of another era of the store"};
  if (!Fetched) {
    Use_.Metrics_.count("configs_fetched_total", "failed");
    Use_.Log_.log(LogEvent::ConfigFetchFailed, {{"from", Offer.Source_},
                                                {"error", Fetched.error().Code_.value()},
                                                {"reason", Fetched.error().Detail_}});
    return Relay_.onConfigFetchFailed(Offer.Reader_);
  }
  Use_.Metrics_.count("configs_fetched_total", "taken");
  Use_.Log_.log(LogEvent::ConfigFetched,
                {{"from", Offer.Source_},
                 {"end", Fetched->End_},
                 {"bytes", Fetched->Bytes_.size()},
                 {"transferred", Fetched->TransferredBytes_},
                 {"took_ms", (Use_.Time_.now() - BeganAt) / milliseconds(1)}});
  if (!Use_.Store_.applyConfig(std::move(Fetched->Bytes_), Fetched->End_))
    Relay_.onConfigFetchFailed(Offer.Reader_);
}

std::vector<std::string> StoreRelay::findReaders() const {
  const EngineStateBroadcast &Broadcast = Use_.StateBroadcast_;
  if (!Broadcast.isOwner()) {
    const auto Silence = Broadcast.ownerSilence();
    if (!Silence || *Silence > ReadersLifetime)
      return {};
    // While the owner is silent, its successor is being looked for.
    if (*Silence > OwnerSilenceLimit)
      return Readers_;
  }
  return storeReaders(Broadcast.ownerAtHome(), Broadcast.standInsAtHome(), ReaderCount_);
}

void StoreRelay::updateRole() {
  std::vector<std::string> Readers = findReaders();
  const bool IsReader =
      std::find(Readers.begin(), Readers.end(), Use_.StateBroadcast_.member()) != Readers.end();
  const StoreRole Role = Readers.empty() ? StoreRole::Alone
                         : IsReader      ? StoreRole::Reader
                                         : StoreRole::Receiver;
  const bool NewReaders = Readers != Readers_;
  Readers_ = std::move(Readers);
  if (Role != Relay_.role())
    Use_.Log_.log(LogEvent::StoreRoleChanged, {{"role", roleName(Role)},
                                               {"before", roleName(Relay_.role())},
                                               {"readers", joined(Readers_)}});
  Relay_.setRole(Role);
  History_.keep(Role == StoreRole::Reader ? OfferedBases : 1);
  if (NewReaders)
    subscribe();
}

void StoreRelay::subscribe() {
  SubscribedAt_ = Use_.Time_.now();
  if (Relay_.role() != StoreRole::Receiver)
    return;
  wire::ListSubscribeT Request;
  Request.data_center = Home_.str();
  for (const std::string &Reader : Readers_) {
    Request.sent_us = toMicroseconds(sinceEpoch());
    Use_.Datagrams_.send(Reader, packPayload(Request));
  }
}

void StoreRelay::onDatagram(wire::GatewayDatagramT &Content, const DatagramSocket::Endpoint &From) {
  if (auto *Changes = Content.payload.AsListChanges()) {
    Use_.Datagrams_.forward(*Changes);
    return onChanges(*Changes);
  }
  if (const auto *Clock = Content.payload.AsListClock())
    return Clocks_.onExchange(GatewayRun(Clock->run), TimePoint(microseconds(Clock->sent_us)),
                              microseconds(Clock->received_us), Use_.Time_.now());
  if (const auto *Request = Content.payload.AsListSubscribe())
    onSubscribe(*Request, From);
}

void StoreRelay::onSubscribe(const wire::ListSubscribeT &Request,
                             const DatagramSocket::Endpoint &From) {
  if (Request.data_center != Home_.str())
    return;
  wire::ListClockT Answer;
  Answer.run = Run_.value();
  Answer.sent_us = Request.sent_us;
  // Rounded up, so that the subscriber takes nothing for newer than it is.
  Answer.received_us = toMicroseconds(sinceEpoch()) + 1;
  Subscribers_[From] = Use_.Time_.now() + SubscriptionLifetime;
  Use_.Datagrams_.send(From, packPayload(Answer));
}

void StoreRelay::publish() {
  const TimePoint Now = Use_.Time_.now();
  std::erase_if(Subscribers_, [&](const auto &Entry) { return Entry.second < Now; });
  const auto Content = Relay_.publication(Now);
  if (!Content || Subscribers_.empty())
    return;
  const bool New =
      Content->ListReadAt_ != PublishedRead_ || Content->ConfigEnd_ != PublishedConfigEnd_;
  if (!New && Now - PublishedAt_ < PublishInterval)
    return;
  PublishedAt_ = Now;
  PublishedRead_ = Content->ListReadAt_;
  PublishedConfigEnd_ = Content->ConfigEnd_;
  std::vector<wire::ListChangesT> Datagrams = encode(*Content);
  std::map<DataCenterId, std::vector<std::string>> Receivers;
  for (const auto &[To, Until] : Subscribers_)
    Receivers[Home_].push_back(addressText(To));
  Use_.Datagrams_.sendToAll(Datagrams, Receivers);
}

std::vector<wire::ListChangesT> StoreRelay::encode(const ListPublication &Content) const {
  std::vector<wire::ListChangesT> Datagrams;
  for (const ListSpan &Span : Content.Spans_) {
    wire::ListChangesT &Datagram = Datagrams.emplace_back();
    Datagram.has_span = true;
    Datagram.read_us = toMicroseconds(Content.ListReadAt_->time_since_epoch());
    Datagram.from = Span.From_;
    Datagram.to = Span.To_;
    Datagram.at_end = Span.AtEnd_;
    Datagram.digest = Span.Digest_;
    for (const ListChange &Change : Span.Changes_)
      Datagram.changes.push_back(toWire(Change, Span.From_));
  }
  if (Datagrams.empty())
    Datagrams.emplace_back();
  for (wire::ListChangesT &Datagram : Datagrams) {
    Datagram.data_center = Home_.str();
    Datagram.run = Run_.value();
    Datagram.sent_us = toMicroseconds(sinceEpoch());
    Datagram.config_known = Content.ConfigEnd_.has_value();
    Datagram.config_end = Content.ConfigEnd_.value_or(0);
    if (Content.ConfigEnd_ && Content.ConfigEnd_ == History_.end())
      Datagram.config_source = Use_.StateBroadcast_.member();
    Datagram.era_known = Content.Era_.has_value();
    Datagram.era = Content.Era_.value_or(StoreEra(0)).value();
  }
  return Datagrams;
}

void StoreRelay::onChanges(const wire::ListChangesT &Received) {
  const GatewayRun Reader(Received.run);
  if (Received.data_center != Home_.str() || Reader == Run_)
    return;
  const TimePoint Now = Use_.Time_.now();
  const auto SentAt = Clocks_.earliest(Reader, microseconds(Received.sent_us), Now);
  const auto ReadAt = Clocks_.earliest(Reader, microseconds(Received.read_us), Now);
  if (!SentAt || !ReadAt) {
    Use_.Metrics_.count("relayed_spans_total", "clock unknown");
    return;
  }
  if (Received.config_known)
    Relay_.onConfigAnnounced(Reader, Received.config_end, era(Received), *SentAt, Now,
                             Received.config_source);
  fetchConfig();
  if (!Received.has_span)
    return;
  const ListSpan Span = spanFromWire(Received);
  const SpanOutcome Outcome = Use_.Store_.applySpan(Span, *ReadAt);
  Use_.Metrics_.count("relayed_spans_total", outcomeName(Outcome));
  if (!Span.Changes_.empty())
    Use_.Metrics_.count(
        "relayed_changes_total",
        Outcome == SpanOutcome::Applied || Outcome == SpanOutcome::Diverged ? "applied" : "ignored",
        Span.Changes_.size());
}

} // namespace rattancart
