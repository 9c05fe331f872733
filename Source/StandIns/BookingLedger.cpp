#include "StandIns/BookingLedger.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <memory>

namespace rattancart {

namespace {

/// Replaces line breaks in the name of a lift, because each booking is one line of the file.
std::string oneLine(std::string Lift) {
  std::replace(Lift.begin(), Lift.end(), '\n', ' ');
  return Lift;
}

} // namespace

void BookingLedger::add(const std::string &Lift) {
  if (File_.empty()) {
    ++Bookings_[Lift];
    return;
  }
  const std::unique_ptr<std::FILE, int (*)(std::FILE *)> Out(std::fopen(File_.c_str(), "a"),
                                                             std::fclose);
  const std::string Line = oneLine(Lift) + "\n";
  if (!Out || std::fwrite(Line.data(), 1, Line.size(), Out.get()) != Line.size())
    std::fprintf(stderr, "cannot write the booking ledger %s\n", File_.c_str());
}

std::uint32_t BookingLedger::count(const std::string &Lift) const {
  if (File_.empty()) {
    const auto It = Bookings_.find(Lift);
    return It == Bookings_.end() ? 0 : It->second;
  }
  std::ifstream In(File_);
  const std::string Wanted = oneLine(Lift);
  std::uint32_t Count = 0;
  for (std::string Line; std::getline(In, Line);)
    Count += Line == Wanted ? 1 : 0;
  return Count;
}

} // namespace rattancart
