#include "Config/ControlSettings.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <utility>

namespace rattancart {

using std::chrono::milliseconds;
using std::chrono::seconds;

ControlSettings loadControlSettings(const std::string &File, SettingsFaults &Faults) {
  ControlSettings Settings;
  YAML::Node Node;
  if (!loadYaml(File, Node, Faults))
    return Settings;
  YamlSection Root(Node, File, "", Faults);
  Settings.Process_ = readProcessSettings(Root);
  Settings.FrameListen_ = Root.address("frame-listen", Presence::Required);
  Settings.AdminListen_ = Root.address("admin-listen", Presence::Required);
  Settings.Platform_ = Root.address("platform", Presence::Required);
  Settings.Peers_ = Root.addresses("peers", Presence::Optional);
  for (std::string &Name : Root.texts("data-centers", Presence::Optional))
    Settings.DataCenters_.emplace_back(std::move(Name));
  const DataCenterId &Own = Settings.Process_.DataCenter_;
  if (std::find(Settings.DataCenters_.begin(), Settings.DataCenters_.end(), Own) ==
      Settings.DataCenters_.end())
    Settings.DataCenters_.push_back(Own);
  Settings.BootstrapTokenHash_ = Root.text("bootstrap-token-hash", Presence::Optional);
  Settings.PlatformTimeout_ =
      Root.duration("platform-timeout", seconds(2), {milliseconds(50), seconds(60)});
  Settings.EndpointPoll_ =
      Root.duration("endpoint-poll", milliseconds(500), {milliseconds(50), seconds(10)});
  Settings.ListPoll_ = Root.duration("list-poll", seconds(1), {milliseconds(50), seconds(60)});
  Root.reportUnknownFields();
  return Settings;
}

} // namespace rattancart
