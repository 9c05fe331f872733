#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace rattancart {

/// Counts bookings by lift, in memory or in a file that the instances of one service share. Each
/// booking is one short line appended with a single write, so that lines of several processes
/// don't mix. Not thread-safe.
class BookingLedger {
public:
  /// An empty File keeps the bookings in memory.
  explicit BookingLedger(std::string File = {}) : File_(std::move(File)) {}

  void add(const std::string &Lift);
  /// Bookings of a lift; none if the file can't be read.
  std::uint32_t count(const std::string &Lift) const;

private:
  std::string File_;
  std::map<std::string, std::uint32_t> Bookings_;
};

} // namespace rattancart
