#include "Control/EndpointFeed.h"

#include "Link/EndpointWire.h"

#include <utility>

namespace rattancart {

EndpointFeed::EndpointFeed(const Clock &Time, const EndpointTable &Table, DataCenterId DataCenter,
                           Duration RefreshInterval)
    : Time_(Time), Table_(Table), DataCenter_(std::move(DataCenter)),
      RefreshInterval_(RefreshInterval) {}

void EndpointFeed::onChange(const EndpointId &Id, EndpointChange Change) {
  if (Change == EndpointChange::None || Change == EndpointChange::Stale)
    return;
  Entry &Item = Entries_[Id];
  const Endpoint *Known = Table_.find(Id);
  const bool LoadOnly = Change == EndpointChange::Updated && Known && !Known->Silent_;
  if (LoadOnly && Time_.now() - Item.At_ < RefreshInterval_)
    return;
  Item.Version_ = ++Version_;
  Item.At_ = Time_.now();
}

wire::EndpointUpdateT EndpointFeed::changesSince(std::uint64_t Since, FeedScope Scope) const {
  wire::EndpointUpdateT Update;
  Update.full = Since == 0;
  const TimePoint Now = Time_.now();
  Table_.forEach([&](const Endpoint &Known) {
    if (Scope == FeedScope::OwnDataCenter && Known.DataCenter_ != DataCenter_)
      return;
    const auto Item = Entries_.find(Known.Id_);
    if (Since != 0 && (Item == Entries_.end() || Item->second.Version_ <= Since))
      return;
    Update.endpoints.push_back(
        std::make_unique<wire::EndpointInfoT>(toWire(Known, Now - Table_.heardAt(Known.Id_))));
  });
  return Update;
}

} // namespace rattancart
