// Runs peak load on simulated engines while one or more of them are lost for 4 s. Run by hand:
// build/bin/rattancart-bench-losses [PREFIX]. With a prefix, plots each case to PREFIX-ENGINE.svg.
#include "Load/Report.h"
#include "Tests/Gateway/PeakLoad.h"

#include <fmt/format.h>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

constexpr Duration NormalTime = 8s;
constexpr Duration LossTime = 4s;
constexpr Duration RecoveryTime = 5s;
constexpr Duration AfterTime = 8s;

struct Case {
  std::vector<std::string> Engines_;
  EngineCondition Condition_;
};

double seconds(Duration Time) { return std::chrono::duration<double>(Time).count(); }

PlotSeries series(const char *Name, const std::vector<SecondOutcomes> &Seconds,
                  std::size_t SecondOutcomes::*Count) {
  PlotSeries Result{Name, {}, {}};
  for (std::size_t I = 0; I < Seconds.size(); ++I) {
    Result.X_.push_back(static_cast<double>(I));
    Result.Y_.push_back(static_cast<double>(Seconds[I].*Count));
  }
  return Result;
}

std::string draw(const std::string &Title, const std::vector<SecondOutcomes> &Seconds) {
  Plot Result{Title, "s", "streams a second", PlotScale::Linear, {}, {}};
  Result.Series_ = {series("offered", Seconds, &SecondOutcomes::Offered_),
                    series("in time", Seconds, &SecondOutcomes::InTime_),
                    series("late", Seconds, &SecondOutcomes::Late_),
                    series("refused", Seconds, &SecondOutcomes::Refused_),
                    series("failed", Seconds, &SecondOutcomes::Failed_)};
  Result.Marks_ = {{seconds(NormalTime), "lost"}, {seconds(NormalTime + LossTime), "back"}};
  return formatPlot(Result);
}

void runCase(const Case &Each, const std::string &Prefix) {
  SimulatedSite Site(/*Seed=*/7, test::peakModel(), test::peakDataCenters());
  Site.runUntilLoaded();
  const TimePoint Start = Site.queue().now();
  CallerViews All = runLoad(Site, test::peakLoad(), NormalTime);
  for (const std::string &Engine : Each.Engines_)
    Site.engines().setCondition(EndpointId(Engine), Each.Condition_);
  const auto Add = [&](const CallerViews &More) {
    All.insert(All.end(), More.begin(), More.end());
  };
  const CallerViews During = runLoad(Site, test::peakLoad(), LossTime);
  for (const std::string &Engine : Each.Engines_)
    Site.engines().setCondition(EndpointId(Engine), EngineCondition::Running);
  const CallerViews Recovering = runLoad(Site, test::peakLoad(), RecoveryTime);
  const CallerViews Later = runLoad(Site, test::peakLoad(), AfterTime);
  Site.queue().run(20s);
  const double Before = fractionInTime(All);
  Add(During);
  Add(Recovering);
  Add(Later);
  fmt::print("| {} | {} | {:.3f} | {:.3f} | {:.3f} | {:.3f} | {} |\n",
             fmt::join(Each.Engines_, ", "),
             Each.Condition_ == EngineCondition::Unresponsive ? "dark" : "ended", Before,
             fractionInTime(During), fractionInTime(Recovering), fractionInTime(Later),
             Site.resumedStreams());
  if (Prefix.empty())
    return;
  const std::string File = Prefix + "-" + Each.Engines_.front() + ".svg";
  if (writeFile(File, draw(fmt::format("{} lost", fmt::join(Each.Engines_, ", ")),
                           outcomesBySecond(All, Start))))
    fmt::print(stderr, "{} can't be written\n", File);
}

} // namespace

int main(int Count, char **Values) {
  const std::string Prefix = Count > 1 ? Values[1] : "";
  fmt::print("| lost for 4 s | how | in time before (with the requests that the loss interrupts) | "
             "during | 5 s after | later | resumed |\n|---|---|---|---|---|---|---|\n");
  for (const Case &Each : {Case{{"karratha-h100-0"}, EngineCondition::Stopped},
                           Case{{"karratha-l4-1"}, EngineCondition::Unresponsive},
                           Case{{"port-hedland-a100s-0"}, EngineCondition::Unresponsive},
                           Case{{"port-hedland-l4-3"}, EngineCondition::Stopped},
                           Case{{"newman-a100s-1"}, EngineCondition::Stopped},
                           Case{{"newman-t4-2"}, EngineCondition::Unresponsive},
                           Case{{"newman-a100s-0", "newman-a100s-1", "port-hedland-a100s-0"},
                                EngineCondition::Stopped},
                           Case{{"karratha-h100-0", "karratha-a100s-0", "newman-l4-0",
                                 "newman-l4-1", "port-hedland-l4-0", "port-hedland-l4-1"},
                                EngineCondition::Unresponsive}})
    runCase(Each, Prefix);
  return 0;
}
