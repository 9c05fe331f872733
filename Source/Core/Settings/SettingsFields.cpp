#include "Core/Settings/SettingsFields.h"

#include "Core/Settings/DurationText.h"

#include <fmt/format.h>

#include <charconv>
#include <utility>

namespace rattancart {

namespace {

using Type = SettingsValue::Type;

constexpr std::int64_t MaxPriority = 7;
constexpr std::int64_t MaxRetryPercent = 1000;
constexpr std::int64_t MaxLayers = 100000;
constexpr std::int64_t MaxCount = 1000000000;
constexpr std::size_t MaxTextLength = 1024;
constexpr double MaxRate = 1e12;

/// Reads the fields of a group one by one and reports invalid values. Fields that remain unread are
/// reported as unknown.
class FieldReader {
public:
  FieldReader(const LeafGroup &Group, std::vector<InvalidSetting> &Errors)
      : Group_(Group), Errors_(Errors), Taken_(Group.Leaves_.size()) {}

  void reportInvalid(std::string_view Name, std::string Expected) {
    const std::string Text =
        Name.empty() ? Group_.Path_.str() : Group_.Path_.childPrefix() + std::string(Name);
    const Result<SettingsPath> Path = SettingsPath::parse(Text);
    Errors_.push_back({Path ? *Path : Group_.Path_, ErrorCode::InvalidValue, std::move(Expected)});
  }

  const SettingsValue *take(std::string_view Name) {
    for (std::size_t I = 0; I < Group_.Leaves_.size(); ++I)
      if (Group_.Leaves_[I].Name_ == Name) {
        Taken_[I] = true;
        return &Group_.Leaves_[I].Value_;
      }
    return nullptr;
  }

  /// Reads a text. Returns whether the field exists and is valid.
  bool text(std::string_view Name, std::string &Out) {
    const SettingsValue *Value = take(Name);
    if (!Value)
      return false;
    // Integers are accepted because a version such as 3 is often written without quotes.
    const bool IsText = Value->Type_ == Type::Text || Value->Type_ == Type::Integer;
    if (!IsText || Value->Text_.empty() || Value->Text_.size() > MaxTextLength) {
      reportInvalid(Name, "a text of 1 to 1024 characters");
      return false;
    }
    Out = Value->Text_;
    return true;
  }

  void boolean(std::string_view Name, bool &Out) {
    const SettingsValue *Value = take(Name);
    if (Value && Value->Type_ != Type::Bool)
      reportInvalid(Name, "true or false");
    else if (Value)
      Out = Value->Text_ == "true";
  }

  /// Reads an integer. Returns whether the field exists, valid or not.
  template <typename T>
  bool integer(std::string_view Name, std::int64_t Low, std::int64_t High, T &Out) {
    const SettingsValue *Value = take(Name);
    if (!Value)
      return false;
    std::int64_t Number = 0;
    const char *End = Value->Text_.data() + Value->Text_.size();
    const bool IsInteger = Value->Type_ == Type::Integer &&
                           std::from_chars(Value->Text_.data(), End, Number).ec == std::errc{};
    if (!IsInteger || Number < Low || Number > High)
      reportInvalid(Name, fmt::format("a whole number from {} to {}", Low, High));
    else
      Out = static_cast<T>(Number);
    return true;
  }

  void number(std::string_view Name, bool MayBeZero, double &Out) {
    const SettingsValue *Value = take(Name);
    if (!Value)
      return;
    double Number = 0;
    std::from_chars(Value->Text_.data(), Value->Text_.data() + Value->Text_.size(), Number);
    const bool IsNumber = Value->Type_ == Type::Integer || Value->Type_ == Type::Number;
    if (!IsNumber || Number < 0 || Number > MaxRate || (Number == 0 && !MayBeZero))
      reportInvalid(Name, MayBeZero ? "a number from 0 to 1e12" : "a number above 0 up to 1e12");
    else
      Out = Number;
  }

  void duration(std::string_view Name, Duration Min, Duration &Out) {
    std::string Text;
    if (!text(Name, Text))
      return;
    const Result<Duration> Parsed = durationFromText(Text);
    if (!Parsed || *Parsed < Min)
      reportInvalid(
          Name, fmt::format("a duration with a unit (us, ms, s, m, h) of at least {} ms",
                            std::chrono::duration_cast<std::chrono::milliseconds>(Min).count()));
    else
      Out = *Parsed;
  }

  template <typename T>
  void choice(std::string_view Name, std::initializer_list<std::pair<std::string_view, T>> Choices,
              T &Out) {
    const SettingsValue *Value = take(Name);
    if (!Value)
      return;
    std::string Names;
    for (const auto &[Label, Meaning] : Choices) {
      if (Value->Type_ == Type::Text && Value->Text_ == Label) {
        Out = Meaning;
        return;
      }
      Names += Names.empty() ? std::string(Label) : " or " + std::string(Label);
    }
    reportInvalid(Name, Names);
  }

  void reportUnknownFields(std::string_view KnownFields) {
    for (std::size_t I = 0; I < Taken_.size(); ++I)
      if (!Taken_[I])
        reportInvalid(Group_.Leaves_[I].Name_, Group_.Leaves_[I].Name_.empty()
                                                   ? fmt::format("an object with {}", KnownFields)
                                                   : fmt::format("only {}", KnownFields));
  }

  std::string segment(std::size_t Index) const {
    return std::string(Group_.Path_.segments()[Index]);
  }

private:
  const LeafGroup &Group_;
  std::vector<InvalidSetting> &Errors_;
  std::vector<bool> Taken_;
};

void readTarget(FieldReader &Fields, Route &Out) {
  std::string Model;
  std::string Version;
  std::string Service;
  const bool HasModel = Fields.text("model", Model);
  const bool HasVersion = Fields.text("version", Version);
  const bool HasService = Fields.text("service", Service);
  if (HasModel == HasService)
    Fields.reportInvalid("", "exactly one of model and service");
  if (HasModel && !HasVersion)
    Fields.reportInvalid("version", "the model's version, as a text");
  if (!HasModel && HasVersion)
    Fields.reportInvalid("version", "no version without a model");
  if (HasModel)
    Out.Model_ = ModelId(Model);
  if (HasService)
    Out.Service_ = ServiceId(Service);
  Out.Version_ = ModelVersion(Version);
}

void readKey(FieldReader &Fields, Route &Out) {
  std::string Header;
  std::string Pointer;
  const bool HasHeader = Fields.text("key/header", Header);
  const bool HasPointer = Fields.text("key/pointer", Pointer);
  if (HasHeader && HasPointer)
    Fields.reportInvalid("key", "one of header and pointer");
  if (HasPointer && Pointer.front() != '/')
    Fields.reportInvalid("key/pointer", "a JSON pointer such as /order/id");
  if ((HasHeader || HasPointer) && Out.Safety_ != CallSafety::AtMostOnce)
    Fields.reportInvalid("key", "no key unless safety is at-most-once");
  if (HasHeader)
    Out.KeySource_ = KeySource::Header;
  else if (HasPointer)
    Out.KeySource_ = KeySource::JsonPointer;
  Out.KeyName_ = HasHeader ? Header : Pointer;
}

SettingsEntity readRoute(FieldReader &Fields) {
  Route Out;
  Out.Team_ = TeamId(Fields.segment(1));
  Out.Id_ = RouteId(Fields.segment(3));
  Fields.text("match/host", Out.Match_.Host_);
  Fields.text("match/method", Out.Match_.Method_);
  if (!Fields.text("match/path", Out.Match_.PathPrefix_) || Out.Match_.PathPrefix_.front() != '/')
    Fields.reportInvalid("match/path", "the path's beginning, with a leading slash");
  readTarget(Fields, Out);
  Fields.text("customer-header", Out.CustomerHeader_);
  std::uint8_t Priority = Out.Priority_.value();
  Fields.integer("priority", 0, MaxPriority, Priority);
  Out.Priority_ = PriorityClass(Priority);
  Fields.choice("delivery", {{"whole", Delivery::Whole}, {"stream", Delivery::Stream}},
                Out.Delivery_);
  Fields.choice("safety",
                {{"safe", CallSafety::Safe},
                 {"idempotent", CallSafety::Idempotent},
                 {"at-most-once", CallSafety::AtMostOnce}},
                Out.Safety_);
  readKey(Fields, Out);
  Fields.duration("timeout", std::chrono::milliseconds(1), Out.Timeout_);
  Fields.integer("retry-percent", 0, MaxRetryPercent, Out.RetryPercent_);
  Fields.reportUnknownFields("match, model, version, service, customer-header, priority, delivery, "
                             "safety, key, timeout, retry-percent");
  return std::make_shared<const Route>(std::move(Out));
}

SettingsEntity readLimit(FieldReader &Fields) {
  CustomerLimit Out;
  Fields.number("requests-per-second", true, Out.RequestsPerSecond_);
  Fields.number("tokens-per-second", true, Out.TokensPerSecond_);
  Fields.integer("concurrent", 0, MaxCount, Out.Concurrent_);
  Fields.number("weight", false, Out.Weight_);
  Fields.reportUnknownFields("requests-per-second, tokens-per-second, concurrent, weight");
  return Out;
}

SettingsEntity readModel(FieldReader &Fields) {
  ModelSpec Out;
  Out.Model_ = ModelId(Fields.segment(3));
  Out.Version_ = ModelVersion(Fields.segment(4));
  if (!Fields.integer("layer-count", 1, MaxLayers, Out.LayerCount_))
    Fields.reportInvalid("layer-count", "the number of the model's layers");
  Fields.integer("activation-bytes", 0, MaxCount, Out.ActivationBytes_);
  Fields.integer("max-tokens", 1, MaxCount, Out.MaxTokens_);
  Fields.reportUnknownFields("layer-count, activation-bytes, max-tokens");
  return std::make_shared<const ModelSpec>(std::move(Out));
}

SettingsEntity readService(FieldReader &Fields) {
  ServiceTraits Out;
  Out.Service_ = ServiceId(Fields.segment(3));
  Fields.boolean("checks-fencing", Out.ChecksFencing_);
  Fields.boolean("deduplicates", Out.Deduplicates_);
  Fields.duration("dedup-window", std::chrono::minutes(1), Out.DedupWindow_);
  Fields.reportUnknownFields("checks-fencing, deduplicates, dedup-window");
  return std::make_shared<const ServiceTraits>(std::move(Out));
}

SettingsEntity readOperator(FieldReader &Fields) {
  OperatorGrant Out;
  Out.Operator_ = OperatorId(Fields.segment(1));
  if (!Fields.text("token-hash", Out.TokenHash_) || Out.TokenHash_.size() != TokenHashLength)
    Fields.reportInvalid("token-hash", "the 36 characters that rattancartctl hash-token prints");
  if (!Fields.text("prefix", Out.Prefix_) || !SettingsPath::parse(Out.Prefix_))
    Fields.reportInvalid("prefix", "a settings path");
  if (Out.Operator_ == BootstrapOperator)
    Fields.reportInvalid("", "another name; this one is reserved for the process settings");
  Fields.reportUnknownFields("token-hash, prefix");
  return std::make_shared<const OperatorGrant>(std::move(Out));
}

SettingsEntity readEndpoint(FieldReader &Fields) {
  bool Drained = false;
  Fields.boolean("drain", Drained);
  Fields.reportUnknownFields("drain");
  return Drained;
}

} // namespace

SettingsGroup findGroup(const std::vector<std::string_view> &Segments) {
  struct Row {
    std::string_view Top_;
    std::string_view Group_;
    SettingsGroup MatchedGroup_;
  };
  static constexpr Row Rows[] = {
      {"teams", "routes", {SettingsGroupKind::Route, 4}},
      {"teams", "limits", {SettingsGroupKind::Limit, 4}},
      {"teams", "models", {SettingsGroupKind::Model, 5}},
      {"teams", "services", {SettingsGroupKind::Service, 4}},
      {"defaults", "limit", {SettingsGroupKind::DefaultLimit, 2}},
      {"operators", "", {SettingsGroupKind::Operator, 2}},
      {"endpoints", "", {SettingsGroupKind::Endpoint, 2}},
  };
  if (Segments.empty())
    return {};
  bool KnownTop = false;
  for (const Row &Entry : Rows) {
    if (Entry.Top_ != Segments[0])
      continue;
    KnownTop = true;
    const std::size_t GroupIndex = Entry.Top_ == "teams" ? 2 : 1;
    if (Segments.size() <= GroupIndex)
      return {};
    if (Entry.Group_.empty() || Segments[GroupIndex] == Entry.Group_)
      return Segments.size() < Entry.MatchedGroup_.Depth_ ? SettingsGroup{} : Entry.MatchedGroup_;
  }
  // Below a team an unknown group is named by the third segment, elsewhere by the first.
  return {SettingsGroupKind::Unknown, KnownTop && Segments[0] == "teams" ? 3UL : 1UL};
}

std::optional<SettingsEntity> readGroup(const LeafGroup &Group,
                                        std::vector<InvalidSetting> &Errors) {
  FieldReader Fields(Group, Errors);
  const bool IsScalar = !Group.Leaves_.empty() && Group.Leaves_.front().Name_.empty();
  if (IsScalar && Group.Kind_ != SettingsGroupKind::Unknown) {
    Fields.reportInvalid("", "an object");
    return std::nullopt;
  }
  switch (Group.Kind_) {
  case SettingsGroupKind::Route:
    return readRoute(Fields);
  case SettingsGroupKind::Limit:
  case SettingsGroupKind::DefaultLimit:
    return readLimit(Fields);
  case SettingsGroupKind::Model:
    return readModel(Fields);
  case SettingsGroupKind::Service:
    return readService(Fields);
  case SettingsGroupKind::Operator:
    return readOperator(Fields);
  case SettingsGroupKind::Endpoint:
    return readEndpoint(Fields);
  case SettingsGroupKind::Unknown:
    break;
  }
  Errors.push_back({Group.Path_, ErrorCode::InvalidValue,
                    "a path that docs/SETTINGS.md lists; there is no such setting"});
  return std::nullopt;
}

} // namespace rattancart
