#include "Core/Calls/ClaimLoader.h"

#include "Core/Common/ErrorCode.h"

#include <algorithm>
#include <iterator>

namespace rattancart {

namespace {

/// The window grows by this factor if no snapshot was found in it.
constexpr std::int64_t WindowGrowth = 4;

} // namespace

ClaimLoader::ClaimLoader(LogOffset First, LogOffset Next, std::int64_t Window) : Window_(Window) {
  restart(First, Next);
  if (Position_ >= Next)
    onEndReached(First, Next);
}

void ClaimLoader::restart(LogOffset First, LogOffset Next) {
  Start_ = std::max(First, LogOffset(Next.value() - Window_));
  Position_ = Start_;
  BufferedRecords_.clear();
  Snapshots_.clear();
}

void ClaimLoader::onPageRead(const std::vector<StreamRecord> &Records, LogOffset First,
                             LogOffset Next) {
  for (const StreamRecord &Record : Records) {
    if (State_ != State::Reading)
      return;
    if (Record.Offset_ >= Position_)
      processRecord(Record);
  }
  if (State_ == State::Reading && Position_ >= Next)
    onEndReached(First, Next);
}

void ClaimLoader::processRecord(const StreamRecord &Record) {
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
      BufferedRecords_.emplace_back(Record.Offset_, ClaimRecord());
    return;
  }
  const std::optional<ClaimSnapshotPart> Part = std::exchange(Decoded->Snapshot_, std::nullopt);
  if (Loaded_)
    Loaded_->Table_.apply(Record.Offset_, *Decoded);
  else
    BufferedRecords_.emplace_back(Record.Offset_, std::move(*Decoded));
  if (Part && !Loaded_)
    addSnapshotPart(Record.Offset_, *Part);
}

void ClaimLoader::addSnapshotPart(LogOffset Offset, const ClaimSnapshotPart &Part) {
  // The records between the snapshot's tail and the start of reading would be missing.
  if (Part.Image_.Tail_ < Start_)
    return;
  PartialSnapshot &Partial = Snapshots_[Part.Id_];
  if (Partial.Parts_.empty())
    Partial.Begin_ = Offset;
  Partial.Parts_.insert_or_assign(Part.Part_, Part);
  if (Partial.Parts_.size() < Part.Parts_)
    return;
  ClaimImage Image;
  Image.Tail_ = Part.Image_.Tail_;
  Image.Floor_ = Part.Image_.Floor_;
  LoadedClaims Loaded;
  for (auto &[Index, Each] : Partial.Parts_) {
    std::move(Each.Image_.Entries_.begin(), Each.Image_.Entries_.end(),
              std::back_inserter(Image.Entries_));
    Loaded.TailObservations_.insert(Loaded.TailObservations_.end(),
                                    Each.Image_.TailObservations_.begin(),
                                    Each.Image_.TailObservations_.end());
  }
  Loaded.Snapshot_ = std::min(Partial.Begin_, Image.Tail_);
  Loaded.Table_ = ClaimTable(std::move(Image));
  Loaded_ = std::move(Loaded);
  replayBuffered();
}

void ClaimLoader::replayBuffered() {
  for (const auto &[Offset, Record] : BufferedRecords_)
    Loaded_->Table_.apply(Offset, Record);
  BufferedRecords_.clear();
  Snapshots_.clear();
}

void ClaimLoader::onEndReached(LogOffset First, LogOffset Next) {
  if (!Loaded_ && Start_.value() == 0) {
    Loaded_.emplace();
    replayBuffered();
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
