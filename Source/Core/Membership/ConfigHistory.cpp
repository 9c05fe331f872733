#include "Core/Membership/ConfigHistory.h"

#include "Core/Common/Hash.h"

#include <algorithm>
#include <utility>

namespace rattancart {

void ConfigHistory::keep(std::size_t Versions) {
  Versions_ = Versions;
  trim();
}

void ConfigHistory::add(std::string Bytes) {
  End_.reset();
  const ConfigDigest Digest = digest(Bytes);
  std::erase_if(Texts_, [&](const ConfigText &Each) { return Each.Digest_ == Digest; });
  Texts_.push_back({std::make_shared<const std::string>(std::move(Bytes)), Digest});
  trim();
}

void ConfigHistory::trim() {
  while (Texts_.size() > Versions_)
    Texts_.pop_front();
}

const ConfigText *ConfigHistory::find(ConfigDigest Digest) const {
  const auto Found = std::find_if(Texts_.begin(), Texts_.end(),
                                  [&](const ConfigText &Each) { return Each.Digest_ == Digest; });
  return Found == Texts_.end() ? nullptr : &*Found;
}

ConfigDigest ConfigHistory::digest(std::string_view Bytes) {
  return ConfigDigest(stableHash(Bytes));
}

} // namespace rattancart
