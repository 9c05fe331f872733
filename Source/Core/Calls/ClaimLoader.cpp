#include "Core/Calls/ClaimLoader.h"

#include "Core/Common/ErrorCode.h"

#include <algorithm>
#include <iterator>

namespace rattancart {

namespace {

constexpr std::int64_t WindowGrowth = 4;

} // namespace

ClaimLoader::ClaimLoader(LogOffset First, LogOffset Next, std::int64_t Window) : Window_(Window) {
  restart(First, Next);
  if (Position_ >= Next)
    endReached(First, Next);
}

void ClaimLoader::restart(LogOffset First, LogOffset Next) {
  Start_ = std::max(First, LogOffset(Next.value() - Window_));
  Position_ = Start_;
  Kept_.clear();
  Snapshots_.clear();
}

void ClaimLoader::onPageRead(const std::vector<StreamRecord> &Records, LogOffset First,
                             LogOffset Next) {
  for (const StreamRecord &Record : Records) {
    if (State_ != State::Reading)
      return;
    if (Record.Offset_ >= Position_)
      recordRead(Record);
  }
  if (State_ == State::Reading && Position_ >= Next)
    endReached(First, Next);
}

void ClaimLoader::recordRead(const StreamRecord &Record) {
  Position_ = Record.Offset_.next();
  Result<ClaimRecord> Decoded = decodeClaimRecord(Record.Body_);
  if (!Decoded && Decoded.error().Code_ == ErrorCode::UnknownSchema) {
    State_ = State::UnknownSchema;
    return;
  }
  if (!Decoded) {
    if (Loaded_)
      Loaded_->Table_.skip(Record.Offset_);
    else
      Kept_.emplace_back(Record.Offset_, ClaimRecord());
    return;
  }
  const std::optional<ClaimSnapshotPart> Part = std::exchange(Decoded->Snapshot_, std::nullopt);
  if (Loaded_)
    Loaded_->Table_.apply(Record.Offset_, *Decoded);
  else
    Kept_.emplace_back(Record.Offset_, std::move(*Decoded));
  if (Part && !Loaded_)
    partRead(Record.Offset_, *Part);
}

void ClaimLoader::partRead(LogOffset Offset, const ClaimSnapshotPart &Part) {
  // Records between the snapshot's tail and the start of reading would be missing.
  if (Part.Image_.Tail_ < Start_)
    return;
  Parts &Known = Snapshots_[Part.Id_];
  if (Known.Parts_.empty())
    Known.Begin_ = Offset;
  Known.Parts_.insert_or_assign(Part.Part_, Part);
  if (Known.Parts_.size() < Part.Parts_)
    return;
  ClaimImage Image;
  Image.Tail_ = Part.Image_.Tail_;
  Image.Floor_ = Part.Image_.Floor_;
  LoadedClaims Loaded;
  for (auto &[Index, Each] : Known.Parts_) {
    std::move(Each.Image_.Entries_.begin(), Each.Image_.Entries_.end(),
              std::back_inserter(Image.Entries_));
    Loaded.Marks_.insert(Loaded.Marks_.end(), Each.Image_.Marks_.begin(), Each.Image_.Marks_.end());
  }
  Loaded.Snapshot_ = std::min(Known.Begin_, Image.Tail_);
  Loaded.Table_ = ClaimTable(std::move(Image));
  Loaded_ = std::move(Loaded);
  replayKept();
}

void ClaimLoader::replayKept() {
  for (const auto &[Offset, Record] : Kept_)
    Loaded_->Table_.apply(Offset, Record);
  Kept_.clear();
  Snapshots_.clear();
}

void ClaimLoader::endReached(LogOffset First, LogOffset Next) {
  if (!Loaded_ && Start_.value() == 0) {
    Loaded_.emplace();
    replayKept();
  }
  if (Loaded_) {
    State_ = State::Loaded;
    return;
  }
  if (Start_ <= First) {
    State_ = State::Gap;
    return;
  }
  Window_ *= WindowGrowth;
  restart(First, Next);
}

LoadedClaims ClaimLoader::take() { return std::move(*Loaded_); }

} // namespace rattancart
