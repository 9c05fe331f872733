#include "Core/Membership/ListJournal.h"

#include <algorithm>

namespace rattancart {

namespace {

/// Changes are published for this long, so that a receiver can lose the datagrams of two or three
/// reads in a row.
constexpr Duration KeptTime = std::chrono::milliseconds(2500);
/// After more changes than this, receivers read the list themselves: that takes one call, while all
/// changes are sent with each publication.
constexpr std::size_t MaxChanges = 64;
/// Size of the changes in one datagram of at most about 1,200 bytes; the rest is for the addresses
/// that it is passed on to and for the framing.
constexpr std::size_t DatagramBytes = 850;
/// Encoded size of a change without its texts: offsets within the table, padding and numbers.
constexpr std::size_t ChangeBytes = 110;

std::size_t encodedSize(const ListChange &Change) {
  std::size_t Size = ChangeBytes + Change.Id_.str().size();
  if (Change.Listing_)
    Size += Change.Listing_->Service_.str().size() + Change.Listing_->Address_.str().size() +
            Change.Listing_->DataCenter_.str().size() + Change.Listing_->Kind_.size();
  return Size;
}

} // namespace

void ListJournal::learn(const EndpointId &Id, const std::optional<EndpointListing> &Listing) {
  if (const auto Known = Entries_.find(Id); Known != Entries_.end()) {
    Digest_ -= digestOf(Known->second);
    Entries_.erase(Known);
  }
  if (!Listing)
    return;
  Digest_ += digestOf(*Listing);
  Entries_.emplace(Id, *Listing);
}

void ListJournal::restart(ListPosition Position) {
  Reads_.clear();
  Changes_.clear();
  From_ = Position;
}

void ListJournal::onRecord(ListPosition Offset, const EndpointId &Id,
                           const std::optional<EndpointListing> &Listing) {
  const auto Known = Entries_.find(Id);
  const bool Changed =
      Listing ? Known == Entries_.end() || Known->second != *Listing : Known != Entries_.end();
  if (!Changed)
    return;
  learn(Id, Listing);
  Changes_.push_back({Offset, Id, Listing});
  if (encodedSize(Changes_.back()) > DatagramBytes)
    dropBefore(Offset + 1);
  else if (Changes_.size() > MaxChanges)
    dropBefore(Changes_.front().Offset_ + 1);
}

void ListJournal::dropBefore(ListPosition Position) {
  From_ = std::max(From_, Position);
  while (!Changes_.empty() && Changes_.front().Offset_ < From_)
    Changes_.pop_front();
}

void ListJournal::onReadToEnd(ListPosition End, TimePoint ReadAt) {
  Reads_.push_back({ReadAt, End, Digest_});
  while (Reads_.front().At_ < ReadAt - KeptTime) {
    dropBefore(Reads_.front().End_);
    Reads_.pop_front();
  }
}

std::vector<ListSpan> ListJournal::spans() const {
  // More changes than are kept may have been read after the last end.
  if (Reads_.empty() || From_ > Reads_.back().End_)
    return {};
  std::vector<ListSpan> Spans(1, ListSpan{.From_ = From_});
  std::size_t Size = 0;
  for (const ListChange &Change : Changes_) {
    if (Change.Offset_ >= Reads_.back().End_)
      break;
    const std::size_t Added = encodedSize(Change);
    if (Size + Added > DatagramBytes) {
      Spans.back().To_ = Change.Offset_;
      Spans.push_back({.From_ = Change.Offset_});
      Size = 0;
    }
    Size += Added;
    Spans.back().Changes_.push_back(Change);
  }
  Spans.back().To_ = Reads_.back().End_;
  Spans.back().AtEnd_ = true;
  Spans.back().Digest_ = Reads_.back().Digest_;
  return Spans;
}

} // namespace rattancart
