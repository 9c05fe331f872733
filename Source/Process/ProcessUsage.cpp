#include "Process/ProcessUsage.h"

#include <sys/resource.h>
#include <unistd.h>

#include <cstdint>
#include <fstream>

namespace rattancart {

namespace {

double seconds(const timeval &Time) {
  return static_cast<double>(Time.tv_sec) + static_cast<double>(Time.tv_usec) * 1e-6;
}

} // namespace

std::uint64_t residentBytes() {
  std::ifstream Statm("/proc/self/statm");
  std::uint64_t Total = 0;
  std::uint64_t Resident = 0;
  Statm >> Total >> Resident;
  return Resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

boost::json::object processUsage() {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  boost::json::object State;
  State["pid"] = getpid();
  State["cpu_s"] = seconds(Usage.ru_utime) + seconds(Usage.ru_stime);
  State["rss_bytes"] = residentBytes();
  return State;
}

} // namespace rattancart
