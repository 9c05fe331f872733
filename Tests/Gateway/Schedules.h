#pragma once

#include <cstdlib>

namespace rattancart::test {

/// Number of random schedules per test run; RATTANCART_SCHEDULES overrides it.
inline unsigned schedules() {
  constexpr unsigned DefaultSchedules = 300;
  const char *Wanted = std::getenv("RATTANCART_SCHEDULES");
  return Wanted ? static_cast<unsigned>(std::strtoul(Wanted, nullptr, 10)) : DefaultSchedules;
}

} // namespace rattancart::test
