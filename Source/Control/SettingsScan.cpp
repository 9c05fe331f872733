#include "Control/SettingsScan.h"

#include <utility>

namespace rattancart {

bool SettingsScan::addPage(LogPage Page) {
  for (LogRecord &Record : Page.Records_) {
    if (Record.Offset_ < Next_)
      continue;
    if (Record.Offset_ != Next_)
      return false;
    Next_ = Next_.next();
    Records_.push_back(std::move(Record));
    checkForSnapshot(Records_.back());
  }
  Complete_ = Page.Records_.empty() || Next_ >= Page.Next_;
  return true;
}

void SettingsScan::checkForSnapshot(const LogRecord &Record) {
  // Nearly all records are changes; decoding one as a snapshot fails early.
  const Result<std::string> Body = imageOfSnapshot(Record.Body_);
  if (!Body)
    return;
  const Result<SettingsLog> Log = SettingsLog::fromImage(*Body);
  const bool LeavesGap = Log && Log->offset().next() < First_;
  if (!Log || LeavesGap || Log->offset() >= Record.Offset_)
    return;
  if (NewestImage_ && Log->offset() <= NewestImage_->Offset_)
    return;
  NewestImage_ = Image{Log->offset(), *Body};
  while (!Records_.empty() && Records_.front().Offset_ <= NewestImage_->Offset_)
    Records_.pop_front();
}

} // namespace rattancart
