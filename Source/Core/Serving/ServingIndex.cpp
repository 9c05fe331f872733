#include "Core/Serving/ServingIndex.h"

#include <algorithm>
#include <cctype>
#include <set>

namespace rattancart {

std::string hostName(std::string_view Host) {
  std::string Name(Host.substr(0, Host.find(':')));
  std::transform(Name.begin(), Name.end(), Name.begin(),
                 [](unsigned char C) { return static_cast<char>(std::tolower(C)); });
  return Name;
}

ServingIndex::ServingIndex(ServingConfig Config) : Config_(std::move(Config)) {
  for (const ServingRoute &Route : Config_.Routes_)
    Routes_.emplace(hostName(Route.Host_) + Route.PathPrefix_, &Route);
  if (Config_.Customers_)
    for (const ServingCustomer &Customer : *Config_.Customers_)
      for (const std::string &Key : Customer.Keys_)
        Keys_.emplace(Key, &Customer);
  // Requests without a key are looked up by the empty key.
  Keys_.erase("");
  for (const ServingService &Service : Config_.Services_)
    Services_.emplace(Service.Id_, &Service);
  for (const ServingService &Service : Config_.Services_)
    if (auto Classes = streamClasses(Service.Id_); !Classes.empty())
      Classes_.emplace(Service.Id_, std::move(Classes));
}

std::vector<ServingIndex::ClassKey> ServingIndex::streamClasses(const ServiceId &Service) const {
  std::set<std::uint32_t> OfRoutes;
  for (const ServingRoute &Route : Config_.Routes_)
    for (const ServiceShare &Share : Route.Services_)
      if (Route.Kind_ == RequestKind::Stream && Share.Service_ == Service && Share.Weight_ > 0)
        OfRoutes.insert(Route.Priority_);
  if (OfRoutes.size() < 2)
    return {};
  std::set<ClassKey> Classes;
  for (const std::uint32_t OfRoute : OfRoutes) {
    Classes.emplace(OfRoute, OfRoute);
    if (Config_.Customers_)
      for (const ServingCustomer &Customer : *Config_.Customers_)
        Classes.emplace(Customer.Priority_.value_or(OfRoute), OfRoute);
  }
  return {Classes.begin(), Classes.end()};
}

std::uint32_t ServingIndex::classCount(const ServiceId &Id) const {
  const auto Found = Classes_.find(Id);
  return Found == Classes_.end() ? 0 : static_cast<std::uint32_t>(Found->second.size());
}

std::uint32_t ServingIndex::priority(const ServingRoute &Route, const ServiceId &Service,
                                     const ServingCustomer *Customer) const {
  const std::uint32_t First =
      Customer ? Customer->Priority_.value_or(Route.Priority_) : Route.Priority_;
  const auto Found = Classes_.find(Service);
  if (Found == Classes_.end() || Route.Kind_ != RequestKind::Stream)
    return First;
  const std::vector<ClassKey> &Classes = Found->second;
  const auto Class =
      std::lower_bound(Classes.begin(), Classes.end(), ClassKey{First, Route.Priority_});
  return static_cast<std::uint32_t>(Class - Classes.begin());
}

const ServingRoute *ServingIndex::match(std::string_view Host, std::string_view Path) const {
  std::string Key = hostName(Host);
  const std::size_t HostLength = Key.size();
  Key += Path;
  // Every prefix ends with a slash, so only such prefixes of the path can match.
  std::size_t End = Key.size();
  while (End > HostLength) {
    if (Key[End - 1] != '/') {
      --End;
      continue;
    }
    Key.resize(End);
    if (const auto Found = Routes_.find(Key); Found != Routes_.end())
      return Found->second;
    --End;
  }
  return nullptr;
}

const ServingCustomer *ServingIndex::customer(const std::string &Key) const {
  const auto Found = Keys_.find(Key);
  return Found == Keys_.end() ? nullptr : Found->second;
}

bool ServingIndex::requiresKey(const ServingRoute &Route) const {
  return !Route.Public_ && Config_.Customers_.has_value();
}

const ServingService *ServingIndex::service(const ServiceId &Id) const {
  const auto Found = Services_.find(Id);
  return Found == Services_.end() ? nullptr : Found->second;
}

const ServingService *ServingIndex::chooseService(const ServingRoute &Route, double Draw) const {
  double Total = 0;
  for (const ServiceShare &Share : Route.Services_)
    Total += Share.Weight_;
  double Rest = Draw * Total;
  const ServingService *Last = nullptr;
  for (const ServiceShare &Share : Route.Services_) {
    if (Share.Weight_ <= 0)
      continue;
    Last = service(Share.Service_);
    Rest -= Share.Weight_;
    if (Rest < 0)
      break;
  }
  return Last;
}

bool ConfigHolder::replaceIfNewer(ServingConfig Config, TimePoint Now) {
  if (Current_ && Config.Revision_ <= Current_->config().Revision_)
    return false;
  Current_ = std::make_shared<const ServingIndex>(std::move(Config));
  ChangedAt_ = Now;
  return true;
}

} // namespace rattancart
