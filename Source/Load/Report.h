#pragma once

#include "Load/LatencyHistogram.h"

#include <string>
#include <system_error>
#include <vector>

/// Formats the tables, metrics and plots of rattancart-load.
namespace rattancart {

/// One result, printed as a line "NAME VALUE UNIT" after the table.
struct Metric {
  std::string Name_;
  double Value_ = 0;
  std::string Unit_;
};

/// One curve of a plot.
struct PlotSeries {
  std::string Name_;
  std::vector<double> X_;
  std::vector<double> Y_;
};

/// A vertical line with a label, for example at the time of a fault.
struct PlotMark {
  double X_ = 0;
  std::string Text_;
};

enum class PlotScale : std::uint8_t { Linear, Logarithmic };

struct Plot {
  std::string Title_;
  std::string XLabel_;
  std::string YLabel_;
  PlotScale XScale_ = PlotScale::Linear;
  std::vector<PlotSeries> Series_;
  std::vector<PlotMark> Marks_;
};

/// One bar of a bar chart.
struct PlotBar {
  std::string Name_;
  double Value_ = 0;
};

/// Formats rows under a heading in aligned columns. Thread-safe.
std::string formatTable(const std::vector<std::string> &Heading,
                        const std::vector<std::vector<std::string>> &Rows);
/// Formats each metric as a line "NAME VALUE UNIT". Thread-safe.
std::string formatMetrics(const std::vector<Metric> &Metrics);
/// Formats the same cells as CSV. Thread-safe.
std::string formatCsv(const std::vector<std::string> &Heading,
                      const std::vector<std::vector<std::string>> &Rows);
/// Draws curves as an SVG image. Thread-safe.
std::string formatPlot(const Plot &Content);
/// Draws a bar chart as an SVG image, with a horizontal line at Target unless that is zero.
/// Thread-safe.
std::string formatBars(const std::string &Title, const std::vector<PlotBar> &Bars, double Target);
/// The fraction of values up to each latency, in milliseconds. Thread-safe.
PlotSeries cumulativeDistribution(const std::string &Name, const LatencyHistogram &Latency);
/// Writes a whole file. Errors: OutputUnwritable.
std::error_code writeFile(const std::string &Path, const std::string &Text);

} // namespace rattancart
