#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <fstream>
#include <string>

namespace rattancart {

/// The last events of a stand-in as JSON lines. If a file is given, each line is flushed to it at
/// once, so that the history survives a killed process. Not thread-safe.
class HistoryBuffer {
public:
  /// Keeps at most Limit lines in memory. Lines are appended to File; an empty name is no file.
  HistoryBuffer(std::size_t Limit, const std::string &File);

  /// The number of the line that is added next, from 1.
  std::uint64_t nextSequence() const { return Dropped_ + Lines_.size() + 1; }
  /// Adds a line, given without a line break.
  void add(std::string Line);
  /// The lines from a number on.
  std::string text(std::uint64_t From) const;

private:
  std::size_t Limit_;
  std::ofstream File_;
  std::uint64_t Dropped_ = 0;
  std::deque<std::string> Lines_;
};

} // namespace rattancart
