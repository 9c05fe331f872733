#include "Process/MetricSet.h"

#include <boost/histogram.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>
#include <vector>

namespace rattancart {

namespace {

namespace bh = boost::histogram;

constexpr double MinSeconds = 1e-4;
constexpr double MaxSeconds = 100;
constexpr unsigned Buckets = 48;

using LatencyAxis = bh::axis::regular<double, bh::axis::transform::log>;
using LatencyHistogram = decltype(bh::make_histogram(std::declval<LatencyAxis>()));

/// Identifies a metric by its name and label.
struct MetricKey {
  std::string Name_;
  std::string Label_;
  auto operator<=>(const MetricKey &) const = default; // NOLINT
};

struct Latencies {
  LatencyHistogram Histogram_ =
      bh::make_histogram(LatencyAxis(Buckets, MinSeconds, MaxSeconds, "seconds"));
  double Sum_ = 0;
  std::uint64_t Count_ = 0;
};

/// The upper bound of the bucket that holds the quantile.
double quantile(const Latencies &Values, double Fraction) {
  const double Rank = Fraction * static_cast<double>(Values.Count_);
  double Cumulative = 0;
  for (auto &&Cell : bh::indexed(Values.Histogram_, bh::coverage::all)) {
    Cumulative += static_cast<double>(*Cell);
    if (Cumulative >= Rank)
      return std::min(Cell.bin(0).upper(), MaxSeconds);
  }
  return MaxSeconds;
}

std::string escapeLabel(std::string_view Label) {
  std::string Out;
  for (const char C : Label) {
    if (C == '"' || C == '\\')
      Out += '\\';
    Out += C == '\n' ? ' ' : C;
  }
  return Out;
}

} // namespace

struct MetricSet::Impl {
  std::map<MetricKey, std::uint64_t> Counters_;
  std::map<MetricKey, Latencies> Latencies_;
};

MetricSet::MetricSet() : Impl_(std::make_unique<Impl>()) {}
MetricSet::~MetricSet() = default;

void MetricSet::count(std::string_view Name, std::string_view Label, std::uint64_t Step) {
  Impl_->Counters_[{std::string(Name), std::string(Label)}] += Step;
}

void MetricSet::observe(std::string_view Name, std::string_view Label, Duration Latency) {
  Latencies &Values = Impl_->Latencies_[{std::string(Name), std::string(Label)}];
  const double Seconds = std::chrono::duration<double>(Latency).count();
  Values.Histogram_(Seconds);
  Values.Sum_ += Seconds;
  ++Values.Count_;
}

std::string MetricSet::prometheusText(std::string_view Prefix) const {
  std::string Text;
  auto Out = std::back_inserter(Text);
  std::string_view Last;
  for (const auto &[Key, Value] : Impl_->Counters_) {
    if (Key.Name_ != Last)
      fmt::format_to(Out, "# TYPE {}{} counter\n", Prefix, Key.Name_);
    Last = Key.Name_;
    fmt::format_to(Out, "{}{}{{kind=\"{}\"}} {}\n", Prefix, Key.Name_, escapeLabel(Key.Label_),
                   Value);
  }
  Last = {};
  for (const auto &[Key, Values] : Impl_->Latencies_) {
    if (Key.Name_ != Last)
      fmt::format_to(Out, "# TYPE {}{} histogram\n", Prefix, Key.Name_);
    Last = Key.Name_;
    const std::string Label = escapeLabel(Key.Label_);
    double Cumulative = 0;
    for (auto &&Cell : bh::indexed(Values.Histogram_, bh::coverage::all)) {
      Cumulative += static_cast<double>(*Cell);
      if (Cell.bin(0).upper() <= MaxSeconds)
        fmt::format_to(Out, "{}{}_bucket{{kind=\"{}\",le=\"{:.6g}\"}} {}\n", Prefix, Key.Name_,
                       Label, Cell.bin(0).upper(), Cumulative);
    }
    fmt::format_to(Out, "{0}{1}_bucket{{kind=\"{2}\",le=\"+Inf\"}} {3}\n", Prefix, Key.Name_, Label,
                   Values.Count_);
    fmt::format_to(Out, "{0}{1}_sum{{kind=\"{2}\"}} {3}\n{0}{1}_count{{kind=\"{2}\"}} {4}\n",
                   Prefix, Key.Name_, Label, Values.Sum_, Values.Count_);
  }
  return Text;
}

boost::json::object MetricSet::state() const {
  boost::json::object State;
  for (const auto &[Key, Value] : Impl_->Counters_)
    State[Key.Name_ + "." + Key.Label_] = Value;
  for (const auto &[Key, Values] : Impl_->Latencies_) {
    boost::json::object Item;
    Item["count"] = Values.Count_;
    Item["mean_s"] = Values.Sum_ / static_cast<double>(Values.Count_);
    Item["p50_s"] = quantile(Values, 0.5);
    Item["p95_s"] = quantile(Values, 0.95);
    Item["p99_s"] = quantile(Values, 0.99);
    State[Key.Name_ + "." + Key.Label_] = std::move(Item);
  }
  return State;
}

} // namespace rattancart
