#include "Load/LatencyHistogram.h"

namespace rattancart {

namespace {

constexpr unsigned BinCount = 800;
constexpr double LowestSeconds = 1e-5;
constexpr double HighestSeconds = 1e3;

} // namespace

LatencyHistogram::LatencyHistogram()
    : Bins_(boost::histogram::make_histogram(Axis(BinCount, LowestSeconds, HighestSeconds))) {}

void LatencyHistogram::add(Duration Value) {
  Bins_(std::max(LowestSeconds, std::chrono::duration<double>(Value).count()));
  ++Count_;
}

double LatencyHistogram::quantile(double Fraction) const {
  const double Wanted = Fraction * static_cast<double>(Count_);
  double Sum = 0;
  for (const Bin &Here : bins()) {
    Sum += Here.Count_;
    if (Sum >= Wanted)
      return Here.UpperSeconds_;
  }
  return 0;
}

std::vector<LatencyHistogram::Bin> LatencyHistogram::bins() const {
  std::vector<Bin> Filled;
  for (auto &&Cell : boost::histogram::indexed(Bins_, boost::histogram::coverage::all)) {
    const double Upper = Cell.bin().upper() < HighestSeconds ? Cell.bin().upper() : HighestSeconds;
    if (*Cell > 0)
      Filled.push_back({Upper, *Cell});
  }
  return Filled;
}

} // namespace rattancart
