#include "Ctl/CtlCommands.h"

#include "Core/Common/ErrorCode.h"
#include "Core/Settings/SettingsDiff.h"
#include "Core/Settings/SettingsView.h"
#include "Ctl/SettingsFile.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <ostream>
#include <random>
#include <thread>
#include <utility>

namespace rattancart {

namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds PollInterval{200};

void appendPrettyJson(const json::value &Value, std::size_t Depth, std::string &Out) {
  const std::string Indent(2 * (Depth + 1), ' ');
  const bool IsObject = Value.is_object() && !Value.as_object().empty();
  const bool IsArray = Value.is_array() && !Value.as_array().empty();
  if (!IsObject && !IsArray) {
    Out += json::serialize(Value);
    return;
  }
  Out += IsObject ? "{\n" : "[\n";
  bool First = true;
  const auto Separate = [&] {
    if (!std::exchange(First, false))
      Out += ",\n";
    Out += Indent;
  };
  if (IsObject)
    for (const auto &Member : Value.as_object()) {
      Separate();
      Out += json::serialize(json::string(Member.key())) + ": ";
      appendPrettyJson(Member.value(), Depth + 1, Out);
    }
  else
    for (const json::value &Item : Value.as_array()) {
      Separate();
      appendPrettyJson(Item, Depth + 1, Out);
    }
  Out += "\n" + std::string(2 * Depth, ' ') + (IsObject ? "}" : "]");
}

/// Whether a text can be used as a segment of a request's target without escaping.
bool isTargetSegment(std::string_view Text) {
  return !Text.empty() && std::none_of(Text.begin(), Text.end(), [](unsigned char C) {
    return C <= ' ' || C >= 0x7f ||
           std::string_view("/?#%").find(static_cast<char>(C)) != std::string_view::npos;
  });
}

std::string newChangeId() {
  std::random_device Device;
  std::uniform_int_distribution<std::uint64_t> Draw;
  return fmt::format("ctl-{:016x}{:016x}", Draw(Device), Draw(Device));
}

std::string textOf(const json::object &Fields, std::string_view Name) {
  const json::value *Value = Fields.if_contains(Name);
  return Value && Value->is_string() ? std::string(Value->as_string()) : std::string();
}

std::int64_t numberOf(const json::object &Fields, std::string_view Name) {
  const json::value *Value = Fields.if_contains(Name);
  return Value && Value->is_int64() ? Value->as_int64() : 0;
}

std::string formatEdit(const SettingsEdit &Edit) {
  if (Edit.Leaves_.empty())
    return fmt::format("- {}\n", Edit.Path_.str());
  SettingsTree Tree;
  Tree.replace(Edit.Path_, Edit.Leaves_);
  return fmt::format("+ {} = {}\n", Edit.Path_.str(), Tree.toJson(Edit.Path_, NumberStyle::Plain));
}

} // namespace

struct CtlCommands::PlannedChange {
  SettingsChange Change_;
};

std::string prettyJson(const json::value &Value) {
  std::string Out;
  appendPrettyJson(Value, 0, Out);
  return Out + "\n";
}

int validateFile(const std::string &File, std::ostream &Out, std::ostream &Errors) {
  SettingsFaults Faults;
  const SettingsFile Loaded = loadSettingsFile(File, Faults);
  for (const SettingsFault &Fault : Faults)
    Errors << formatFault(Fault) << '\n';
  if (!Faults.empty())
    return errorInfo(Faults.front().Code_).ExitCode_;
  Out << fmt::format("{}: {} values are valid\n", File, Loaded.Tree_.size());
  return 0;
}

int CtlCommands::reportError(const std::error_code &Code, const std::string &Detail) {
  const ErrorInfo &Info = errorInfo(static_cast<ErrorCode>(Code.value()));
  if (Options_.Json_)
    Out_ << json::serialize(json::object{
                {"error", Code.value()}, {"message", Code.message()}, {"detail", Detail}})
         << '\n';
  else
    Errors_ << fmt::format("error {}: {}: {}\n", Code.value(), Code.message(), Detail);
  return Info.ExitCode_;
}

int CtlCommands::printAnswer(const CtlAnswer &Answer) {
  if (Answer.Error_)
    return reportError(Answer.Error_, Answer.Detail_);
  Out_ << (Options_.Json_ ? json::serialize(Answer.Body_) + "\n" : prettyJson(Answer.Body_));
  return 0;
}

int CtlCommands::get(const std::string &Path) {
  const Result<SettingsPath> Root = SettingsPath::parse(Path);
  if (!Root)
    return reportError(Root.error().Code_, Root.error().Detail_);
  const CtlAnswer Answer = Client_.send("GET", "/v1/settings?numbers=exact&path=" + Path);
  if (Answer.Error_ || Options_.Json_)
    return printAnswer(Answer);
  const Result<std::vector<SettingsLeaf>> Leaves =
      leavesFromJson(*Root, json::serialize(Answer.Body_.at("value")), NumberStyle::Exact);
  if (!Leaves)
    return reportError(Leaves.error().Code_, Leaves.error().Detail_);
  SettingsTree Tree;
  Tree.replace(*Root, *Leaves);
  Out_ << settingsYaml(Tree, *Root);
  return 0;
}

int CtlCommands::planChange(const std::string &File, PlannedChange &Out) {
  SettingsFaults Faults;
  const SettingsFile Wanted = loadSettingsFile(File, Faults);
  for (const SettingsFault &Fault : Faults)
    Errors_ << formatFault(Fault) << '\n';
  if (!Faults.empty())
    return errorInfo(Faults.front().Code_).ExitCode_;
  const CtlAnswer Answer = Client_.send("GET", "/v1/settings?numbers=exact&path=/");
  if (Answer.Error_)
    return reportError(Answer.Error_, Answer.Detail_);
  if (!Answer.Body_.is_object() || !Answer.Body_.as_object().contains("value"))
    return reportError(ErrorCode::MalformedResponse, "the answer has no settings");
  const json::object &Fields = Answer.Body_.as_object();
  const Result<std::vector<SettingsLeaf>> Leaves =
      leavesFromJson({}, json::serialize(Fields.at("value")), NumberStyle::Exact);
  if (!Leaves)
    return reportError(Leaves.error().Code_, Leaves.error().Detail_);
  SettingsTree Present;
  Present.replace({}, *Leaves);
  Out.Change_.Id_ = ChangeId(newChangeId());
  Out.Change_.Author_ = BootstrapOperator;
  Out.Change_.Base_ = LogOffset(numberOf(Fields, "offset"));
  Out.Change_.Edits_ = diffSettings(Present, Wanted.Tree_, Wanted.Scopes_);
  return 0;
}

int CtlCommands::diff(const std::string &File) {
  PlannedChange Planned;
  if (const int Exit = planChange(File, Planned))
    return Exit;
  if (Options_.Json_) {
    json::value Change = Planned.Change_.Edits_.empty()
                             ? json::value(json::object{})
                             : json::parse(formatChange(Planned.Change_));
    json::object Shown{{"base", Planned.Change_.Base_.value()}};
    const json::value *Edits = Change.as_object().if_contains("edits");
    Shown["edits"] = Edits ? *Edits : json::value(json::array{});
    Out_ << json::serialize(Shown) << '\n';
    return 0;
  }
  for (const SettingsEdit &Edit : Planned.Change_.Edits_)
    Out_ << formatEdit(Edit);
  return 0;
}

int CtlCommands::apply(const std::string &File) {
  PlannedChange Planned;
  if (const int Exit = planChange(File, Planned))
    return Exit;
  if (Planned.Change_.Edits_.empty()) {
    Out_ << (Options_.Json_ ? "{\"state\":\"unchanged\"}\n" : "unchanged\n");
    return 0;
  }
  // The control replaces the author by the operator whose token it is.
  return awaitDecision(Planned.Change_.Id_.str(),
                       Client_.send("POST", "/v1/settings", formatChange(Planned.Change_)));
}

int CtlCommands::drain(const std::string &Endpoint, bool Undo) {
  if (!isTargetSegment(Endpoint))
    return reportError(ErrorCode::Usage, "not an endpoint id: " + Endpoint);
  const std::string Body = Undo ? R"({"drain":false})" : R"({"drain":true})";
  const CtlAnswer Answer = Client_.send("POST", "/v1/endpoints/" + Endpoint + "/drain", Body);
  const std::string Id = Answer.Body_.is_object() ? textOf(Answer.Body_.as_object(), "id") : "";
  return awaitDecision(Id, Answer);
}

int CtlCommands::change(const std::string &Id) {
  if (!isTargetSegment(Id))
    return reportError(ErrorCode::Usage, "not a change id: " + Id);
  const CtlAnswer Answer = Client_.send("GET", "/v1/changes/" + Id);
  if (Answer.Error_ || !Answer.Body_.is_object())
    return reportError(Answer.Error_, Answer.Detail_);
  return reportChange(Answer.Body_.as_object());
}

int CtlCommands::awaitDecision(const std::string &Id, CtlAnswer Answer) {
  const auto IsUnknown = [](const CtlAnswer &Found) {
    return Found.Body_.is_object() && textOf(Found.Body_.as_object(), "state") == "unknown";
  };
  const auto GiveUpAt = std::chrono::steady_clock::now() + Options_.UnknownOutcomeTimeout_;
  const bool WasOutcomeUnknown = !Id.empty() && (Answer.MayHaveTakenEffect_ || IsUnknown(Answer));
  while (WasOutcomeUnknown && (!Answer.Answered_ || IsUnknown(Answer)) &&
         std::chrono::steady_clock::now() < GiveUpAt) {
    std::this_thread::sleep_for(PollInterval);
    for (const NetAddress &Address : Client_.controls()) {
      Answer = Client_.sendTo(Address, "GET", "/v1/changes/" + Id);
      if (Answer.Answered_ && !IsUnknown(Answer))
        break;
    }
  }
  if (WasOutcomeUnknown && !Answer.Answered_)
    return reportError(ErrorCode::ChangeUnknown, "change " + Id);
  if (!Answer.Body_.is_object() || !Answer.Body_.as_object().contains("state"))
    return reportError(Answer.Error_, Answer.Detail_);
  return reportChange(Answer.Body_.as_object());
}

int CtlCommands::reportChange(const json::object &Fields) {
  const std::string State = textOf(Fields, "state");
  const std::int64_t Number = numberOf(Fields, "error");
  const std::int64_t Revision = numberOf(Fields, "revision");
  if (State == "accepted" && !waitForRevision(Revision))
    Errors_ << fmt::format("not every control has revision {} yet\n", Revision);
  if (Options_.Json_)
    Out_ << json::serialize(Fields) << '\n';
  else if (State == "accepted")
    Out_ << fmt::format("accepted: revision {} (change {})\n", Revision, textOf(Fields, "id"));
  else
    Errors_ << fmt::format("{}: error {}: {}: {} (change {})\n", State, Number,
                           textOf(Fields, "message"), textOf(Fields, "detail"),
                           textOf(Fields, "id"));
  return State == "accepted" ? 0 : errorInfo(static_cast<ErrorCode>(Number)).ExitCode_;
}

bool CtlCommands::hasRevision(const NetAddress &Address, std::int64_t Revision) {
  const CtlAnswer Answer = Client_.sendTo(Address, "GET", "/v1/settings/revision");
  return !Answer.Error_ && Answer.Body_.is_object() &&
         numberOf(Answer.Body_.as_object(), "offset") >= Revision;
}

bool CtlCommands::waitForRevision(std::int64_t Revision) {
  if (Options_.Wait_ == std::chrono::seconds(0))
    return true;
  const auto GiveUpAt = std::chrono::steady_clock::now() + Options_.Wait_;
  for (const NetAddress &Address : Client_.controls())
    while (!hasRevision(Address, Revision)) {
      if (std::chrono::steady_clock::now() >= GiveUpAt)
        return false;
      std::this_thread::sleep_for(PollInterval);
    }
  return true;
}

int CtlCommands::history(const std::string &Path, std::uint32_t Limit) {
  if (const Result<SettingsPath> Root = SettingsPath::parse(Path); !Root)
    return reportError(Root.error().Code_, Root.error().Detail_);
  const CtlAnswer Answer =
      Client_.send("GET", fmt::format("/v1/history?path={}&limit={}", Path, Limit));
  if (Answer.Error_ || Options_.Json_ || !Answer.Body_.is_object() ||
      !Answer.Body_.as_object().contains("decisions"))
    return printAnswer(Answer);
  for (const json::value &Item : Answer.Body_.at("decisions").as_array()) {
    const json::object &Fields = Item.as_object();
    Out_ << fmt::format("{} {} {} by {}: {}", numberOf(Fields, "offset"), textOf(Fields, "state"),
                        textOf(Fields, "id"), textOf(Fields, "author"),
                        json::serialize(Fields.at("paths")));
    if (numberOf(Fields, "error") != 0)
      Out_ << fmt::format(" error {}: {}", numberOf(Fields, "error"), textOf(Fields, "detail"));
    Out_ << '\n';
  }
  return 0;
}

int CtlCommands::state(const NetAddress &Address) {
  return printAnswer(Client_.sendTo(Address, "GET", "/v1/state"));
}

int CtlCommands::endpoints() { return printAnswer(Client_.send("GET", "/v1/endpoints")); }

} // namespace rattancart
