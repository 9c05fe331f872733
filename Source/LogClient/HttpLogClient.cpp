#include "LogClient/HttpLogClient.h"

#include "Core/Common/ErrorCode.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <fmt/format.h>

#include <utility>

namespace rattancart {

namespace {

namespace json = boost::json;

constexpr std::size_t MaxResponseBytes = 64UL * 1024 * 1024;

Error malformedError(std::string Detail) {
  return Error{ErrorCode::PlatformMalformed, std::move(Detail)};
}

/// The error of a failed request that only reads.
Error toReadError(const HttpResult &Outcome) {
  if (Outcome.Error_ == ErrorCode::ResponseTimeout)
    return Error{ErrorCode::PlatformSlow, "no answer in time"};
  if (Outcome.Error_)
    return Error{ErrorCode::PlatformUnreachable, Outcome.Error_.message()};
  return Error{ErrorCode::PlatformUnreachable, fmt::format("status {}", Outcome.Response_.Status_)};
}

Result<LogOffset> parseAppend(const HttpResult &Outcome) {
  if (!Outcome.BytesHandedOver_)
    return Error{ErrorCode::PlatformUnreachable, Outcome.Error_.message()};
  if (Outcome.Error_ || Outcome.Response_.Status_ != 200)
    return Error{ErrorCode::AppendUnknown, "the append was not confirmed"};
  boost::system::error_code Failure;
  const json::value Body = json::parse(Outcome.Response_.Body_, Failure);
  if (Failure || !Body.is_object() || !Body.as_object().if_contains("offset") ||
      !Body.at("offset").is_int64())
    return Error{ErrorCode::AppendUnknown, "the confirmation can't be decoded"};
  return LogOffset(Body.at("offset").as_int64());
}

Result<LogPage> parsePage(const HttpResult &Outcome) {
  if (Outcome.Error_)
    return toReadError(Outcome);
  if (Outcome.Response_.Status_ == 410)
    return Error{ErrorCode::OffsetTrimmed, Outcome.Response_.Body_};
  if (Outcome.Response_.Status_ != 200)
    return toReadError(Outcome);
  // Boost.JSON throws for a missing or mistyped member; the platform's response is the only input
  // here, so one handler covers all members.
  try {
    const json::value Body = json::parse(Outcome.Response_.Body_);
    LogPage Page;
    Page.First_ = LogOffset(Body.at("first").to_number<std::int64_t>());
    Page.Next_ = LogOffset(Body.at("next").to_number<std::int64_t>());
    for (const json::value &Item : Body.at("records").as_array())
      Page.Records_.push_back({LogOffset(Item.at("offset").to_number<std::int64_t>()),
                               std::string(Item.at("body").as_string())});
    return Page;
  } catch (const std::exception &Failure) {
    return malformedError(Failure.what());
  }
}

std::string optionalText(const json::object &Item, std::string_view Name) {
  const json::value *Value = Item.if_contains(Name);
  return Value && Value->is_string() ? std::string(Value->as_string()) : std::string();
}

ListedInstance parseInstance(const json::object &Item) {
  ListedInstance Entry;
  Entry.Id_ = EndpointId(std::string(Item.at("id").as_string()));
  const std::string Kind(Item.at("kind").as_string());
  Entry.Kind_ = Kind == "engine"    ? ListedInstance::Kind::Engine
                : Kind == "service" ? ListedInstance::Kind::Service
                                    : ListedInstance::Kind::Entry;
  Entry.Address_ = NetAddress(std::string(Item.at("address").as_string()));
  Entry.DataCenter_ = DataCenterId(optionalText(Item, "data_center"));
  Entry.Leaving_ = optionalText(Item, "state") == "leaving";
  Entry.Incarnation_ = Incarnation(Item.at("incarnation").to_number<std::uint64_t>());
  Entry.Service_ = ServiceId(optionalText(Item, "service"));
  return Entry;
}

Result<InstanceList> parseList(const HttpResult &Outcome) {
  if (Outcome.Error_ || Outcome.Response_.Status_ != 200)
    return toReadError(Outcome);
  try {
    const json::value Body = json::parse(Outcome.Response_.Body_);
    InstanceList List;
    List.Version_ = Body.at("version").to_number<std::uint64_t>();
    for (const json::value &Item : Body.at("instances").as_array())
      List.Instances_.push_back(parseInstance(Item.as_object()));
    return List;
  } catch (const std::exception &Failure) {
    return malformedError(Failure.what());
  }
}

} // namespace

HttpLogClient::HttpLogClient(HttpClient &Client, NetAddress Address, Duration Timeout)
    : Client_(Client), Address_(std::move(Address)), Timeout_(Timeout) {}

void HttpLogClient::append(const std::string &Stream, std::string Body,
                           std::function<void(Result<LogOffset>)> Done) {
  HttpRequest Request;
  Request.Method_ = "POST";
  Request.Target_ = "/v1/log/" + Stream;
  Request.Body_ = std::move(Body);
  HttpSendOptions Options;
  Options.ResponseTimeout_ = Timeout_;
  Client_.send(Address_, std::move(Request), std::move(Options),
               [Done = std::move(Done)](const HttpResult &Outcome) { Done(parseAppend(Outcome)); });
}

void HttpLogClient::read(const std::string &Stream, LogOffset From, std::size_t Max, Duration Wait,
                         std::function<void(Result<LogPage>)> Done) {
  HttpRequest Request;
  Request.Target_ =
      fmt::format("/v1/log/{}?from={}&max={}&wait_ms={}", Stream, From.value(), Max,
                  std::chrono::duration_cast<std::chrono::milliseconds>(Wait).count());
  HttpSendOptions Options;
  Options.ResponseTimeout_ = Timeout_ + Wait;
  Options.MaxBodyBytes_ = MaxResponseBytes;
  Client_.send(Address_, std::move(Request), std::move(Options),
               [Done = std::move(Done)](const HttpResult &Outcome) { Done(parsePage(Outcome)); });
}

void HttpLogClient::list(std::function<void(Result<InstanceList>)> Done) {
  HttpRequest Request;
  Request.Target_ = "/v1/instances";
  HttpSendOptions Options;
  Options.ResponseTimeout_ = Timeout_;
  Options.MaxBodyBytes_ = MaxResponseBytes;
  Client_.send(Address_, std::move(Request), std::move(Options),
               [Done = std::move(Done)](const HttpResult &Outcome) { Done(parseList(Outcome)); });
}

} // namespace rattancart
