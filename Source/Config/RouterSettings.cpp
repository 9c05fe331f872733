#include "Config/RouterSettings.h"

#include <yaml-cpp/yaml.h>

namespace rattancart {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

HttpServerOptions readHttpOptions(YamlSection Section) {
  HttpServerOptions Options;
  Options.MaxHeaderBytes_ =
      static_cast<std::size_t>(Section.number("max-header-bytes", 16'384, {1'024, 1'048'576}));
  Options.MaxBodyBytes_ =
      static_cast<std::size_t>(Section.number("max-body-bytes", 1'048'576, {1'024, 268'435'456}));
  Options.MaxConnections_ =
      static_cast<std::size_t>(Section.number("max-connections", 4'096, {1, 1'000'000}));
  Options.RequestTimeout_ =
      Section.duration("request-timeout", seconds(15), {milliseconds(100), seconds(600)});
  Options.IdleTimeout_ =
      Section.duration("idle-timeout", seconds(75), {milliseconds(100), hours(1)});
  Section.reportUnknownFields();
  return Options;
}

} // namespace

RouterSettings loadRouterSettings(const std::string &File, SettingsFaults &Faults) {
  RouterSettings Settings;
  YAML::Node Node;
  if (!loadYaml(File, Node, Faults))
    return Settings;
  YamlSection Root(Node, File, "", Faults);
  Settings.Process_ = readProcessSettings(Root);
  Settings.Listen_ = Root.address("listen", Presence::Required);
  Settings.StateListen_ = Root.address("state-listen", Presence::Required);
  Settings.Controls_ = Root.addresses("controls", Presence::Required);
  Settings.Http_ = readHttpOptions(Root.section("http"));

  YamlSection Admission = Root.section("admission");
  Settings.MaxQueued_ =
      static_cast<std::uint32_t>(Admission.number("max-queued", 1'024, {0, 1'000'000}));
  Admission.reportUnknownFields();

  Settings.EndpointFreshness_ =
      Root.duration("endpoint-freshness", seconds(4), {milliseconds(500), seconds(60)});

  YamlSection Shutdown = Root.section("shutdown");
  Settings.ShutdownGrace_ = Shutdown.duration("grace", seconds(2), {milliseconds(0), seconds(600)});
  Settings.ShutdownLimit_ = Shutdown.duration("limit", seconds(60), {milliseconds(100), hours(1)});
  Shutdown.reportUnknownFields();
  Root.reportUnknownFields();
  return Settings;
}

} // namespace rattancart
