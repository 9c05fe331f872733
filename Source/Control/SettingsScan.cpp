#include "Control/SettingsScan.h"

#include <utility>

namespace rattancart {

bool SettingsScan::add(LogPage Page) {
  for (LogRecord &Record : Page.Records_) {
    if (Record.Offset_ < Next_)
      continue;
    if (Record.Offset_ != Next_)
      return false;
    Next_ = Next_.next();
    Records_.push_back(std::move(Record));
    consider(Records_.back());
  }
  Complete_ = Page.Records_.empty() || Next_ >= Page.Next_;
  return true;
}

void SettingsScan::consider(const LogRecord &Record) {
  // A change is by far the most frequent record; decoding it as a snapshot fails early.
  const Result<std::string> Body = imageOfSnapshot(Record.Body_);
  if (!Body)
    return;
  const Result<SettingsLog> Log = SettingsLog::fromImage(*Body);
  const bool LeavesGap = Log && Log->offset().next() < First_;
  if (!Log || LeavesGap || Log->offset() >= Record.Offset_)
    return;
  if (Newest_ && Log->offset() <= Newest_->Offset_)
    return;
  Newest_ = Image{Log->offset(), *Body};
  while (!Records_.empty() && Records_.front().Offset_ <= Newest_->Offset_)
    Records_.pop_front();
}

} // namespace rattancart
