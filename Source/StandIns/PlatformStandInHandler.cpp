#include "StandIns/PlatformStandInHandler.h"

#include "StandIns/JsonFields.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace rattancart {

namespace json = boost::json;

namespace {

constexpr std::string_view LogPrefix = "/v1/log/";
constexpr std::string_view InstancesPath = "/v1/instances";
constexpr std::string_view WeightsPrefix = "/v1/weights/";
constexpr std::size_t DefaultMax = 1000;
constexpr Duration MaxAppendWait = std::chrono::seconds(10);
constexpr Duration MaxReadWait = std::chrono::seconds(60);

std::int64_t queryNumber(const HttpRequest &Request, std::string_view Name, std::int64_t Default) {
  const std::string_view Text = Request.query(Name);
  std::int64_t Number = Default;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Number;
}

std::string pageText(const LogPage &Page) {
  json::array Records;
  for (const LogRecord &Record : Page.Records_)
    Records.push_back({{"offset", Record.Offset_.value()}, {"body", Record.Body_}});
  return json::serialize(json::object{{"first", Page.First_.value()},
                                      {"next", Page.Next_.value()},
                                      {"records", std::move(Records)}}) +
         "\n";
}

std::string_view kindName(ListedInstance::Kind Kind) {
  switch (Kind) {
  case ListedInstance::Kind::Engine:
    return "engine";
  case ListedInstance::Kind::Service:
    return "service";
  case ListedInstance::Kind::Entry:
    break;
  }
  return "entry";
}

json::object entryObject(const ListedInstance &Entry) {
  const std::string_view Kind = kindName(Entry.Kind_);
  json::object Object{{"id", Entry.Id_.str()},
                      {"kind", json::string_view(Kind.data(), Kind.size())},
                      {"address", Entry.Address_.str()},
                      {"data_center", Entry.DataCenter_.str()},
                      {"state", Entry.Leaving_ ? "leaving" : "live"},
                      {"incarnation", Entry.Incarnation_.value()}};
  if (Entry.Kind_ == ListedInstance::Kind::Service)
    Object["service"] = Entry.Service_.str();
  return Object;
}

ListedInstance parseEntry(const json::object &Object, std::string_view Id) {
  ListedInstance Entry;
  Entry.Id_ = EndpointId(std::string(Id));
  const std::string Kind = jsonText(Object, "kind");
  Entry.Kind_ = Kind == "engine"    ? ListedInstance::Kind::Engine
                : Kind == "service" ? ListedInstance::Kind::Service
                                    : ListedInstance::Kind::Entry;
  Entry.Address_ = NetAddress(jsonText(Object, "address"));
  Entry.DataCenter_ = DataCenterId(jsonText(Object, "data_center"));
  Entry.Leaving_ = jsonText(Object, "state") == "leaving";
  Entry.Incarnation_ = Incarnation(static_cast<std::uint64_t>(jsonInteger(Object, "incarnation")));
  Entry.Service_ = ServiceId(jsonText(Object, "service"));
  return Entry;
}

/// Takes the next free slot of a rate-limited resource; returns the time until it.
Duration reserveSlot(TimePoint &Next, TimePoint Now, double PerSecond) {
  if (PerSecond <= 0)
    return Duration::zero();
  const TimePoint Slot = std::max(Next, Now);
  Next = Slot + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / PerSecond));
  return Slot - Now;
}

HttpResponse notFound() { return jsonAnswer(404, "{\"error\":\"no such resource\"}\n"); }

} // namespace

PlatformStandInHandler::PlatformStandInHandler(boost::asio::io_context &Loop, Logger &Log,
                                               const Clock &Time, PlatformFaults Faults,
                                               double WeightsPerSecond)
    : StandInHandler(Loop, Log), Time_(Time), Faults_(std::move(Faults)),
      Records_(Faults_.RetainRecords_), WeightsPerSecond_(WeightsPerSecond) {}

bool PlatformStandInHandler::setFaultText(const std::string &Text) {
  if (!applyFaults(Faults_, Text))
    return false;
  Records_.setRetention(Faults_.RetainRecords_);
  return true;
}

void PlatformStandInHandler::leave() {
  Leaving_ = true;
  answerWaitingReads(/*All=*/true);
}

void PlatformStandInHandler::serve(HttpRequest Request, HttpResponderPtr Responder) {
  const std::string_view Path = Request.path();
  if (Path.starts_with(LogPrefix) && Path.size() > LogPrefix.size())
    return serveLog(Request, Responder);
  if (Path == InstancesPath || Path.starts_with("/v1/instances/"))
    return serveInstances(Request, Responder);
  if (Path.starts_with(WeightsPrefix))
    return serveWeights(Request, Responder);
  deliver(Responder, notFound());
}

void PlatformStandInHandler::serveLog(const HttpRequest &Request,
                                      const HttpResponderPtr &Responder) {
  std::string Stream(Request.path().substr(LogPrefix.size()));
  if (Request.Method_ == "POST")
    return append(Stream, Request.Body_, Responder);
  WaitingRead Read;
  Read.Stream_ = std::move(Stream);
  Read.From_ = LogOffset(queryNumber(Request, "from", 0));
  Read.Max_ =
      static_cast<std::size_t>(std::max<std::int64_t>(1, queryNumber(Request, "max", DefaultMax)));
  const Duration Wait = std::chrono::milliseconds(queryNumber(Request, "wait_ms", 0));
  Read.Until_ = Time_.now() + std::clamp(Wait, Duration::zero(), MaxReadWait);
  Read.Responder_ = Responder;
  read(std::move(Read));
}

void PlatformStandInHandler::append(const std::string &Stream, std::string Body,
                                    const HttpResponderPtr &Responder) {
  if (Faults_.appliesTo(Stream) && Faults_.FailAppends_ > 0) {
    --Faults_.FailAppends_;
    return deliver(Responder, jsonAnswer(503, "{\"error\":\"append failed\"}\n"));
  }
  const Duration Delay = Faults_.appliesTo(Stream) ? appendDelay() : Duration::zero();
  if (Delay > MaxAppendWait)
    return deliver(Responder, jsonAnswer(503, "{\"error\":\"too many appends\"}\n"));
  after(Delay, [this, Stream, Body = std::move(Body), Responder]() mutable {
    appendNow(Stream, std::move(Body), Responder);
  });
}

Duration PlatformStandInHandler::appendDelay() {
  return reserveSlot(NextAppend_, Time_.now(), Faults_.AppendsPerSecond_);
}

void PlatformStandInHandler::appendNow(const std::string &Stream, std::string Body,
                                       const HttpResponderPtr &Responder) {
  const bool Affected = Faults_.appliesTo(Stream);
  if (Affected && Faults_.DuplicateAppends_ > 0) {
    --Faults_.DuplicateAppends_;
    Records_.append(Stream, Body);
  }
  const LogOffset Offset = Records_.append(Stream, std::move(Body));
  answerWaitingReads(/*All=*/false);
  if (Affected && Faults_.LoseAppendAnswers_ > 0) {
    --Faults_.LoseAppendAnswers_;
    return Responder->abort();
  }
  deliver(Responder,
          jsonAnswer(200, json::serialize(json::object{{"offset", Offset.value()}}) + "\n"));
}

void PlatformStandInHandler::read(WaitingRead Read) {
  const Duration Wait = Read.Until_ - Time_.now();
  if (Wait.count() <= 0 || Leaving_ || Records_.canAnswerRead(Read.Stream_, Read.From_))
    return answerRead(Read);
  Waiting_.push_back(std::move(Read));
  after(Wait, [this] { answerWaitingReads(/*All=*/false); });
}

void PlatformStandInHandler::answerRead(const WaitingRead &Read) {
  const LogPage Page = Records_.read(Read.Stream_, Read.From_, Read.Max_);
  if (Read.From_ >= Page.First_)
    return deliver(Read.Responder_, jsonAnswer(200, pageText(Page)));
  const json::object Bounds{{"first", Page.First_.value()}, {"next", Page.Next_.value()}};
  deliver(Read.Responder_, jsonAnswer(410, json::serialize(Bounds) + "\n"));
}

void PlatformStandInHandler::answerWaitingReads(bool All) {
  const TimePoint Now = Time_.now();
  for (auto It = Waiting_.begin(); It != Waiting_.end();) {
    const bool Due = All || !It->Responder_->isOpen() || It->Until_ <= Now ||
                     Records_.canAnswerRead(It->Stream_, It->From_);
    if (!Due) {
      ++It;
      continue;
    }
    answerRead(*It);
    It = Waiting_.erase(It);
  }
}

void PlatformStandInHandler::serveInstances(const HttpRequest &Request,
                                            const HttpResponderPtr &Responder) {
  const std::string_view Path = Request.path();
  if (Path == InstancesPath) {
    const InstanceList List =
        Instances_.view(Time_.now(), Faults_.ListLag_, Faults_.ListBackwards_);
    json::array Entries;
    for (const ListedInstance &Entry : List.Instances_)
      Entries.push_back(entryObject(Entry));
    const json::object Body{{"version", List.Version_}, {"instances", std::move(Entries)}};
    return deliver(Responder, jsonAnswer(200, json::serialize(Body) + "\n"));
  }
  const std::string_view Id = Path.substr(InstancesPath.size() + 1);
  if (Request.Method_ == "DELETE") {
    const bool Removed = Instances_.remove(EndpointId(std::string(Id)), Time_.now());
    return deliver(Responder, Removed ? jsonAnswer(200, "{}\n") : notFound());
  }
  const json::value Body = parseObject(Request.Body_);
  if (Request.Method_ != "PUT" || Id.empty() || !Body.is_object())
    return deliver(Responder, jsonAnswer(400, "{\"error\":\"not an entry\"}\n"));
  Instances_.put(parseEntry(Body.as_object(), Id), Time_.now());
  deliver(Responder, jsonAnswer(200, "{}\n"));
}

void PlatformStandInHandler::serveWeights(const HttpRequest &Request,
                                          const HttpResponderPtr &Responder) {
  const TimePoint Now = Time_.now();
  if (WeightsPerSecond_ > 0 && NextWeights_ > Now)
    return deliver(Responder, jsonAnswer(429, "{\"error\":\"rate limit\"}\n"));
  reserveSlot(NextWeights_, Now, WeightsPerSecond_);
  HttpResponse Response;
  Response.Headers_.add("Content-Type", "application/octet-stream");
  Response.Body_ = "weights of " + std::string(Request.path().substr(WeightsPrefix.size()));
  deliver(Responder, std::move(Response));
}

} // namespace rattancart
