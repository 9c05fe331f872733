#include "Core/Serving/ConfigDiff.h"

#include "Core/Serving/ConfigCheck.h"

#include <fmt/format.h>

#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace rattancart {

namespace {

/// A field of an entry as text.
struct Field {
  /// What the field is found by in the other configuration. It contains a whole key, so that
  /// different keys with equal fingerprints differ; it must not be shown.
  std::string Identity_;
  std::string Name_;
  std::string Value_;
};

/// A route, service, customer or the limits, as text.
struct Entry {
  std::string Subject_;
  std::vector<Field> Fields_;

  void add(std::string Name, std::string Value) {
    Fields_.push_back({Name, std::move(Name), std::move(Value)});
  }
};

std::string text(bool Value) { return Value ? "yes" : "no"; }
std::string text(double Value) { return fmt::format("{}", Value); }
std::string text(std::uint64_t Value) { return fmt::format("{}", Value); }
std::string text(std::uint32_t Value) { return fmt::format("{}", Value); }
std::string text(Duration Value) {
  return fmt::format("{} ms", std::chrono::duration<double, std::milli>(Value).count());
}
std::string text(RequestKind Kind) {
  switch (Kind) {
  case RequestKind::Idempotent:
    return "idempotent";
  case RequestKind::OnceOnly:
    return "once only";
  case RequestKind::Stream:
    break;
  }
  return "stream";
}

Entry describe(const ServingRoute &Route) {
  Entry Described{"route " + Route.Id_.str(), {}};
  Described.add("host", Route.Host_);
  Described.add("path prefix", Route.PathPrefix_);
  Described.add("kind", text(Route.Kind_));
  for (const ServiceShare &Share : Route.Services_)
    Described.add("weight of " + Share.Service_.str(), text(Share.Weight_));
  Described.add("timeout", text(Route.Timeout_));
  Described.add("objective", text(Route.Objective_));
  Described.add("pause objective", text(Route.PauseObjective_));
  Described.add("priority", text(Route.Priority_));
  Described.add("attempts", text(Route.MaxAttempts_));
  Described.add("public", text(Route.Public_));
  Described.add("resumable", text(Route.Resumable_));
  return Described;
}

void describeModel(const LayeredModel &Model, Entry &Described) {
  Described.add("model", Model.Id_.str());
  Described.add("layers", text(Model.Layers_));
  Described.add("layer MB", text(Model.LayerMb_));
  Described.add("token bytes", text(Model.TokenBytes_));
  Described.add("load time", text(Model.LoadTime_));
  Described.add("concurrent loads", text(Model.ConcurrentLoads_));
  Described.add("step", text(Model.Step_));
  Described.add("step per sequence", text(Model.StepPerSequence_));
  Described.add("step per thousand tokens", text(Model.StepPerThousandTokens_));
  Described.add("prompt tokens per second", text(Model.PromptTokensPerSecond_));
  Described.add("mean prompt tokens", text(Model.MeanPromptTokens_));
  Described.add("mean answer tokens", text(Model.MeanAnswerTokens_));
  for (const EngineKind &Kind : Model.Kinds_)
    Described.add("kind " + Kind.Name_,
                  fmt::format("{} MB, step factor {}, prefill factor {}", Kind.MemoryMb_,
                              Kind.StepFactor_, Kind.PrefillFactor_));
}

Entry describe(const ServingService &Service) {
  Entry Described{"service " + Service.Id_.str(), {}};
  Described.add("connections", text(Service.MaxConnections_));
  if (Service.Model_)
    describeModel(*Service.Model_, Described);
  return Described;
}

Entry describe(const ServingCustomer &Customer) {
  Entry Described{"customer " + Customer.Id_.str(), {}};
  for (const std::string &Key : Customer.Keys_)
    Described.Fields_.push_back({"key " + Key, "key " + keyFingerprint(Key), "held"});
  if (Customer.Priority_)
    Described.add("priority", text(*Customer.Priority_));
  return Described;
}

Entry describe(const CallerLimits &Limits) {
  Entry Described{"limits", {}};
  Described.add("header bytes", text(Limits.MaxHeaderBytes_));
  Described.add("body bytes", text(Limits.MaxBodyBytes_));
  Described.add("header timeout", text(Limits.HeaderTimeout_));
  Described.add("idle timeout", text(Limits.IdleTimeout_));
  return Described;
}

/// Numbers repeated texts, so that each one finds its counterpart in the other configuration.
template <typename Item> void numberRepeated(std::vector<Item> &Items, std::string Item::*Text) {
  std::unordered_set<std::string> Seen;
  // The last number of each text, so that many equal texts take linear time.
  std::unordered_map<std::string, unsigned> Numbers;
  for (Item &Each : Items) {
    const std::string Plain = Each.*Text;
    while (!Seen.insert(Each.*Text).second) {
      unsigned &Number = Numbers.try_emplace(Plain, 1).first->second;
      Each.*Text = fmt::format("{} ({})", Plain, ++Number);
    }
  }
}

/// All entries of a configuration, in the order in which they are reported.
std::vector<Entry> describe(const ServingConfig &Config) {
  std::vector<Entry> Entries;
  Entry General{"configuration", {}};
  General.add("version", text(Config.Revision_.value()));
  General.add("customers listed", text(Config.Customers_.has_value()));
  Entries.push_back(std::move(General));
  Entries.push_back(describe(Config.Limits_));
  for (const ServingRoute &Route : Config.Routes_)
    Entries.push_back(describe(Route));
  for (const ServingService &Service : Config.Services_)
    Entries.push_back(describe(Service));
  if (Config.Customers_)
    for (const ServingCustomer &Customer : *Config.Customers_)
      Entries.push_back(describe(Customer));
  numberRepeated(Entries, &Entry::Subject_);
  for (Entry &Each : Entries) {
    numberRepeated(Each.Fields_, &Field::Identity_);
    numberRepeated(Each.Fields_, &Field::Name_);
  }
  return Entries;
}

std::string summary(const Entry &Described) {
  std::string Text;
  for (const Field &Each : Described.Fields_)
    Text += fmt::format("{}{}: {}", Text.empty() ? "" : "; ", Each.Name_, Each.Value_);
  return Text;
}

/// Finds items by one of their texts.
template <typename Item> class TextIndex {
public:
  TextIndex(const std::vector<Item> &Items, std::string Item::*Text) : Text_(Text) {
    for (const Item &Each : Items)
      Items_.emplace(Each.*Text, &Each);
  }

  /// The item with the same text, or null.
  const Item *find(const Item &Like) const {
    const auto Found = Items_.find(Like.*Text_);
    return Found == Items_.end() ? nullptr : Found->second;
  }

private:
  std::string Item::*Text_;
  std::unordered_map<std::string_view, const Item *> Items_;
};

void diffFields(const Entry &Before, const Entry &After, std::vector<ConfigDifference> &Out) {
  const TextIndex OldFields(Before.Fields_, &Field::Identity_);
  const TextIndex NewFields(After.Fields_, &Field::Identity_);
  for (const Field &Old : Before.Fields_) {
    const Field *New = NewFields.find(Old);
    if (!New)
      Out.push_back(
          {DifferenceKind::Removed, Before.Subject_, Old.Name_, Old.Value_, std::nullopt});
    else if (New->Value_ != Old.Value_)
      Out.push_back({DifferenceKind::Changed, Before.Subject_, Old.Name_, Old.Value_, New->Value_});
  }
  for (const Field &New : After.Fields_)
    if (!OldFields.find(New))
      Out.push_back({DifferenceKind::Added, Before.Subject_, New.Name_, std::nullopt, New.Value_});
}

} // namespace

std::string_view differenceName(DifferenceKind Kind) {
  switch (Kind) {
  case DifferenceKind::Added:
    return "added";
  case DifferenceKind::Removed:
    return "removed";
  case DifferenceKind::Changed:
    break;
  }
  return "changed";
}

std::vector<ConfigDifference> diffConfigs(const ServingConfig &Before, const ServingConfig &After) {
  const std::vector<Entry> OldEntries = describe(Before);
  const std::vector<Entry> NewEntries = describe(After);
  const TextIndex OldIndex(OldEntries, &Entry::Subject_);
  const TextIndex NewIndex(NewEntries, &Entry::Subject_);
  std::vector<ConfigDifference> Differences;
  for (const Entry &Old : OldEntries) {
    if (const Entry *New = NewIndex.find(Old))
      diffFields(Old, *New, Differences);
    else
      Differences.push_back(
          {DifferenceKind::Removed, Old.Subject_, {}, summary(Old), std::nullopt});
  }
  for (const Entry &New : NewEntries)
    if (!OldIndex.find(New))
      Differences.push_back({DifferenceKind::Added, New.Subject_, {}, std::nullopt, summary(New)});
  return Differences;
}

} // namespace rattancart
