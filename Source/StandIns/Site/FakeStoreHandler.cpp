#include "StandIns/Site/FakeStoreHandler.h"

#include "StandIns/JsonFields.h"
#include "StandIns/StandInHandler.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <fmt/format.h>

#include <charconv>
#include <cstdlib>
#include <optional>
#include <utility>

namespace rattancart {

namespace {

constexpr std::uint32_t Partitions = 24;
constexpr Duration CheckInterval = std::chrono::milliseconds(50);
/// StoreFault::RateLimited refuses every call whose number is a multiple of this.
constexpr std::uint64_t RateLimitedEvery = 3;

std::string bigEndian(std::uint64_t Value, int Bytes) {
  std::string Text;
  for (int Shift = 8 * (Bytes - 1); Shift >= 0; Shift -= 8)
    Text += static_cast<char>(Value >> Shift & 0xff);
  return Text;
}

std::string base64(const std::string &Bytes) {
  namespace codec = boost::beast::detail::base64;
  std::string Text(codec::encoded_size(Bytes.size()), '\0');
  Text.resize(codec::encode(Text.data(), Bytes.data(), Bytes.size()));
  return Text;
}

std::uint64_t numberQuery(const HttpRequest &Request, std::string_view Name) {
  return std::strtoull(std::string(Request.query(Name)).c_str(), nullptr, 10);
}

/// The value of a query, decoded; nothing if it holds bytes that must be encoded.
std::optional<std::string> decodedQuery(std::string_view Text) {
  std::string Decoded;
  for (std::size_t At = 0; At < Text.size(); ++At) {
    const auto Byte = static_cast<unsigned char>(Text[At]);
    if (Byte <= ' ' || Byte == '#' || Byte >= 0x7f)
      return std::nullopt;
    if (Byte != '%') {
      Decoded += Text[At];
      continue;
    }
    unsigned Value = 0;
    const char *Begin = Text.data() + At + 1;
    if (At + 2 >= Text.size() || std::from_chars(Begin, Begin + 2, Value, 16).ptr != Begin + 2)
      return std::nullopt;
    Decoded += static_cast<char>(Value);
    At += 2;
  }
  return Decoded;
}

/// The body as a JSON object; an empty one if the body is no object.
boost::json::object bodyOf(const HttpRequest &Request) {
  boost::json::value Value = parseObject(Request.Body_);
  return Value.is_object() ? std::move(Value.as_object()) : boost::json::object();
}

} // namespace

FakeStoreHandler::FakeStoreHandler(boost::asio::io_context &Loop, const Clock &Time)
    : Loop_(Loop), Time_(Time), Timer_(Loop), Pipe_(Loop, Time) {
  Timer_.every(CheckInterval, [this] { answerWaitingReads(); });
}

void FakeStoreHandler::handle(HttpRequest Request, HttpResponderPtr Responder) {
  ++Calls_;
  if (Fault_ == StoreFault::Silent) {
    Unanswered_.push_back(std::move(Responder));
    return;
  }
  if (Fault_ == StoreFault::RateLimited && Calls_ % RateLimitedEvery == 0)
    return send(*Responder, jsonAnswer(429, "{}"));
  if (Fault_ == StoreFault::Unavailable)
    return send(*Responder, jsonAnswer(503, "{}"));
  if (Fault_ == StoreFault::None || Fault_ == StoreFault::RateLimited)
    return dispatch(Request, Responder);
  // StoreFault::LosesAnswers: a join or an append takes effect, and the connection closes without
  // an answer. Reads are answered, as the platform's store answers them.
  if (Request.path() == "/-/log-newest")
    return readNewest(Request, Responder);
  if (Request.path() == "/-/log-append")
    applyAppend(Request);
  if (Request.path() == "/-/log-join")
    group(jsonText(bodyOf(Request), "group"))
        .join(jsonText(bodyOf(Request), "member"),
              std::chrono::milliseconds(jsonInteger(bodyOf(Request), "ttl_ms")),
              jsonInteger(bodyOf(Request), "generation"), Time_.now());
  Responder->abort();
}

void FakeStoreHandler::dispatch(const HttpRequest &Request, const HttpResponderPtr &Responder) {
  const std::string_view Path = Request.path();
  if (Path == "/-/log-read")
    return read(Request, Responder);
  if (Path == "/-/log-newest")
    return readNewest(Request, Responder);
  if (Path == "/-/log-append")
    return appendRecord(Request, *Responder);
  if (Path == "/-/log-join")
    return join(Request, *Responder);
  if (Path == "/-/log-leave")
    return leave(Request, *Responder);
  if (Path == "/-/log-owners")
    return readOwners(Request, *Responder);
  send(*Responder, jsonAnswer(404, "{}"));
}

void FakeStoreHandler::append(const std::string &Topic, StoreRecord Record) {
  Topics_[Topic].append(std::move(Record));
  boost::asio::post(Loop_, [this] { answerWaitingReads(); });
}

void FakeStoreHandler::truncateLogs() {
  for (auto &[Name, Topic] : Topics_)
    Topic.truncateLogs();
}

void FakeStoreHandler::takeCopy() { Copy_ = {Topics_, Groups_}; }

void FakeStoreHandler::returnFromCopy(ReadsAtReturn Reads) {
  Topics_ = Copy_.Topics_;
  Groups_ = Copy_.Groups_;
  ++Era_;
  std::list<WaitingRead> Waiting;
  if (Reads != ReadsAtReturn::Kept)
    Waiting.swap(Waiting_);
  for (const WaitingRead &Read : Waiting)
    if (Reads == ReadsAtReturn::Closed)
      Read.Responder_->abort();
    else
      Unanswered_.push_back(Read.Responder_);
  answerWaitingReads();
}

void FakeStoreHandler::loseWaitingReads() {
  for (const WaitingRead &Read : Waiting_)
    Unanswered_.push_back(Read.Responder_);
  Waiting_.clear();
}

void FakeStoreHandler::send(HttpResponder &Responder, HttpResponse Answer) const {
  if (NamesEra_)
    Answer.Headers_.add("Store-Era", std::to_string(Era_));
  Responder.send(std::move(Answer));
}

void FakeStoreHandler::sendRead(const HttpResponderPtr &Responder, HttpResponse Answer) {
  const std::size_t Bytes = Answer.Body_.size();
  Pipe_.pass(Bytes, [this, Responder, Answer = std::move(Answer)]() mutable {
    send(*Responder, std::move(Answer));
  });
}

void FakeStoreHandler::read(const HttpRequest &Request, const HttpResponderPtr &Responder) {
  const std::string Topic(Request.query("topic"));
  const std::uint64_t From = numberQuery(Request, "from");
  const KeyedTopic &Log = Topics_[Topic];
  if (From < Log.first() || From > Log.end())
    return send(*Responder, jsonAnswer(410, fmt::format("{{\"first\":{}}}", Log.first())));
  const WaitingRead Read{Topic, From, Responder,
                         Time_.now() + std::chrono::milliseconds(numberQuery(Request, "wait_ms"))};
  if (From < Log.end())
    return answerRead(Read);
  Waiting_.push_back(Read);
}

void FakeStoreHandler::answerRead(const WaitingRead &Read) {
  const KeyedTopic &Log = Topics_[Read.Topic_];
  if (Read.From_ > Log.end())
    return send(*Read.Responder_, jsonAnswer(410, fmt::format("{{\"first\":{}}}", Log.first())));
  HttpResponse Answer;
  Answer.Headers_.add("Content-Type", "application/octet-stream");
  Answer.Body_ = bigEndian(Log.end(), 8) + bigEndian(Log.first(), 8);
  if (Read.From_ >= Log.first() && Read.From_ < Log.end())
    for (const StoreRecord &Record : Log.read(Read.From_)) {
      const std::string Content = std::string(1, static_cast<char>(Record.Key_.size())) +
                                  Record.Key_ + Record.Value_.value_or("");
      Answer.Body_ += bigEndian(Content.size(), 4) + Content;
    }
  sendRead(Read.Responder_, std::move(Answer));
}

void FakeStoreHandler::answerWaitingReads() {
  if (Fault_ != StoreFault::None && Fault_ != StoreFault::RateLimited)
    return;
  for (auto Read = Waiting_.begin(); Read != Waiting_.end();) {
    if (Read->From_ == Topics_[Read->Topic_].end() && Time_.now() < Read->Until_) {
      ++Read;
      continue;
    }
    answerRead(*Read);
    Read = Waiting_.erase(Read);
  }
}

void FakeStoreHandler::readNewest(const HttpRequest &Request, const HttpResponderPtr &Responder) {
  const KeyedTopic &Log = Topics_[std::string(Request.query("topic"))];
  const auto From = decodedQuery(Request.query("after"));
  if (!From)
    return send(*Responder, jsonAnswer(400, "{}"));
  const std::string &After = *From;
  // Small, so that tests make callers request more than one page.
  constexpr std::size_t PageRecords = 5;
  boost::json::array Items;
  bool More = false;
  for (const auto &[Key, Value] : Log.newest()) {
    if (!After.empty() && Key <= After)
      continue;
    if (Items.size() == PageRecords) {
      More = true;
      break;
    }
    Items.push_back({{"key", Key}, {"value", base64(Value)}, {"offset", 0}});
  }
  sendRead(
      Responder,
      jsonAnswer(200, boost::json::serialize(boost::json::object{
                          {"items", std::move(Items)}, {"has_more", More}, {"end", Log.end()}})));
}

std::optional<std::uint64_t> FakeStoreHandler::applyAppend(const HttpRequest &Request) {
  constexpr std::size_t LengthBytes = 4;
  const std::string &Body = Request.Body_;
  const std::string Topic(Request.query("topic"));
  KeyedTopic &Log = Topics_[Topic];
  if (Body.size() <= LengthBytes || numberQuery(Request, "at") != Log.end())
    return std::nullopt;
  const std::uint64_t Offset = Log.end();
  const auto KeyBytes = static_cast<unsigned char>(Body[LengthBytes]);
  append(Topic, {Body.substr(LengthBytes + 1, KeyBytes), Body.substr(LengthBytes + 1 + KeyBytes)});
  return Offset;
}

void FakeStoreHandler::appendRecord(const HttpRequest &Request, HttpResponder &Responder) {
  const auto Offset = applyAppend(Request);
  const std::uint64_t End = Topics_[std::string(Request.query("topic"))].end();
  if (!Offset)
    return send(Responder, jsonAnswer(412, fmt::format("{{\"end\":{}}}", End)));
  send(Responder, jsonAnswer(200, fmt::format("{{\"offset\":{},\"end\":{}}}", *Offset, End)));
}

MemberGroup &FakeStoreHandler::group(const std::string &Name) {
  return Groups_.try_emplace(Name, Partitions).first->second;
}

void FakeStoreHandler::join(const HttpRequest &Request, HttpResponder &Responder) {
  const auto Body = bodyOf(Request);
  const auto *Topics = Body.if_contains("topics");
  if (!Topics || !Topics->is_array() || Topics->as_array().empty())
    return send(Responder, jsonAnswer(400, "{}"));
  const MemberGroup::Assignment Assigned =
      group(jsonText(Body, "group"))
          .join(jsonText(Body, "member"), std::chrono::milliseconds(jsonInteger(Body, "ttl_ms")),
                jsonInteger(Body, "generation"), Time_.now());
  boost::json::array Parts;
  for (const std::uint32_t Part : Assigned.Partitions_)
    Parts.push_back(boost::json::array{Topics->as_array().front(), Part, 0});
  send(Responder, jsonAnswer(200, boost::json::serialize(
                                      boost::json::object{{"generation", Assigned.Generation_},
                                                          {"ttl_ms", jsonInteger(Body, "ttl_ms")},
                                                          {"parts", std::move(Parts)}})));
}

void FakeStoreHandler::leave(const HttpRequest &Request, HttpResponder &Responder) {
  const auto Body = bodyOf(Request);
  group(jsonText(Body, "group")).leave(jsonText(Body, "member"), Time_.now());
  send(Responder, jsonAnswer(200, "{}"));
}

void FakeStoreHandler::readOwners(const HttpRequest &Request, HttpResponder &Responder) {
  boost::json::array Parts;
  const auto &Owners = group(std::string(Request.query("group"))).owners(Time_.now());
  for (std::uint32_t Part = 0; Part < Owners.size(); ++Part)
    if (!Owners[Part].empty())
      Parts.push_back(boost::json::array{"rattancart-duty", Part, Owners[Part], 0});
  send(Responder,
       jsonAnswer(200, boost::json::serialize(boost::json::object{{"parts", std::move(Parts)}})));
}

} // namespace rattancart
