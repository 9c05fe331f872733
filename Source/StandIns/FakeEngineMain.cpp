#include "StandIns/EngineStandInHandler.h"
#include "StandIns/StandInOptions.h"

#include <charconv>
#include <string_view>

using namespace rattancart;

namespace {

/// Command line options in their own units, before completeConfig() converts them.
struct EngineArguments {
  std::string Model_ = "brief";
  std::string Version_ = "1";
  std::string Layers_ = "0-48";
  std::uint32_t LayerCount_ = 48;
  std::uint32_t StepUs_ = 1000;
  std::uint32_t PrefillUs_ = 50;
  std::uint32_t LinkDelayUs_ = 0;
  std::uint32_t SequenceIdleMs_ = 30000;
};

/// Parses "BEGIN-END"; returns an empty range if the text is malformed.
LayerRange parseLayers(std::string_view Text) {
  LayerRange Range;
  const std::size_t Dash = Text.find('-');
  if (Dash == std::string_view::npos)
    return {};
  std::from_chars(Text.data(), Text.data() + Dash, Range.Begin_);
  std::from_chars(Text.data() + Dash + 1, Text.data() + Text.size(), Range.End_);
  return Range;
}

void addEngineOptions(CLI::App &App, EngineArguments &Given, EngineStandInConfig &Config) {
  EngineConfig &Engine = Config.Engine_;
  App.add_option("--model", Given.Model_, "Model's name");
  App.add_option("--version", Given.Version_, "Model's version");
  App.add_option("--layers", Given.Layers_, "Layers held, as BEGIN-END");
  App.add_option("--layer-count", Given.LayerCount_, "Layers of the whole model");
  App.add_option("--step-us", Given.StepUs_, "Time of a batch's step through the layers");
  App.add_option("--prefill-us", Given.PrefillUs_, "Time to prefill a token through the layers");
  App.add_option("--slots", Engine.Slots_, "Sequences in one batch");
  App.add_option("--max-sequences", Engine.MaxSequences_, "Sequences held at once");
  App.add_option("--sequence-idle-ms", Given.SequenceIdleMs_,
                 "A sequence without a step for this long is dropped");
  App.add_option("--link-bytes-per-second", Config.LinkBytesPerSecond_,
                 "Rate to other engines; 0 is no limit");
  App.add_option("--link-delay-us", Given.LinkDelayUs_, "One-way delay to other engines");
  App.add_option("--tensor-bytes-per-token", Config.TensorBytesPerToken_,
                 "Size of a stage's output for each token");
  App.add_option("--kv-bytes", Config.KvBytesPerTokenAndLayer_,
                 "Size of the KV cache for each token and layer");
  App.add_flag("--checks-fencing", Config.ChecksFencing_,
               "Refuse orders with an old fencing number");
  App.add_option("--cache-tokens", Engine.CacheTokens_, "Tokens that the prefix cache holds");
}

void completeConfig(const EngineArguments &Given, const CommonOptions &Options,
                    EngineStandInConfig &Config) {
  EngineConfig &Engine = Config.Engine_;
  Engine.Id_ = EndpointId(Options.Process_.Id_);
  Engine.Model_ = ModelId(Given.Model_);
  Engine.Version_ = ModelVersion(Given.Version_);
  Engine.Layers_ = parseLayers(Given.Layers_);
  Engine.LayerCount_ = Given.LayerCount_;
  Engine.StepTime_ = std::chrono::microseconds(Given.StepUs_);
  Engine.PrefillTime_ = std::chrono::microseconds(Given.PrefillUs_);
  Engine.SequenceIdle_ = std::chrono::milliseconds(Given.SequenceIdleMs_);
  Config.LinkDelay_ = std::chrono::microseconds(Given.LinkDelayUs_);
  Config.Incarnation_ = Options.Process_.Incarnation_;
  Config.HistoryLimit_ = Options.HistoryLimit_;
  Config.HistoryFile_ = Options.HistoryFile_;
  Config.Platform_ = NetAddress(Options.Process_.Platform_);
}

} // namespace

int main(int Count, char **Arguments) {
  CommonOptions Options;
  Options.Process_.Id_ = "engine-1";
  Options.Process_.Kind_ = "engine";
  EngineArguments Given;
  EngineStandInConfig Config;
  Config.Engine_.CacheTokens_ = 100000;

  CLI::App App("Stand-in for a model engine");
  addCommonOptions(App, Options);
  addEndpointOptions(App, Options);
  addEngineOptions(App, Given, Config);
  CLI11_PARSE(App, Count, Arguments);

  const SystemClock Time;
  Options.Process_.Incarnation_ = nextIncarnation(Time);
  Options.Process_.LeaveTimeout_ = std::chrono::milliseconds(Options.LeaveTimeoutMs_);
  completeConfig(Given, Options, Config);
  const LayerRange &Layers = Config.Engine_.Layers_;
  if (Layers.Begin_ >= Layers.End_ || Layers.End_ > Given.LayerCount_)
    return App.exit(CLI::ValidationError("--layers", "not a range within --layer-count"));
  EngineFaults Faults;
  applyFaults(Faults, Options.Faults_);

  StderrLogger Log(Time, Options.Process_.Id_, LogFormat::KeyValue, LogLevel::Info);
  boost::asio::io_context Loop(1);
  HttpClient Client(Loop);
  EngineStandInHandler Handler(Loop, Log, Time, Client, std::move(Config), Faults);
  return StandInProcess(Loop, Options.Process_, Handler, Client, Log).run();
}
