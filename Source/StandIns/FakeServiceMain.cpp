#include "StandIns/ServiceStandInHandler.h"
#include "StandIns/StandInOptions.h"

using namespace rattancart;

int main(int Count, char **Arguments) {
  CommonOptions Options;
  Options.Process_.Id_ = "service-1";
  Options.Process_.Kind_ = "service";
  Options.Process_.Service_ = "lift-desk";
  ServiceConfig Config;
  std::uint32_t DelayMs = 0;

  CLI::App App("Stand-in for a plain service");
  addCommonOptions(App, Options);
  addEndpointOptions(App, Options);
  App.add_option("--service", Options.Process_.Service_, "Service that this instance implements");
  App.add_flag("--deduplicates", Config.Deduplicates_,
               "Answer a repeated idempotency key from the first result");
  App.add_flag("--checks-fencing", Config.ChecksFencing_,
               "Refuse calls with an old fencing number");
  App.add_option("--ledger", Config.LedgerFile_,
                 "File of bookings that the instances of the service share");
  App.add_option("--delay-ms", DelayMs, "Delay of each call");
  CLI11_PARSE(App, Count, Arguments);

  const SystemClock Time;
  Options.Process_.Incarnation_ = nextIncarnation(Time);
  Options.Process_.LeaveTimeout_ = std::chrono::milliseconds(Options.LeaveTimeoutMs_);
  ServiceFaults Faults;
  Faults.Common_.Delay_ = std::chrono::milliseconds(DelayMs);
  applyFaults(Faults, Options.Faults_);

  StderrLogger Log(Time, Options.Process_.Id_, LogFormat::KeyValue, LogLevel::Info);
  boost::asio::io_context Loop(1);
  HttpClient Client(Loop);
  const ServiceIdentity Identity{
      EndpointId(Options.Process_.Id_), ServiceId(Options.Process_.Service_),
      Options.Process_.Incarnation_, Options.HistoryLimit_, Options.HistoryFile_};
  ServiceStandInHandler Handler(Loop, Log, Time, Identity, Config, Faults);
  return StandInProcess(Loop, Options.Process_, Handler, Client, Log).run();
}
