#pragma once

#include "Load/LatencyHistogram.h"

#include <string>
#include <system_error>
#include <vector>

/// What rattancart-load prints and writes.
namespace rattancart {

/// One figure of the last block of lines, "NAME VALUE UNIT".
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

/// A vertical line with a text, for example at a fault.
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

/// Rows of cells under a heading, in columns. Thread-safe.
std::string formatTable(const std::vector<std::string> &Heading,
                        const std::vector<std::vector<std::string>> &Rows);
/// One line for each metric. Thread-safe.
std::string formatMetrics(const std::vector<Metric> &Metrics);
/// The same cells as formatTable as CSV. Thread-safe.
std::string formatCsv(const std::vector<std::string> &Heading,
                      const std::vector<std::vector<std::string>> &Rows);
/// An SVG picture of curves. Thread-safe.
std::string formatPlot(const Plot &Content);
/// An SVG picture of bars with a line at Aim; none if Aim is zero. Thread-safe.
std::string formatBars(const std::string &Title, const std::vector<PlotBar> &Bars, double Aim);
/// The part of values up to each latency, in milliseconds. Thread-safe.
PlotSeries distributionOf(const std::string &Name, const LatencyHistogram &Latency);
/// Writes a whole file. Errors: OutputUnwritable.
std::error_code writeFile(const std::string &Path, const std::string &Text);

} // namespace rattancart
