#include "Watch/EndpointPoller.h"

#include "Watch/LoadReportJson.h"

#include <utility>
#include <vector>

namespace rattancart {

namespace {

constexpr Duration ConnectTimeout = std::chrono::milliseconds(500);
constexpr Duration ResponseTimeout = std::chrono::milliseconds(1000);
/// Number of polls that must fail in a row before an endpoint counts as silent.
constexpr int MaxMisses = 2;

} // namespace

EndpointPoller::EndpointPoller(boost::asio::io_context &Loop, const Clock &Time, Logger &Log,
                               HttpClient &Client, EndpointTable &Table,
                               std::function<bool(const Endpoint &)> ShouldPoll,
                               std::function<void(const EndpointId &, EndpointChange)> Changed)
    : Time_(Time), Log_(Log), Client_(Client), Table_(Table), ShouldPoll_(std::move(ShouldPoll)),
      Changed_(std::move(Changed)), Ticker_(Loop) {}

EndpointPoller::~EndpointPoller() { *Alive_ = false; }

void EndpointPoller::start(Duration Interval) {
  pollAll();
  Ticker_.every(Interval, [this] { pollAll(); });
}

void EndpointPoller::pollAll() {
  std::vector<EndpointId> Wanted;
  Table_.forEach([&](const Endpoint &Known) {
    if (Known.State_ != EndpointState::Gone && ShouldPoll_(Known))
      Wanted.push_back(Known.Id_);
  });
  std::erase_if(PollStates_, [&](const auto &Item) { return !Table_.find(Item.first); });
  for (const EndpointId &Id : Wanted)
    poll(Id);
}

void EndpointPoller::poll(const EndpointId &Id) {
  const Endpoint *Known = Table_.find(Id);
  PollState &Item = PollStates_[Id];
  if (!Known || Item.InProgress_)
    return;
  Item.InProgress_ = true;

  HttpRequest Request;
  Request.Target_ = "/v1/load";
  HttpSendOptions Options;
  Options.ConnectTimeout_ = ConnectTimeout;
  Options.ResponseTimeout_ = ResponseTimeout;
  // A pooled connection may be dead while new ones work, so a failed poll is retried on a new
  // connection before the endpoint counts as silent.
  if (Item.Misses_ > 0)
    Options.Use_ = ConnectionUse::Fresh;
  const TimePoint SentAt = Time_.now();
  Client_.send(Known->Address_, std::move(Request), std::move(Options),
               [this, Alive = Alive_, Asked = *Known, SentAt](const HttpResult &Outcome) {
                 if (*Alive)
                   received(Asked, SentAt, Outcome);
               });
}

void EndpointPoller::received(const Endpoint &Known, TimePoint SentAt, const HttpResult &Outcome) {
  PollState &Item = PollStates_[Known.Id_];
  Item.InProgress_ = false;
  if (Outcome.Error_ || Outcome.Response_.Status_ != 200)
    return missed(Known);
  const auto Report = parseLoadReport(Outcome.Response_.Body_, Known);
  if (!Report)
    return missed(Known);
  Item.Misses_ = 0;
  const EndpointChange Change = Table_.apply(*Report, SentAt);
  if (Change != EndpointChange::None && Change != EndpointChange::Stale)
    Changed_(Known.Id_, Change);
}

void EndpointPoller::missed(const Endpoint &Known) {
  PollState &Item = PollStates_[Known.Id_];
  if (++Item.Misses_ < MaxMisses)
    return poll(Known.Id_);
  const EndpointChange Change = Table_.markSilent(Known.Id_, Known.Incarnation_);
  if (Change != EndpointChange::Updated)
    return;
  Log_.log(
      LogEvent::EndpointSilent,
      {{"endpoint", Known.Id_.str()}, {"address", Known.Address_.str()}, {"misses", Item.Misses_}});
  Changed_(Known.Id_, Change);
}

} // namespace rattancart
