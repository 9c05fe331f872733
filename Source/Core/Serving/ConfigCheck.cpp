#include "Core/Serving/ConfigCheck.h"

#include "Core/Serving/ServingIndex.h"

#include <boost/uuid/name_generator_sha1.hpp>
#include <boost/uuid/uuid_io.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <set>
#include <utility>

namespace rattancart {

namespace {

constexpr std::array Table = {
#define RATTANCART_FINDING(Name, Code, Severity, Text)                                             \
  FindingInfo{FindingCode::Name, Code, FindingSeverity::Severity, Text},
#include "Core/Serving/ConfigFindings.def"
#undef RATTANCART_FINDING
};

/// The UUID namespace that separates the fingerprints of keys from the hashes of tokens.
constexpr boost::uuids::uuid FingerprintNamespace{{0x3a, 0x94, 0xc1, 0x7e, 0x02, 0x5d, 0x4f, 0x6b,
                                                   0xb1, 0x88, 0xd9, 0x40, 0x6c, 0x13, 0xf5, 0x2a}};
constexpr std::size_t FingerprintLength = 8;

std::string milliseconds(Duration Value) {
  return fmt::format("{} ms", std::chrono::duration<double, std::milli>(Value).count());
}

/// Whether the text contains a space or a control character, neither of which the HTTP parser
/// accepts in a path.
bool hasSpaceOrControl(std::string_view Text) {
  return std::any_of(Text.begin(), Text.end(),
                     [](unsigned char C) { return C <= 0x20 || C == 0x7f; });
}

/// The names that occur more than once, with their counts.
template <typename Range, typename NameOf>
std::map<std::string, std::size_t> repeatedNames(const Range &Entries, NameOf Name) {
  std::map<std::string, std::size_t> Counts;
  for (const auto &Entry : Entries)
    ++Counts[Name(Entry)];
  std::erase_if(Counts, [](const auto &Item) { return Item.second < 2; });
  return Counts;
}

/// Collects the findings about one configuration.
class Checker {
public:
  explicit Checker(const ServingConfig &Config) : Config_(Config) {
    for (const ServingService &Service : Config.Services_)
      Services_.insert(Service.Id_);
  }

  std::vector<ConfigFinding> run() {
    checkRoutes();
    checkServices();
    if (Config_.Customers_)
      checkCustomers(*Config_.Customers_);
    checkLimits(Config_.Limits_);
    return std::move(Findings_);
  }

private:
  void add(FindingCode Code, std::string Subject, std::string Detail = {}) {
    Findings_.push_back({Code, std::move(Subject), std::move(Detail)});
  }

  static std::string subjectOf(const ServingRoute &Route) { return "route " + Route.Id_.str(); }
  static std::string subjectOf(const ServingService &Service) {
    return "service " + Service.Id_.str();
  }
  static std::string subjectOf(const ServingCustomer &Customer) {
    return "customer " + Customer.Id_.str();
  }

  /// Reports each name that several entries have, except the empty one, which has its own finding.
  template <typename Entry>
  void checkNames(const std::vector<Entry> &Entries, FindingCode Code, std::string_view Word) {
    for (const auto &[Name, Count] :
         repeatedNames(Entries, [](const Entry &Each) { return Each.Id_.str(); }))
      if (!Name.empty())
        add(Code, fmt::format("{} {}", Word, Name), fmt::format("{} times", Count));
  }

  void checkRoutes() {
    if (Config_.Routes_.empty())
      add(FindingCode::NoRoutes, "routes");
    checkNames(Config_.Routes_, FindingCode::DuplicateRouteName, "route");
    for (const ServingRoute &Route : Config_.Routes_) {
      if (Route.Id_.empty())
        add(FindingCode::UnnamedRoute, subjectOf(Route), Route.Host_ + Route.PathPrefix_);
      checkMatch(Route);
      checkShares(Route);
      checkTimes(Route);
    }
  }

  void checkMatch(const ServingRoute &Route) {
    const std::string Subject = subjectOf(Route);
    const std::string Host = hostName(Route.Host_);
    const std::string &Prefix = Route.PathPrefix_;
    if (Host.empty())
      add(FindingCode::EmptyHost, Subject);
    if (hasSpaceOrControl(Host) || Host.find('/') != std::string::npos)
      add(FindingCode::InvalidHost, Subject, Route.Host_);
    if (!Prefix.starts_with('/'))
      add(FindingCode::PrefixWithoutFirstSlash, Subject, Prefix);
    if (!(Host + Prefix).ends_with('/'))
      add(FindingCode::PrefixWithoutLastSlash, Subject, Prefix);
    if (hasSpaceOrControl(Prefix) || Prefix.find('?') != std::string::npos)
      add(FindingCode::InvalidPrefix, Subject, Prefix);
    const auto [First, IsNew] = Matched_.emplace(Host + Prefix, &Route);
    if (IsNew)
      return;
    // The index joins host and prefix, so that other divisions of the same text are hidden too.
    const bool SameHost = hostName(First->second->Host_) == Host;
    add(SameHost ? FindingCode::DuplicateMatch : FindingCode::HiddenRoute, Subject,
        fmt::format("{} has {}{}", subjectOf(*First->second), Host, Prefix));
  }

  void checkShares(const ServingRoute &Route) {
    const std::string Subject = subjectOf(Route);
    if (Route.Services_.empty())
      return add(FindingCode::RouteWithoutService, Subject);
    bool HasPositive = false;
    for (const ServiceShare &Share : Route.Services_) {
      if (!Services_.contains(Share.Service_))
        add(FindingCode::UnknownService, Subject, "service " + Share.Service_.str());
      if (!std::isfinite(Share.Weight_) || Share.Weight_ < 0)
        add(FindingCode::InvalidWeight, Subject,
            fmt::format("service {}, weight {}", Share.Service_.str(), Share.Weight_));
      else if (Share.Weight_ > 0)
        HasPositive = true;
    }
    if (!HasPositive)
      add(FindingCode::NoPositiveWeight, Subject);
  }

  void checkTimes(const ServingRoute &Route) {
    const std::string Subject = subjectOf(Route);
    const auto Compare = [&](FindingCode Code, Duration Objective) {
      if (Objective > Route.Timeout_)
        add(Code, Subject,
            fmt::format("{} and {}", milliseconds(Objective), milliseconds(Route.Timeout_)));
    };
    if (Route.Timeout_ <= Duration::zero())
      add(FindingCode::TimeoutNotPositive, Subject, milliseconds(Route.Timeout_));
    Compare(FindingCode::ObjectiveAboveTimeout, Route.Objective_);
    // Calls have no pauses, and their pause objective has no effect.
    if (Route.Kind_ == RequestKind::Stream)
      Compare(FindingCode::PauseObjectiveAboveTimeout, Route.PauseObjective_);
    if (Route.MaxAttempts_ == 0)
      add(FindingCode::NoAttempts, Subject);
  }

  void checkServices() {
    checkNames(Config_.Services_, FindingCode::DuplicateServiceName, "service");
    std::set<ServiceId> Reached;
    for (const ServingRoute &Route : Config_.Routes_)
      for (const ServiceShare &Share : Route.Services_)
        if (Share.Weight_ > 0)
          Reached.insert(Share.Service_);
    for (const ServingService &Service : Config_.Services_) {
      if (Service.Id_.empty())
        add(FindingCode::UnnamedService, subjectOf(Service));
      if (!Reached.contains(Service.Id_))
        add(FindingCode::UnreachedService, subjectOf(Service));
      if (Service.Model_)
        checkModel(subjectOf(Service), *Service.Model_);
    }
  }

  void checkModel(const std::string &Subject, const LayeredModel &Model) {
    for (const auto &[Name, Count] :
         repeatedNames(Model.Kinds_, [](const EngineKind &Kind) { return Kind.Name_; }))
      add(FindingCode::DuplicateKindName, Subject, fmt::format("kind {}, {} times", Name, Count));
    if (Model.Layers_ == 0)
      add(FindingCode::ModelWithoutLayers, Subject);
    if (Model.Kinds_.empty())
      return add(FindingCode::ModelWithoutKind, Subject);
    const double Largest = std::max_element(Model.Kinds_.begin(), Model.Kinds_.end(),
                                            [](const EngineKind &Left, const EngineKind &Right) {
                                              return Left.MemoryMb_ < Right.MemoryMb_;
                                            })
                               ->MemoryMb_;
    if (Model.LayerMb_ > Largest)
      add(FindingCode::LayerTooLarge, Subject,
          fmt::format("{} MB and at most {} MB", Model.LayerMb_, Largest));
  }

  void checkCustomers(const std::vector<ServingCustomer> &Customers) {
    if (Customers.empty())
      add(FindingCode::NoCustomers, "customers");
    checkNames(Customers, FindingCode::DuplicateCustomerName, "customer");
    std::map<std::string, const ServingCustomer *> Holders;
    for (const ServingCustomer &Customer : Customers) {
      bool HasKey = false;
      for (const std::string &Key : Customer.Keys_) {
        // Requests without a key have the empty key, which admits nobody.
        if (Key.empty())
          continue;
        HasKey = true;
        const auto [First, IsNew] = Holders.emplace(Key, &Customer);
        if (!IsNew && First->second != &Customer)
          add(FindingCode::SharedKey, subjectOf(Customer),
              fmt::format("key {} of {}", keyFingerprint(Key), subjectOf(*First->second)));
      }
      if (!HasKey)
        add(FindingCode::CustomerWithoutKey, subjectOf(Customer));
    }
  }

  void checkLimits(const CallerLimits &Limits) {
    if (Limits.MaxHeaderBytes_ == 0)
      add(FindingCode::NoHeaderBytes, "limits");
    if (Limits.MaxBodyBytes_ == 0)
      add(FindingCode::NoBodyBytes, "limits");
    if (Limits.IdleTimeout_ < Limits.HeaderTimeout_)
      add(FindingCode::IdleBelowHeaderTimeout, "limits",
          fmt::format("{} and {}", milliseconds(Limits.IdleTimeout_),
                      milliseconds(Limits.HeaderTimeout_)));
  }

  const ServingConfig &Config_;
  std::set<ServiceId> Services_;
  std::vector<ConfigFinding> Findings_;
  /// The first route of each text of host and prefix.
  std::map<std::string, const ServingRoute *> Matched_;
};

} // namespace

std::span<const FindingInfo> findingTable() { return Table; }

const FindingInfo &findingInfo(FindingCode Code) { return Table[static_cast<std::size_t>(Code)]; }

std::string_view severityName(FindingSeverity Severity) {
  return Severity == FindingSeverity::Error ? "error" : "warning";
}

std::string ConfigFinding::text() const {
  const std::string_view Text = findingInfo(Code_).Text_;
  return Detail_.empty() ? std::string(Text) : fmt::format("{}: {}", Text, Detail_);
}

std::vector<ConfigFinding> checkConfig(const ServingConfig &Config) {
  return Checker(Config).run();
}

std::vector<ConfigFinding> checkSuccession(const ServingConfig &InForce,
                                           const ServingConfig &Next) {
  if (Next.Revision_ > InForce.Revision_)
    return {};
  return {{FindingCode::VersionNotIncreasing, "version",
           fmt::format("{} in force, {} in the file", InForce.Revision_.value(),
                       Next.Revision_.value())}};
}

void sortBySeverity(std::vector<ConfigFinding> &Findings) {
  std::stable_sort(Findings.begin(), Findings.end(),
                   [](const ConfigFinding &Left, const ConfigFinding &Right) {
                     return Left.severity() > Right.severity();
                   });
}

std::string keyFingerprint(std::string_view Key) {
  boost::uuids::name_generator_sha1 Generator(FingerprintNamespace);
  return boost::uuids::to_string(Generator(Key.data(), Key.size())).substr(0, FingerprintLength);
}

} // namespace rattancart
