#include "Core/Calls/ClaimTable.h"

#include <algorithm>
#include <utility>

namespace rattancart {

ClaimTable::ClaimTable(ClaimImage Image) : Tail_(Image.Tail_), Floor_(Image.Floor_) {
  for (ClaimEntry &Entry : Image.Entries_)
    Entries_.insert_or_assign(std::move(Entry.Key_),
                              KeyState{std::move(Entry.Holder_), Entry.ClaimedAt_, Entry.Floor_,
                                       Entry.ChangedAt_, std::move(Entry.Body_), Entry.Status_,
                                       Entry.Done_});
}

void ClaimTable::apply(LogOffset Offset, const ClaimRecord &Record) {
  if (Offset < Tail_)
    return;
  Tail_ = Offset.next();
  for (const ClaimItem &Item : Record.Items_)
    applyItem(Offset, Item);
  if (Record.Forget_)
    applyForget(Offset, *Record.Forget_);
}

void ClaimTable::skip(LogOffset Offset) { Tail_ = std::max(Tail_, Offset.next()); }

void ClaimTable::applyItem(LogOffset Offset, const ClaimItem &Item) {
  if (Item.Kind_ == ClaimItem::Kind::Claim) {
    applyClaim(Offset, Item);
    return;
  }
  const auto It = Entries_.find(Item.Key_);
  if (It == Entries_.end())
    return;
  KeyState &Entry = It->second;
  // Only the holder may end its claim, and only once.
  if (Entry.Holder_ != Item.Call_ || Entry.Done_)
    return;
  Entry.ChangedAt_ = Offset;
  if (Item.Kind_ == ClaimItem::Kind::Done) {
    Entry.Done_ = true;
    Entry.Status_ = Item.Status_;
    Entry.Body_ = Item.Body_;
    // An assignment of an empty id would keep the memory of the text.
    const RequestId Ended = std::exchange(Entry.Holder_, RequestId());
    return;
  }
  Entry.Holder_ = RequestId();
  Entry.ClaimedAt_ = NoOffset;
  Entry.Floor_ = Offset.next();
}

void ClaimTable::applyClaim(LogOffset Offset, const ClaimItem &Item) {
  // No router can know a tail above the offset of the record that carries its claim.
  if (Item.Position_ < Floor_ || Item.Position_ > Offset)
    return;
  KeyState &Entry = Entries_[Item.Key_];
  if (Entry.isTaken() || Item.Position_ < Entry.Floor_)
    return;
  Entry.Holder_ = Item.Call_;
  Entry.ClaimedAt_ = Offset;
  Entry.ChangedAt_ = Offset;
}

void ClaimTable::applyForget(LogOffset Offset, const ClaimForget &Forget) {
  std::erase_if(Entries_,
                [&Forget](const auto &Pair) { return Pair.second.ChangedAt_ < Forget.Before_; });
  // With a floor below the records of the removed keys, late duplicates of these records could
  // win. The floor never exceeds the tail.
  const LogOffset Raised = std::max(Forget.Before_, Forget.Floor_);
  Floor_ = std::max(Floor_, std::min(Raised, Offset.next()));
}

ClaimDecision ClaimTable::decisionFor(const RequestId &Call, const IdempotencyKey &Key,
                                      LogOffset Position) const {
  ClaimDecision Decision;
  LogOffset Floor = Floor_;
  const auto It = Entries_.find(Key);
  if (It != Entries_.end()) {
    const KeyState &Entry = It->second;
    Floor = std::max(Floor, Entry.Floor_);
    if (Entry.isTaken()) {
      Decision.State_ = Entry.Done_             ? ClaimDecision::State::Done
                        : Entry.Holder_ == Call ? ClaimDecision::State::Won
                                                : ClaimDecision::State::Lost;
      Decision.Offset_ = Entry.ClaimedAt_;
      Decision.Status_ = Entry.Status_;
      Decision.Body_ = Entry.Body_;
      return Decision;
    }
  }
  if (Position < Floor)
    Decision.State_ = ClaimDecision::State::NotEligible;
  return Decision;
}

std::size_t ClaimTable::heldKeys() const {
  return static_cast<std::size_t>(
      std::count_if(Entries_.begin(), Entries_.end(),
                    [](const auto &Pair) { return !Pair.second.Holder_.empty(); }));
}

bool ClaimTable::hasEntryChangedBefore(LogOffset Offset) const {
  return std::any_of(Entries_.begin(), Entries_.end(),
                     [Offset](const auto &Pair) { return Pair.second.ChangedAt_ < Offset; });
}

ClaimImage ClaimTable::image() const {
  ClaimImage Image;
  Image.Tail_ = Tail_;
  Image.Floor_ = Floor_;
  Image.Entries_.reserve(Entries_.size());
  for (const auto &[Key, Entry] : Entries_)
    Image.Entries_.push_back({Key, Entry.Holder_, Entry.ClaimedAt_, Entry.Done_, Entry.Status_,
                              Entry.Body_, Entry.Floor_, Entry.ChangedAt_});
  std::sort(Image.Entries_.begin(), Image.Entries_.end(),
            [](const ClaimEntry &A, const ClaimEntry &B) { return A.Key_ < B.Key_; });
  return Image;
}

} // namespace rattancart
