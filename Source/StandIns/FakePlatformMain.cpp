#include "StandIns/PlatformStandInHandler.h"
#include "StandIns/StandInOptions.h"

using namespace rattancart;

int main(int Count, char **Arguments) {
  CommonOptions Options;
  Options.Process_.Id_ = "platform";
  Options.Process_.MaxBodyBytes_ = 4UL * 1024 * 1024;
  PlatformFaults Faults;
  std::uint32_t ListLagMs = 0;
  double WeightsPerSecond = 100;

  CLI::App App("Stand-in for the platform: log service, instance list, weight store");
  addCommonOptions(App, Options);
  App.add_option("--retain", Faults.RetainRecords_, "Records kept of each stream; 0 keeps all");
  App.add_option("--list-lag-ms", ListLagMs, "Lag of the instance list");
  App.add_option("--appends-per-second", Faults.AppendsPerSecond_, "Append limit; 0 is none");
  App.add_option("--weights-per-second", WeightsPerSecond, "Weight store limit; 0 is none");
  CLI11_PARSE(App, Count, Arguments);
  Faults.ListLag_ = std::chrono::milliseconds(ListLagMs);
  applyFaults(Faults, Options.Faults_);

  const SystemClock Time;
  StderrLogger Log(Time, Options.Process_.Id_, LogFormat::KeyValue, LogLevel::Info);
  boost::asio::io_context Loop(1);
  HttpClient Client(Loop);
  PlatformStandInHandler Handler(Loop, Log, Time, std::move(Faults), WeightsPerSecond);
  return StandInProcess(Loop, Options.Process_, Handler, Client, Log).run();
}
