#include "Core/Routing/RouteTable.h"

#include <algorithm>
#include <utility>

namespace rattancart {

namespace {

std::string lowerCase(std::string_view Text) {
  std::string Lower(Text);
  std::transform(Lower.begin(), Lower.end(), Lower.begin(), [](char C) {
    return C >= 'A' && C <= 'Z' ? static_cast<char>(C - 'A' + 'a') : C;
  });
  return Lower;
}

std::string_view withoutPort(std::string_view Host) {
  const std::size_t Colon = Host.rfind(':');
  const bool InsideBrackets =
      Host.find(']', Colon == std::string_view::npos ? 0 : Colon) != std::string_view::npos;
  return Colon == std::string_view::npos || InsideBrackets ? Host : Host.substr(0, Colon);
}

std::string_view withoutTrailingSlash(std::string_view Path) {
  while (!Path.empty() && Path.back() == '/')
    Path.remove_suffix(1);
  return Path;
}

} // namespace

RouteTable::RouteTable(SettingsViewPtr View) : View_(std::move(View)) {
  for (std::uint32_t Index = 0; Index < View_->Routes_.size(); ++Index) {
    const RouteMatch &Match = View_->Routes_[Index].Match_;
    HostRoutes &Host = Hosts_[lowerCase(withoutPort(Match.Host_))];
    const std::string_view Prefix = withoutTrailingSlash(Match.PathPrefix_);
    Host.LongestPrefix_ = std::max(Host.LongestPrefix_, Prefix.size());
    Host.Prefixes_[std::string(Prefix)].try_emplace(Match.Method_, Index);
  }
}

const Route *RouteTable::match(const RouteQuery &Query) const {
  const std::string Host = lowerCase(withoutPort(Query.Host_));
  if (const auto Named = Hosts_.find(Host); !Host.empty() && Named != Hosts_.end())
    if (const Route *Found = matchPath(Named->second, Query))
      return Found;
  const auto Any = Hosts_.find(std::string_view());
  return Any == Hosts_.end() ? nullptr : matchPath(Any->second, Query);
}

const Route *RouteTable::matchPath(const HostRoutes &Host, const RouteQuery &Query) const {
  std::string_view Prefix = withoutTrailingSlash(Query.Path_);
  // Starting at the longest prefix bounds the number of look-ups for a long path by the length of
  // that prefix.
  if (Prefix.size() > Host.LongestPrefix_)
    Prefix = Query.Path_[Host.LongestPrefix_] == '/'
                 ? Prefix.substr(0, Host.LongestPrefix_)
                 : Prefix.substr(0, Prefix.rfind('/', Host.LongestPrefix_));
  for (;;) {
    const auto Found = Host.Prefixes_.find(Prefix);
    if (Found != Host.Prefixes_.end())
      if (const Route *Matched = matchMethod(Found->second, Query.Method_))
        return Matched;
    if (Prefix.empty())
      return nullptr;
    const std::size_t Slash = Prefix.rfind('/');
    Prefix = Slash == std::string_view::npos ? std::string_view() : Prefix.substr(0, Slash);
  }
}

const Route *RouteTable::matchMethod(const TextMap<std::uint32_t> &Methods,
                                     std::string_view Method) const {
  auto Found = Methods.find(Method);
  if (Found == Methods.end())
    Found = Methods.find(std::string_view());
  return Found == Methods.end() ? nullptr : &View_->Routes_[Found->second];
}

} // namespace rattancart
