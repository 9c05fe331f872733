#include "Core/Settings/SettingsLog.h"

#include "Core/Settings/SettingsRecord.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace rattancart {

namespace json = boost::json;

namespace {

SettingsDecision reject(SettingsDecision Outcome, Error Reason) {
  Outcome.Kind_ = SettingsDecision::Kind::Rejected;
  Outcome.Error_ = Reason.Code_;
  Outcome.Detail_ = std::move(Reason.Detail_);
  return Outcome;
}

/// The covered offset of the snapshot record at Offset, or NoOffset if it is missing or invalid.
LogOffset coveredOffset(LogOffset Offset, const json::object &Fields) {
  const json::value *Covered = Fields.if_contains("covered");
  if (!Covered || !Covered->is_int64() || Covered->as_int64() < 0 ||
      Covered->as_int64() >= Offset.value())
    return NoOffset;
  return LogOffset(Covered->as_int64());
}

} // namespace

SettingsDecision SettingsLog::apply(LogOffset Offset, std::string_view Body) {
  SettingsDecision Outcome;
  Outcome.Offset_ = Offset;
  const SettingsRecord Record = decodeRecord(Body);
  if (Stopped_ || Record.Kind_ == SettingsRecord::Kind::UnknownSchema) {
    Stopped_ = true;
    Outcome.Kind_ = SettingsDecision::Kind::Stopped;
    Outcome.Error_ = ErrorCode::UnknownSchema;
    Outcome.Detail_ = Record.Detail_;
    return Outcome;
  }
  Offset_ = Offset;
  if (Record.Kind_ == SettingsRecord::Kind::Malformed)
    return reject(std::move(Outcome), {ErrorCode::MalformedRecord, Record.Detail_});
  if (Record.Kind_ == SettingsRecord::Kind::Snapshot) {
    Outcome.Covered_ = coveredOffset(Offset, Record.Fields_);
    if (Outcome.Covered_ == NoOffset)
      return reject(std::move(Outcome),
                    {ErrorCode::MalformedRecord, "the covered offset is missing or too high"});
    Outcome.Kind_ = SettingsDecision::Kind::Snapshot;
    raiseFloor(Outcome.Covered_);
    return Outcome;
  }
  const Result<SettingsChange> Change = parseChangeFields(Record.Fields_);
  if (!Change)
    return reject(std::move(Outcome), Change.error());
  return decide(Offset, *Change);
}

SettingsDecision SettingsLog::decide(LogOffset Offset, const SettingsChange &Change) {
  SettingsDecision Outcome;
  Outcome.Offset_ = Offset;
  Outcome.Change_ = Change.Id_;
  Outcome.Author_ = Change.Author_;
  Outcome.Base_ = Change.Base_;
  for (const SettingsEdit &Edit : Change.Edits_)
    Outcome.Paths_.push_back(Edit.Path_);
  if (const auto Earlier = DecidedChanges_.find(Change.Id_); Earlier != DecidedChanges_.end()) {
    Outcome.Kind_ = SettingsDecision::Kind::Duplicate;
    Outcome.Error_ = ErrorCode::DuplicateChange;
    Outcome.Detail_ = fmt::format("decided at {}", Earlier->second.Offset_.value());
    return Outcome;
  }
  std::optional<Error> Reason = findRejectionReason(Offset, Change);
  if (!Reason)
    Reason = applyEdits(Change);
  // Another copy of a change with a base below the floor is rejected for its base, so its outcome
  // need not be stored.
  if (Change.Base_ >= Floor_)
    DecidedChanges_.emplace(Change.Id_, DecidedChange{Offset, Change.Base_,
                                                      Reason ? Reason->Code_ : std::error_code()});
  if (Reason)
    return reject(std::move(Outcome), std::move(*Reason));
  for (const SettingsEdit &Edit : Change.Edits_)
    setRevision(Edit.Path_, Offset);
  Revision_ = Offset;
  Outcome.Kind_ = SettingsDecision::Kind::Accepted;
  return Outcome;
}

std::optional<Error> SettingsLog::findRejectionReason(LogOffset Offset,
                                                      const SettingsChange &Change) const {
  if (Change.Base_ >= Offset)
    return Error{ErrorCode::BadBase, fmt::format("base {}", Change.Base_.value())};
  if (Change.Base_ < Floor_)
    return Error{ErrorCode::BaseTooOld,
                 fmt::format("base {}, floor {}", Change.Base_.value(), Floor_.value())};
  const OperatorGrant *Grant = Compiler_.findOperator(Change.Author_);
  const Result<SettingsPath> Prefix = SettingsPath::parse(Grant ? Grant->Prefix_ : "/");
  if (!Grant && Change.Author_ != BootstrapOperator)
    return Error{ErrorCode::OutsidePrefix,
                 fmt::format("no operator {} is known", Change.Author_.str())};
  for (const SettingsEdit &Edit : Change.Edits_) {
    if (!Edit.Path_.isAtOrBelow(*Prefix))
      return Error{ErrorCode::OutsidePrefix, Edit.Path_.str()};
    const LogOffset Changed = revisionOf(Edit.Path_);
    if (Changed > Change.Base_)
      return Error{ErrorCode::Conflict, fmt::format("{} changed at {}, base {}", Edit.Path_.str(),
                                                    Changed.value(), Change.Base_.value())};
  }
  return std::nullopt;
}

std::optional<Error> SettingsLog::applyEdits(const SettingsChange &Change) {
  std::vector<SettingsTree::ReplacedLeaves> Old;
  std::vector<SettingsPath> Paths;
  for (const SettingsEdit &Edit : Change.Edits_) {
    Old.push_back(Tree_.replace(Edit.Path_, Edit.Leaves_));
    Paths.push_back(Edit.Path_);
  }
  const std::vector<InvalidSetting> Errors = Compiler_.update(Tree_, Paths);
  if (Errors.empty())
    return std::nullopt;
  std::for_each(Old.rbegin(), Old.rend(),
                [this](const SettingsTree::ReplacedLeaves &Item) { Tree_.restore(Item); });
  return Error{Errors[0].Code_,
               fmt::format("{}: expected {}", Errors[0].Path_.str(), Errors[0].Expected_)};
}

LogOffset SettingsLog::revisionOf(const SettingsPath &Path) const {
  LogOffset Latest = NoOffset;
  for (std::size_t Count = 0; Count <= Path.segments().size(); ++Count)
    if (const auto Found = Revisions_.find(Path.prefix(Count).key()); Found != Revisions_.end())
      Latest = std::max(Latest, Found->second);
  const std::string Prefix = Path.childPrefix();
  for (auto It = Revisions_.lower_bound(Prefix);
       It != Revisions_.end() && It->first.starts_with(Prefix); ++It)
    Latest = std::max(Latest, It->second);
  return Latest;
}

void SettingsLog::setRevision(const SettingsPath &Path, LogOffset Offset) {
  // revisionOf finds this path for every path below it too, and this revision is newer than theirs.
  const std::string Prefix = Path.childPrefix();
  auto It = Revisions_.lower_bound(Prefix);
  while (It != Revisions_.end() && It->first.starts_with(Prefix))
    It = Revisions_.erase(It);
  Revisions_[Path.key()] = Offset;
}

void SettingsLog::raiseFloor(LogOffset Covered) {
  if (Features_.EnforceFloor_)
    Floor_ = std::max(Floor_, Covered);
  // No change with a base below the floor is accepted, so these entries can't affect a decision any
  // more.
  std::erase_if(Revisions_, [&](const auto &Entry) {
    return Entry.second <= Covered && !Tree_.contains(SettingsPath::fromKey(Entry.first));
  });
  std::erase_if(DecidedChanges_, [&](const auto &Entry) { return Entry.second.Base_ < Covered; });
}

std::optional<DecidedChange> SettingsLog::findChange(const ChangeId &Id) const {
  const auto Found = DecidedChanges_.find(Id);
  if (Found == DecidedChanges_.end())
    return std::nullopt;
  return Found->second;
}

} // namespace rattancart
