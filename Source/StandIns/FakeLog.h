#pragma once

#include "LogClient/HttpLogClient.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace rattancart {

/// The records of an append-only log with named streams, kept in memory. Not thread-safe.
class FakeLog {
public:
  /// Retain is the number of records kept of each stream; 0 keeps all.
  explicit FakeLog(std::size_t Retain) : Retain_(Retain) {}

  /// Appends a record and drops the oldest beyond the retention.
  LogOffset append(const std::string &Stream, std::string Body);
  /// Reads at most Max records from From on. A From before LogPage::First_ gives no records.
  LogPage read(const std::string &Stream, LogOffset From, std::size_t Max) const;
  /// Changes the retention of all streams.
  void setRetention(std::size_t Retain);
  /// Whether a read from From has an answer now: a record, or that From is no longer kept.
  bool canAnswerRead(const std::string &Stream, LogOffset From) const;

private:
  struct StreamRecords {
    std::int64_t First_ = 0;
    std::deque<std::string> Bodies_;
  };
  void trim(StreamRecords &Records) const;

  std::size_t Retain_;
  std::map<std::string, StreamRecords, std::less<>> Streams_;
};

} // namespace rattancart
