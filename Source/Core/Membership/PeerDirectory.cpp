#include "Core/Membership/PeerDirectory.h"

#include <algorithm>
#include <tuple>

namespace rattancart {

void PeerDirectory::onNamed(const PeerGateway &Peer, TimePoint Now) {
  Entry &Each = Peers_[Peer.Address_];
  Each.DataCenter_ = Peer.DataCenter_;
  Each.NamedAt_ = Now;
  if (Peers_.size() > Options_.MaxPeers_)
    dropOldest();
}

void PeerDirectory::dropOldest() {
  Peers_.erase(std::min_element(Peers_.begin(), Peers_.end(), [](const auto &A, const auto &B) {
    return A.second.NamedAt_ < B.second.NamedAt_;
  }));
}

std::optional<NetAddress> PeerDirectory::choose(const std::set<NetAddress> &Excluded, double Draw,
                                                TimePoint Now) const {
  using Rank = std::tuple<bool, std::uint32_t>;
  std::vector<const NetAddress *> Best;
  std::optional<Rank> BestRank;
  for (const auto &[Address, Each] : Peers_) {
    if (!isAvailable(Each, Now) || Excluded.contains(Address))
      continue;
    const Rank Own{Each.DataCenter_ != Home_, Each.Requests_};
    if (BestRank && Own > *BestRank)
      continue;
    if (!BestRank || Own < *BestRank)
      Best.clear();
    BestRank = Own;
    Best.push_back(&Address);
  }
  if (Best.empty())
    return std::nullopt;
  return *Best[static_cast<std::size_t>(Draw * static_cast<double>(Best.size()))];
}

void PeerDirectory::onSent(const NetAddress &Peer) {
  if (const auto Found = Peers_.find(Peer); Found != Peers_.end())
    ++Found->second.Requests_;
}

void PeerDirectory::onEnded(const NetAddress &Peer) {
  const auto Found = Peers_.find(Peer);
  if (Found != Peers_.end() && Found->second.Requests_ > 0)
    --Found->second.Requests_;
}

void PeerDirectory::hold(const NetAddress &Peer, TimePoint Until) {
  if (const auto Found = Peers_.find(Peer); Found != Peers_.end())
    Found->second.HeldUntil_ = std::max(Found->second.HeldUntil_, Until);
}

std::size_t PeerDirectory::available(TimePoint Now) const {
  return static_cast<std::size_t>(
      std::count_if(Peers_.begin(), Peers_.end(),
                    [&](const auto &Each) { return isAvailable(Each.second, Now); }));
}

} // namespace rattancart
