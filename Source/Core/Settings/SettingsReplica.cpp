#include "Core/Settings/SettingsReplica.h"

#include <utility>

namespace rattancart {

ReplicaResult SettingsReplica::applyImage(LogOffset Offset, std::string_view Image) {
  if (Offset <= Log_.offset())
    return {ReplicaResult::State::Ignored, {}, {}, {}};
  Result<SettingsLog> Log = SettingsLog::fromImage(Image);
  if (!Log) {
    const bool Unknown = Log.error().Code_ == ErrorCode::UnknownSchema;
    return {Unknown ? ReplicaResult::State::Stopped : ReplicaResult::State::Malformed,
            {},
            Log.error().Code_,
            Log.error().Detail_};
  }
  if (Log->offset() != Offset)
    return {ReplicaResult::State::Malformed, {}, ErrorCode::MalformedRecord, "another offset"};
  Log_ = std::move(*Log);
  View_ = nullptr;
  return {};
}

ReplicaResult SettingsReplica::applyRecord(LogOffset Offset, std::string_view Body) {
  if (Offset <= Log_.offset())
    return {ReplicaResult::State::Ignored, {}, {}, {}};
  if (Offset != Log_.offset().next())
    return {ReplicaResult::State::Gap, {}, ErrorCode::LogGap, {}};
  ReplicaResult Outcome;
  Outcome.Decision_ = Log_.apply(Offset, Body);
  if (Outcome.Decision_->Kind_ == SettingsDecision::Kind::Stopped) {
    Outcome.State_ = ReplicaResult::State::Stopped;
    Outcome.Error_ = Outcome.Decision_->Error_;
    return Outcome;
  }
  View_ = nullptr;
  return Outcome;
}

SettingsViewPtr SettingsReplica::view() const {
  if (!View_)
    View_ = Log_.compiler().view(Log_.offset());
  return View_;
}

} // namespace rattancart
