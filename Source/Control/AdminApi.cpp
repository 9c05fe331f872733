#include "Control/AdminApi.h"

#include "Core/Common/ErrorCode.h"
#include "Core/Settings/TokenHash.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <fmt/format.h>

#include <charconv>
#include <utility>

namespace rattancart {

namespace json = boost::json;

namespace {

constexpr std::size_t DefaultHistory = 50;
constexpr std::size_t MaxHistory = 1000;

void sendJson(HttpResponder &Responder, std::uint32_t Status, const json::object &Body) {
  HttpResponse Response;
  Response.Status_ = Status;
  Response.Headers_.add("Content-Type", "application/json");
  if (Status == 401)
    Response.Headers_.add("WWW-Authenticate", "Bearer");
  Response.Body_ = json::serialize(Body);
  Responder.send(std::move(Response));
}

json::object errorFields(const std::error_code &Code, const std::string &Detail) {
  return {{"error", Code.value()}, {"message", Code.message()}, {"detail", Detail}};
}

std::uint32_t statusOf(const std::error_code &Code) {
  switch (static_cast<ErrorCode>(Code.value())) {
  case ErrorCode::Conflict:
  case ErrorCode::BaseTooOld:
  case ErrorCode::BadBase:
  case ErrorCode::DuplicateChange:
    return 409;
  case ErrorCode::Unauthenticated:
    return 401;
  case ErrorCode::Forbidden:
  case ErrorCode::OutsidePrefix:
    return 403;
  case ErrorCode::NoSuchResource:
    return 404;
  case ErrorCode::ChangeUnknown:
    return 202;
  case ErrorCode::NotReady:
  case ErrorCode::PlatformUnreachable:
    return 503;
  default:
    return 400;
  }
}

void sendError(HttpResponder &Responder, const std::error_code &Code, const std::string &Detail) {
  sendJson(Responder, statusOf(Code), errorFields(Code, Detail));
}

json::object outcomeFields(const SubmitOutcome &Outcome) {
  using State = SubmitOutcome::State;
  json::object Fields;
  Fields["id"] = Outcome.Change_.str();
  if (Outcome.State_ == State::Accepted) {
    Fields["state"] = "accepted";
    Fields["revision"] = Outcome.Offset_.value();
    return Fields;
  }
  Fields["state"] = Outcome.State_ == State::Rejected ? "rejected" : "unknown";
  if (Outcome.Offset_ != NoOffset)
    Fields["offset"] = Outcome.Offset_.value();
  for (auto &Member : errorFields(Outcome.Error_.Code_, Outcome.Error_.Detail_))
    Fields.insert(std::move(Member));
  return Fields;
}

std::string_view kindName(SettingsDecision::Kind Kind) {
  switch (Kind) {
  case SettingsDecision::Kind::Accepted:
    return "accepted";
  case SettingsDecision::Kind::Duplicate:
    return "duplicate";
  case SettingsDecision::Kind::Snapshot:
    return "snapshot";
  case SettingsDecision::Kind::Stopped:
    return "stopped";
  case SettingsDecision::Kind::Rejected:
    break;
  }
  return "rejected";
}

json::object decisionFields(const SettingsDecision &Item) {
  json::array Paths;
  for (const SettingsPath &Path : Item.Paths_)
    Paths.emplace_back(Path.str());
  json::object Fields{{"offset", Item.Offset_.value()},
                      {"state", kindName(Item.Kind_)},
                      {"id", Item.Change_.str()},
                      {"author", Item.Author_.str()},
                      {"paths", std::move(Paths)}};
  if (Item.Error_)
    for (auto &Member : errorFields(Item.Error_, Item.Detail_))
      Fields.insert(std::move(Member));
  return Fields;
}

Result<SettingsPath> queryPath(const HttpRequest &Request) {
  const std::string_view Text = Request.query("path");
  return SettingsPath::parse(Text.empty() ? "/" : Text);
}

/// The id in /v1/endpoints/{id}/drain; empty if the path is another one.
std::string_view drainEndpointId(std::string_view Path) {
  constexpr std::string_view PathPrefix = "/v1/endpoints/";
  constexpr std::string_view PathSuffix = "/drain";
  if (!Path.starts_with(PathPrefix) || !Path.ends_with(PathSuffix) ||
      Path.size() <= PathPrefix.size() + PathSuffix.size())
    return {};
  return Path.substr(PathPrefix.size(), Path.size() - PathPrefix.size() - PathSuffix.size());
}

} // namespace

AdminApi::AdminApi(SettingsFollower &Follower, const EndpointDirectory &Endpoints, Logger &Log,
                   std::mt19937_64 &Random, AdminOptions Options)
    : Follower_(Follower), Endpoints_(Endpoints), Log_(Log), Random_(Random),
      Options_(std::move(Options)) {}

bool AdminApi::handle(HttpRequest &Request, HttpResponderPtr &Responder) {
  const std::string_view Path = Request.path();
  const bool IsApiPath = Path == "/v1/settings" || Path.starts_with("/v1/settings/") ||
                         Path.starts_with("/v1/changes/") || Path == "/v1/history" ||
                         Path == "/v1/validate" || Path == "/v1/endpoints" ||
                         Path.starts_with("/v1/endpoints/");
  if (!IsApiPath)
    return false;
  const HttpRequest Taken = std::move(Request);
  const HttpResponderPtr Answer = std::move(Responder);
  const std::optional<OperatorGrant> Grant = authenticate(Taken);
  if (Grant)
    dispatch(Taken, *Grant, Answer);
  else
    deny(Taken, ErrorCode::Unauthenticated, "", "a bearer token of an operator is needed", *Answer);
  return true;
}

std::optional<OperatorGrant> AdminApi::authenticate(const HttpRequest &Request) const {
  constexpr std::string_view Scheme = "Bearer ";
  const std::string_view Header = Request.Headers_.get("Authorization");
  if (!Header.starts_with(Scheme) || Header.size() == Scheme.size())
    return std::nullopt;
  const std::string_view Token = Header.substr(Scheme.size());
  if (matchesTokenHash(Token, Options_.BootstrapTokenHash_))
    return OperatorGrant{BootstrapOperator, Options_.BootstrapTokenHash_, "/"};
  for (const OperatorGrant &Grant : Follower_.replica().view()->Operators_)
    if (matchesTokenHash(Token, Grant.TokenHash_))
      return Grant;
  return std::nullopt;
}

void AdminApi::deny(const HttpRequest &Request, ErrorCode Code, const std::string &Operator,
                    const std::string &Detail, HttpResponder &Responder) const {
  Log_.log(LogEvent::AdminDenied, {{"error", static_cast<int>(Code)},
                                   {"operator", Operator},
                                   {"method", Request.Method_},
                                   {"path", Request.path()},
                                   {"detail", Detail}});
  sendError(Responder, Code, Detail);
}

void AdminApi::dispatch(const HttpRequest &Request, const OperatorGrant &Grant,
                        const HttpResponderPtr &Responder) {
  const std::string_view Path = Request.path();
  const bool Get = Request.Method_ == "GET";
  const bool Post = Request.Method_ == "POST";
  if (Get && Path == "/v1/endpoints")
    return sendJson(*Responder, 200, {{"endpoints", Endpoints_.endpoints()}});
  if (Get && Path == "/v1/settings/revision")
    return getRevision(Responder);
  if (!Follower_.ready())
    return sendError(*Responder, ErrorCode::NotReady, "the settings were not read yet");
  if (Get && Path == "/v1/settings")
    return getSettings(Request, Grant, Responder);
  if (Get && Path == "/v1/history")
    return getHistory(Request, Responder);
  if (Get && Path.starts_with("/v1/changes/"))
    return getChange(Request, Responder);
  if (Post && Path == "/v1/settings")
    return postSettings(Request, Grant, Responder);
  if (Post && Path == "/v1/validate")
    return postValidate(Request, Grant, Responder);
  if (Post && !drainEndpointId(Path).empty())
    return postDrain(Request, Grant, Responder);
  sendError(*Responder, ErrorCode::NoSuchResource,
            fmt::format("{} {}", Request.Method_, Request.path()));
}

void AdminApi::getSettings(const HttpRequest &Request, const OperatorGrant &Grant,
                           const HttpResponderPtr &Responder) const {
  const Result<SettingsPath> Path = queryPath(Request);
  if (!Path)
    return sendError(*Responder, Path.error().Code_, Path.error().Detail_);
  const SettingsLog &Log = Follower_.replica().log();
  // Operators see only that part of /operators which they may write.
  SettingsTree Shown;
  const SettingsPath Operators = *SettingsPath::parse("/operators");
  const SettingsPath Prefix = *SettingsPath::parse(Grant.Prefix_);
  std::vector<SettingsLeaf> Leaves = Log.tree().leaves(*Path);
  std::erase_if(Leaves, [&](const SettingsLeaf &Leaf) {
    return Leaf.Path_.isAtOrBelow(Operators) && !Leaf.Path_.isAtOrBelow(Prefix);
  });
  Shown.replace(*Path, Leaves);
  const NumberStyle Style =
      Request.query("numbers") == "exact" ? NumberStyle::Exact : NumberStyle::Plain;
  sendJson(*Responder, 200,
           {{"path", Path->str()},
            {"offset", Log.offset().value()},
            {"revision", Log.revision().value()},
            {"changed", Log.revisionOf(*Path).value()},
            {"value", json::parse(Shown.toJson(*Path, Style))}});
}

void AdminApi::getRevision(const HttpResponderPtr &Responder) const {
  const SettingsLog &Log = Follower_.replica().log();
  sendJson(*Responder, 200,
           {{"offset", Log.offset().value()},
            {"revision", Log.revision().value()},
            {"floor", Log.floor().value()},
            {"digest", fmt::format("{:016x}", Log.digest())},
            {"ready", Follower_.ready()},
            {"stopped_at_unknown_schema", Log.stopped()},
            {"platform_up", Follower_.platformUp()}});
}

void AdminApi::getHistory(const HttpRequest &Request, const HttpResponderPtr &Responder) const {
  const Result<SettingsPath> Path = queryPath(Request);
  if (!Path)
    return sendError(*Responder, Path.error().Code_, Path.error().Detail_);
  std::size_t Limit = DefaultHistory;
  if (const std::string_view Text = Request.query("limit"); !Text.empty()) {
    const auto [End, Failure] = std::from_chars(Text.data(), Text.data() + Text.size(), Limit);
    if (Failure != std::errc{} || End != Text.data() + Text.size() || Limit == 0 ||
        Limit > MaxHistory)
      return sendError(*Responder, ErrorCode::MalformedAdminRequest,
                       fmt::format("limit is not from 1 to {}", MaxHistory));
  }
  json::array Items;
  for (const SettingsDecision &Item : Follower_.history().find(*Path, Limit))
    Items.push_back(decisionFields(Item));
  sendJson(*Responder, 200, {{"decisions", std::move(Items)}});
}

void AdminApi::getChange(const HttpRequest &Request, const HttpResponderPtr &Responder) const {
  const std::string Id(Request.path().substr(std::string_view("/v1/changes/").size()));
  sendJson(*Responder, 200, outcomeFields(Follower_.findChange(ChangeId(Id))));
}

Result<SettingsChange> AdminApi::readChange(const HttpRequest &Request,
                                            const OperatorGrant &Grant) {
  boost::system::error_code Failure;
  json::value Body = json::parse(Request.Body_, Failure);
  if (Failure || !Body.is_object())
    return Error{ErrorCode::MalformedAdminRequest, "the body is not a JSON object"};
  json::object &Fields = Body.as_object();
  Fields["schema"] = SettingsSchema;
  Fields["kind"] = "change";
  Fields["author"] = Grant.Operator_.str();
  if (!Fields.contains("id"))
    Fields["id"] = newChangeId(Grant.Operator_);
  return parseChange(json::serialize(Fields));
}

bool AdminApi::mayWrite(const HttpRequest &Request, const OperatorGrant &Grant,
                        const SettingsChange &Change, const HttpResponderPtr &Responder) const {
  const SettingsPath Prefix = *SettingsPath::parse(Grant.Prefix_);
  for (const SettingsEdit &Edit : Change.Edits_) {
    if (Edit.Path_.isAtOrBelow(Prefix))
      continue;
    deny(Request, ErrorCode::Forbidden, Grant.Operator_.str(),
         fmt::format("{} lies outside {}", Edit.Path_.str(), Grant.Prefix_), *Responder);
    return false;
  }
  return true;
}

void AdminApi::postSettings(const HttpRequest &Request, const OperatorGrant &Grant,
                            const HttpResponderPtr &Responder) {
  const Result<SettingsChange> Change = readChange(Request, Grant);
  if (!Change)
    return sendError(*Responder, Change.error().Code_, Change.error().Detail_);
  if (mayWrite(Request, Grant, *Change, Responder))
    submit(*Change, Responder);
}

void AdminApi::submit(const SettingsChange &Change, const HttpResponderPtr &Responder) {
  Follower_.submit(Change, [&Log = Log_, Author = Change.Author_,
                            Responder](const SubmitOutcome &Outcome) {
    const bool Accepted = Outcome.State_ == SubmitOutcome::State::Accepted;
    if (Accepted)
      Log.log(LogEvent::AdminApplied, {{"operator", Author.str()},
                                       {"change", Outcome.Change_.str()},
                                       {"offset", Outcome.Offset_.value()}});
    sendJson(*Responder, Accepted ? 200 : statusOf(Outcome.Error_.Code_), outcomeFields(Outcome));
  });
}

void AdminApi::postValidate(const HttpRequest &Request, const OperatorGrant &Grant,
                            const HttpResponderPtr &Responder) {
  const Result<SettingsChange> Change = readChange(Request, Grant);
  if (!Change)
    return sendError(*Responder, Change.error().Code_, Change.error().Detail_);
  const SettingsDecision Outcome = Follower_.check(*Change);
  const bool Valid = Outcome.Kind_ == SettingsDecision::Kind::Accepted;
  json::object Fields;
  if (!Valid)
    Fields = errorFields(Outcome.Error_, Outcome.Detail_);
  Fields["state"] = Valid ? "valid" : "invalid";
  sendJson(*Responder, 200, Fields);
}

void AdminApi::postDrain(const HttpRequest &Request, const OperatorGrant &Grant,
                         const HttpResponderPtr &Responder) {
  boost::system::error_code Failure;
  const json::value Body =
      Request.Body_.empty() ? json::value(json::object()) : json::parse(Request.Body_, Failure);
  const json::value *Wanted =
      Failure || !Body.is_object() ? nullptr : Body.as_object().if_contains("drain");
  if (Failure || !Body.is_object() || (Wanted && !Wanted->is_bool()))
    return sendError(*Responder, ErrorCode::MalformedAdminRequest,
                     "the body is neither empty nor {\"drain\":true|false}");
  const std::string Id(drainEndpointId(Request.path()));
  const Result<SettingsPath> Path = SettingsPath::parse("/endpoints/" + Id + "/drain");
  if (!Path || Path->segments().size() != 3)
    return sendError(*Responder, ErrorCode::BadPath, Id);
  const bool Drain = !Wanted || Wanted->as_bool();
  SettingsChange Change;
  Change.Id_ = ChangeId(newChangeId(Grant.Operator_));
  Change.Author_ = Grant.Operator_;
  Change.Base_ = Follower_.replica().offset();
  Change.Edits_.push_back(
      {*Path, {{*Path, {SettingsValue::Type::Bool, Drain ? "true" : "false"}}}});
  if (!mayWrite(Request, Grant, Change, Responder))
    return;
  Log_.log(LogEvent::DrainOrdered, {{"operator", Grant.Operator_.str()},
                                    {"endpoint", Id},
                                    {"drain", Drain ? "true" : "false"},
                                    {"change", Change.Id_.str()}});
  submit(Change, Responder);
}

std::string AdminApi::newChangeId(const OperatorId &Author) {
  return fmt::format("{}-{:016x}{:016x}", Author.str(), Random_(), Random_());
}

} // namespace rattancart
