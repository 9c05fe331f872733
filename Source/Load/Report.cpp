#include "Load/Report.h"

#include "Core/Common/ErrorCode.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <fstream>

namespace rattancart {

namespace {

constexpr double Width = 720;
constexpr double Height = 400;
constexpr double Left = 70;
constexpr double Right = 700;
constexpr double Top = 40;
constexpr double Bottom = 340;
constexpr int Ticks = 5;
constexpr std::array<const char *, 6> Colours{"#1f77b4", "#d62728", "#2ca02c",
                                              "#9467bd", "#ff7f0e", "#17becf"};

/// Maps values to pixels along one axis.
struct Scale {
  double Low_ = 0;
  double High_ = 1;
  double From_ = 0;
  double To_ = 1;
  bool Log_ = false;

  double toPixel(double Value) const {
    const double Low = Log_ ? std::log10(Low_) : Low_;
    const double High = Log_ ? std::log10(High_) : High_;
    const double At = Log_ ? std::log10(std::max(Value, Low_)) : Value;
    return From_ + (At - Low) / std::max(1e-12, High - Low) * (To_ - From_);
  }
  double tick(int Index) const {
    const double Fraction = static_cast<double>(Index) / Ticks;
    return Log_ ? Low_ * std::pow(High_ / Low_, Fraction) : Low_ + (High_ - Low_) * Fraction;
  }
};

std::string svgText(double X, double Y, const std::string &Text, const char *Anchor = "middle") {
  return fmt::format("<text x=\"{:.1f}\" y=\"{:.1f}\" text-anchor=\"{}\">{}</text>\n", X, Y, Anchor,
                     Text);
}

std::string svgLine(double X1, double Y1, double X2, double Y2, const char *Colour) {
  return fmt::format("<line x1=\"{:.1f}\" y1=\"{:.1f}\" x2=\"{:.1f}\" y2=\"{:.1f}\" "
                     "stroke=\"{}\"/>\n",
                     X1, Y1, X2, Y2, Colour);
}

std::string svgHeader(const std::string &Title) {
  return fmt::format("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0}\" height=\"{1}\" "
                     "font-family=\"sans-serif\" font-size=\"12\">\n"
                     "<rect width=\"{0}\" height=\"{1}\" fill=\"white\"/>\n",
                     Width, Height) +
         svgText(Width / 2, 22, Title);
}

std::string svgAxes(const Scale &X, const Scale &Y) {
  std::string Text =
      svgLine(Left, Bottom, Right, Bottom, "black") + svgLine(Left, Top, Left, Bottom, "black");
  for (int I = 0; I <= Ticks; ++I) {
    const double XAt = X.tick(I);
    const double YAt = Y.tick(I);
    Text += svgText(X.toPixel(XAt), Bottom + 16, fmt::format("{:.3g}", XAt));
    Text += svgText(Left - 6, Y.toPixel(YAt) + 4, fmt::format("{:.3g}", YAt), "end");
    Text += svgLine(Left, Y.toPixel(YAt), Right, Y.toPixel(YAt), "#dddddd");
  }
  return Text;
}

} // namespace

std::string formatTable(const std::vector<std::string> &Heading,
                        const std::vector<std::vector<std::string>> &Rows) {
  std::vector<std::size_t> Widths;
  Widths.reserve(Heading.size());
  for (const std::string &Cell : Heading)
    Widths.push_back(Cell.size());
  for (const auto &Row : Rows)
    for (std::size_t I = 0; I < Row.size(); ++I)
      Widths[I] = std::max(Widths[I], Row[I].size());
  const auto Print = [&](const std::vector<std::string> &Row) {
    std::string Text;
    for (std::size_t I = 0; I < Row.size(); ++I)
      Text += I == 0 ? fmt::format("{:<{}}", Row[I], Widths[I])
                     : fmt::format("  {:>{}}", Row[I], Widths[I]);
    return Text + "\n";
  };
  std::string Text = Print(Heading);
  for (const auto &Row : Rows)
    Text += Print(Row);
  return Text;
}

std::string formatMetrics(const std::vector<Metric> &Metrics) {
  std::string Text;
  for (const Metric &Each : Metrics)
    Text += fmt::format("{} {:.6g} {}\n", Each.Name_, Each.Value_, Each.Unit_);
  return Text;
}

std::string formatCsv(const std::vector<std::string> &Heading,
                      const std::vector<std::vector<std::string>> &Rows) {
  std::string Text = fmt::format("{}\n", fmt::join(Heading, ","));
  for (const auto &Row : Rows)
    Text += fmt::format("{}\n", fmt::join(Row, ","));
  return Text;
}

std::string formatPlot(const Plot &Content) {
  Scale X{1e300, -1e300, Left, Right, Content.XScale_ == PlotScale::Logarithmic};
  Scale Y{0, 1e-9, Bottom, Top, false};
  for (const PlotSeries &Each : Content.Series_) {
    for (const double Value : Each.X_) {
      X.Low_ = std::min(X.Low_, Value);
      X.High_ = std::max(X.High_, Value);
    }
    for (const double Value : Each.Y_)
      Y.High_ = std::max(Y.High_, Value);
  }
  if (X.Low_ > X.High_)
    X.Low_ = 1, X.High_ = 10;
  std::string Text = svgHeader(Content.Title_) + svgAxes(X, Y);
  for (const PlotMark &Mark : Content.Marks_) {
    Text += svgLine(X.toPixel(Mark.X_), Top, X.toPixel(Mark.X_), Bottom, "#d62728");
    Text += svgText(X.toPixel(Mark.X_) + 3, Top + 12, Mark.Text_, "start");
  }
  for (std::size_t I = 0; I < Content.Series_.size(); ++I) {
    const PlotSeries &Each = Content.Series_[I];
    const char *Colour = Colours[I % Colours.size()];
    Text +=
        fmt::format("<polyline fill=\"none\" stroke=\"{}\" stroke-width=\"1.5\" points=\"", Colour);
    for (std::size_t P = 0; P < Each.X_.size(); ++P)
      Text += fmt::format("{:.1f},{:.1f} ", X.toPixel(Each.X_[P]), Y.toPixel(Each.Y_[P]));
    Text += "\"/>\n";
    const double At = Left + 10 + static_cast<double>(I) * 120;
    Text += fmt::format("<rect x=\"{}\" y=\"378\" width=\"10\" height=\"10\" fill=\"{}\"/>\n", At,
                        Colour);
    Text += svgText(At + 14, 388, Each.Name_, "start");
  }
  Text += svgText((Left + Right) / 2, Bottom + 32, Content.XLabel_);
  Text += fmt::format("<text transform=\"translate(16,{}) rotate(-90)\" "
                      "text-anchor=\"middle\">{}</text>\n",
                      (Top + Bottom) / 2, Content.YLabel_);
  return Text + "</svg>\n";
}

std::string formatBars(const std::string &Title, const std::vector<PlotBar> &Bars, double Target) {
  Scale Y{0, std::max(Target, 1e-9), Bottom, Top, false};
  for (const PlotBar &Bar : Bars)
    Y.High_ = std::max(Y.High_, Bar.Value_);
  std::string Text = svgHeader(Title) + svgLine(Left, Bottom, Right, Bottom, "black");
  const double Step = (Right - Left) / static_cast<double>(std::max<std::size_t>(1, Bars.size()));
  for (std::size_t I = 0; I < Bars.size(); ++I) {
    const double At = Left + Step * (static_cast<double>(I) + 0.15);
    const double Up = Y.toPixel(Bars[I].Value_);
    Text += fmt::format("<rect x=\"{:.1f}\" y=\"{:.1f}\" width=\"{:.1f}\" height=\"{:.1f}\" "
                        "fill=\"{}\"/>\n",
                        At, Up, Step * 0.7, Bottom - Up, Colours[I % Colours.size()]);
    Text += svgText(At + Step * 0.35, Bottom + 16, Bars[I].Name_);
    Text += svgText(At + Step * 0.35, Up - 4, fmt::format("{:.3f}", Bars[I].Value_));
  }
  if (Target > 0)
    Text += svgLine(Left, Y.toPixel(Target), Right, Y.toPixel(Target), "#555555");
  return Text + "</svg>\n";
}

PlotSeries cumulativeDistribution(const std::string &Name, const LatencyHistogram &Latency) {
  PlotSeries Series{Name, {}, {}};
  double Sum = 0;
  for (const LatencyHistogram::Bin &Bin : Latency.bins()) {
    Sum += Bin.Count_;
    Series.X_.push_back(Bin.UpperSeconds_ * 1e3);
    Series.Y_.push_back(Sum / static_cast<double>(Latency.count()));
  }
  return Series;
}

std::error_code writeFile(const std::string &Path, const std::string &Text) {
  std::ofstream Out(Path, std::ios::binary);
  Out << Text;
  Out.flush();
  if (!Out)
    return ErrorCode::OutputUnwritable;
  return {};
}

} // namespace rattancart
