#include "StandIns/HistoryBuffer.h"

#include <algorithm>
#include <utility>

namespace rattancart {

HistoryBuffer::HistoryBuffer(std::size_t Limit, const std::string &File) : Limit_(Limit) {
  if (!File.empty())
    File_.open(File, std::ios::app);
}

void HistoryBuffer::add(std::string Line) {
  Line += '\n';
  if (File_.is_open())
    File_ << Line << std::flush;
  Lines_.push_back(std::move(Line));
  if (Lines_.size() <= Limit_)
    return;
  Lines_.pop_front();
  ++Dropped_;
}

std::string HistoryBuffer::text(std::uint64_t From) const {
  std::string Text;
  const std::uint64_t Skipped = From > Dropped_ + 1 ? From - Dropped_ - 1 : 0;
  for (std::size_t Index = std::min<std::uint64_t>(Skipped, Lines_.size()); Index < Lines_.size();
       ++Index)
    Text += Lines_[Index];
  return Text;
}

} // namespace rattancart
