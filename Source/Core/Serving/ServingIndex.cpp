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
    if (streamPriorities(Service.Id_).size() > 1)
      OrderedServices_.insert(Service.Id_);
}

std::vector<std::uint32_t> ServingIndex::streamPriorities(const ServiceId &Service) const {
  std::set<std::uint32_t> Found;
  for (const ServingRoute &Route : Config_.Routes_)
    for (const ServiceShare &Share : Route.Services_)
      if (Route.Kind_ == RequestKind::Stream && Share.Service_ == Service && Share.Weight_ > 0)
        Found.insert(Route.Priority_);
  return {Found.begin(), Found.end()};
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
