#include "Gateway/GatewaySettings.h"

#include <yaml-cpp/yaml.h>

namespace rattancart {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

GatewaySettings loadGatewaySettings(const std::string &File, SettingsFaults &Faults) {
  GatewaySettings Settings;
  YAML::Node Node;
  if (!loadYaml(File, Node, Faults))
    return Settings;
  YamlSection Root(Node, File, "", Faults);
  Settings.Process_ = readProcessSettings(Root);
  Settings.Listen_ = Root.address("listen", Presence::Required);
  Settings.StateListen_ = Root.address("state-listen", Presence::Required);
  Settings.MetricsListen_ = Root.address("metrics-listen", Presence::Optional);
  Settings.PeerListen_ = Root.address("peer-listen", Presence::Required);
  Settings.Store_ = Root.address("store", Presence::Required);
  for (const std::string &Name : Root.texts("data-centers", Presence::Required))
    Settings.DataCenters_.emplace_back(Name);

  YamlSection Freshness = Root.section("freshness");
  const auto ReadBound = [&](const char *Name, Duration &Value) {
    Value = Freshness.duration(Name, Value, {milliseconds(500), hours(1)});
  };
  ReadBound("leaving", Settings.Freshness_.Leaving_);
  ReadBound("configuration", Settings.Freshness_.Configuration_);
  Freshness.reportUnknownFields();

  // An owner names 8 stand-ins, so that more readers could not be told from the others.
  Settings.StoreReaders_ = static_cast<std::size_t>(Root.number("store-readers", 0, {0, 7}));

  YamlSection Retries = Root.section("retries");
  Settings.Retries_.Ratio_ = Retries.real("ratio", Settings.Retries_.Ratio_, 0, 10);
  Settings.Retries_.Extra_ = Retries.real("extra", Settings.Retries_.Extra_, 0, 1e6);
  Settings.Retries_.Window_ =
      Retries.duration("window", Settings.Retries_.Window_, {milliseconds(100), hours(1)});
  Settings.Retries_.KeptForLost_ =
      Retries.real("kept-for-lost", Settings.Retries_.KeptForLost_, 0, 1);
  Retries.reportUnknownFields();

  YamlSection SlowStart = Root.section("slow-start");
  Settings.SlowStart_.Enabled_ = SlowStart.flag("enabled", Settings.SlowStart_.Enabled_);
  Settings.SlowStart_.InitialShare_ =
      SlowStart.real("initial-share", Settings.SlowStart_.InitialShare_, 0.01, 1);
  SlowStart.reportUnknownFields();

  YamlSection Detection = Root.section("detection");
  Settings.Detection_.Enabled_ = Detection.flag("enabled", Settings.Detection_.Enabled_);
  Detection.reportUnknownFields();

  YamlSection Answers = Root.section("answers");
  const auto ReadBytes = [&](const char *Name, std::size_t &Value) {
    Value = static_cast<std::size_t>(
        Answers.number(Name, static_cast<std::int64_t>(Value), {1024, 1024 * 1024 * 1024}));
  };
  ReadBytes("max-body-bytes", Settings.ResponseLimits_.MaxBodyBytes_);
  ReadBytes("max-event-bytes", Settings.ResponseLimits_.MaxEventBytes_);
  ReadBytes("max-queued-bytes", Settings.ResponseLimits_.MaxQueuedBytes_);
  Answers.reportUnknownFields();

  YamlSection Startup = Root.section("startup");
  Settings.StartupMaxWait_ =
      Startup.duration("max-wait", Settings.StartupMaxWait_, {milliseconds(0), seconds(10)});
  Startup.reportUnknownFields();

  YamlSection Shutdown = Root.section("shutdown");
  Settings.ShutdownGrace_ =
      Shutdown.duration("grace", Settings.ShutdownGrace_, {milliseconds(0), seconds(600)});
  Settings.ShutdownLimit_ =
      Shutdown.duration("limit", Settings.ShutdownLimit_, {milliseconds(100), hours(1)});
  Shutdown.reportUnknownFields();
  Root.reportUnknownFields();
  return Settings;
}

} // namespace rattancart
