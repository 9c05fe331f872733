#pragma once

#include "Core/Common/Ids.h"
#include "Core/Settings/SettingsReplica.h"
#include "LogClient/HttpLogClient.h"

#include <deque>
#include <optional>
#include <string>

namespace rattancart {

/// Collects the retained part of the log in one pass and finds the newest usable snapshot.
/// Not thread-safe.
class SettingsScan {
public:
  /// An image with the offset that it covers.
  struct Image {
    LogOffset Offset_ = NoOffset;
    std::string Body_;
  };

  /// First: the offset where the scan starts; the log must still hold it.
  explicit SettingsScan(LogOffset First) : First_(First), Next_(First) {}

  /// Adds a page that was read from next(). Returns false if records are missing.
  bool addPage(LogPage Page);
  /// Where the next page begins.
  LogOffset next() const { return Next_; }
  /// Whether the end of the log was reached.
  bool complete() const { return Complete_; }
  /// Whether a replica at Offset can continue with the records of the scan or with its image.
  bool covers(LogOffset Offset) const { return NewestImage_ || Offset.next() >= First_; }
  /// The newest usable image, if there is one.
  const std::optional<Image> &newestImage() const { return NewestImage_; }
  /// The records that follow the image, or all of them.
  const std::deque<LogRecord> &records() const { return Records_; }

private:
  void checkForSnapshot(const LogRecord &Record);

  LogOffset First_;
  LogOffset Next_;
  bool Complete_ = false;
  std::optional<Image> NewestImage_;
  std::deque<LogRecord> Records_;
};

} // namespace rattancart
