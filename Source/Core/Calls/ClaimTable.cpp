#include "Core/Calls/ClaimTable.h"

#include <algorithm>
#include <utility>

namespace rattancart {

ClaimTable::ClaimTable(ClaimImage Image) : Tail_(Image.Tail_), Floor_(Image.Floor_) {
  for (ClaimEntry &Entry : Image.Entries_)
    Entries_.insert_or_assign(std::move(Entry.Key_),
                              Known{std::move(Entry.Holder_), Entry.ClaimedAt_, Entry.Floor_,
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
    forget(Offset, *Record.Forget_);
}

void ClaimTable::skip(LogOffset Offset) { Tail_ = std::max(Tail_, Offset.next()); }

void ClaimTable::applyItem(LogOffset Offset, const ClaimItem &Item) {
  if (Item.Kind_ == ClaimItem::Kind::Claim) {
    claim(Offset, Item);
    return;
  }
  const auto Place = Entries_.find(Item.Key_);
  if (Place == Entries_.end())
    return;
  Known &Entry = Place->second;
  // Only the holder may end its claim, and once.
  if (Entry.Holder_ != Item.Call_ || Entry.Done_)
    return;
  Entry.ChangedAt_ = Offset;
  if (Item.Kind_ == ClaimItem::Kind::Done) {
    Entry.Done_ = true;
    Entry.Status_ = Item.Status_;
    Entry.Body_ = Item.Body_;
    // An assignment would keep the text's memory.
    const RequestId Ended = std::exchange(Entry.Holder_, RequestId());
    return;
  }
  Entry.Holder_ = RequestId();
  Entry.ClaimedAt_ = NoOffset;
  Entry.Floor_ = Offset.next();
}

void ClaimTable::claim(LogOffset Offset, const ClaimItem &Item) {
  // No router can know a tail past the record that carries it.
  if (Item.Position_ < Floor_ || Item.Position_ > Offset)
    return;
  Known &Entry = Entries_[Item.Key_];
  if (Entry.isTaken() || Item.Position_ < Entry.Floor_)
    return;
  Entry.Holder_ = Item.Call_;
  Entry.ClaimedAt_ = Offset;
  Entry.ChangedAt_ = Offset;
}

void ClaimTable::forget(LogOffset Offset, const ClaimForget &Forget) {
  std::erase_if(Entries_,
                [&Forget](const auto &Pair) { return Pair.second.ChangedAt_ < Forget.Before_; });
  // A floor below the dropped keys' records would let their late copies win.
  const LogOffset Raised = std::max(Forget.Before_, Forget.Floor_);
  Floor_ = std::max(Floor_, std::min(Raised, Offset.next()));
}

ClaimVerdict ClaimTable::verdictOf(const RequestId &Call, const IdempotencyKey &Key,
                                   LogOffset Position) const {
  ClaimVerdict Verdict;
  LogOffset Floor = Floor_;
  const auto Place = Entries_.find(Key);
  if (Place != Entries_.end()) {
    const Known &Entry = Place->second;
    Floor = std::max(Floor, Entry.Floor_);
    if (Entry.isTaken()) {
      Verdict.State_ = Entry.Done_             ? ClaimVerdict::State::Done
                       : Entry.Holder_ == Call ? ClaimVerdict::State::Won
                                               : ClaimVerdict::State::Lost;
      Verdict.Offset_ = Entry.ClaimedAt_;
      Verdict.Status_ = Entry.Status_;
      Verdict.Body_ = Entry.Body_;
      return Verdict;
    }
  }
  if (Position < Floor)
    Verdict.State_ = ClaimVerdict::State::NotEligible;
  return Verdict;
}

std::size_t ClaimTable::heldKeys() const {
  return static_cast<std::size_t>(
      std::count_if(Entries_.begin(), Entries_.end(),
                    [](const auto &Pair) { return !Pair.second.Holder_.empty(); }));
}

bool ClaimTable::hasEntryBefore(LogOffset Offset) const {
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
