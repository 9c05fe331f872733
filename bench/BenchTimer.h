#pragma once

#include <fmt/core.h>

#include <chrono>
#include <cstdint>
#include <string_view>

namespace rattancart {

/// Runs Step until about half a second has passed and prints the mean time of one run as a line
/// "NAME VALUE UNIT".
template <typename Function> void measure(std::string_view Name, Function Step) {
  using Clock = std::chrono::steady_clock;
  constexpr auto Wanted = std::chrono::milliseconds(500);
  for (int Warm = 0; Warm < 100; ++Warm)
    Step();
  const auto Begin = Clock::now();
  std::uint64_t Runs = 0;
  auto Now = Begin;
  for (; Now - Begin < Wanted; Now = Clock::now())
    for (int Batch = 0; Batch < 16; ++Batch, ++Runs)
      Step();
  const double Nanoseconds = std::chrono::duration<double, std::nano>(Now - Begin).count();
  fmt::print("{} {:.0f} ns\n", Name, Nanoseconds / static_cast<double>(Runs));
}

} // namespace rattancart
