#include "StandIns/FakeLog.h"

#include <algorithm>
#include <utility>

namespace rattancart {

LogOffset FakeLog::append(const std::string &Stream, std::string Body) {
  StreamRecords &Records = Streams_[Stream];
  Records.Bodies_.push_back(std::move(Body));
  const LogOffset Offset(Records.First_ + static_cast<std::int64_t>(Records.Bodies_.size()) - 1);
  trim(Records);
  return Offset;
}

LogPage FakeLog::read(const std::string &Stream, LogOffset From, std::size_t Max) const {
  LogPage Page;
  const auto It = Streams_.find(Stream);
  if (It == Streams_.end())
    return Page;
  const StreamRecords &Records = It->second;
  const auto Count = static_cast<std::int64_t>(Records.Bodies_.size());
  Page.First_ = LogOffset(Records.First_);
  Page.Next_ = LogOffset(Records.First_ + Count);
  if (From < Page.First_)
    return Page;
  for (std::int64_t At = From.value(); At < Page.Next_.value() && Page.Records_.size() < Max; ++At)
    Page.Records_.push_back(
        {LogOffset(At), Records.Bodies_[static_cast<std::size_t>(At - Records.First_)]});
  return Page;
}

void FakeLog::setRetention(std::size_t Retain) {
  Retain_ = Retain;
  for (auto &[Stream, Records] : Streams_)
    trim(Records);
}

bool FakeLog::canAnswerRead(const std::string &Stream, LogOffset From) const {
  const auto It = Streams_.find(Stream);
  if (It == Streams_.end())
    return false;
  const StreamRecords &Records = It->second;
  const auto Count = static_cast<std::int64_t>(Records.Bodies_.size());
  return From.value() < Records.First_ + Count;
}

void FakeLog::trim(StreamRecords &Records) const {
  while (Retain_ > 0 && Records.Bodies_.size() > Retain_) {
    Records.Bodies_.pop_front();
    ++Records.First_;
  }
}

} // namespace rattancart
