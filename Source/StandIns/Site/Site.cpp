#include "StandIns/Site/Site.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <set>
#include <stdexcept>
#include <utility>

namespace rattancart {

namespace {

constexpr const char *ConfigTopic = "keyed.op";
constexpr const char *EndpointTopic = "keyed.servers";
/// Versions of the configuration are not consecutive.
constexpr std::uint64_t VersionStep = 3;

double memoryMb(const std::string &Kind) {
  if (Kind == "h100")
    return 72'000;
  if (Kind == "a100s")
    return 36'000;
  return Kind == "l4" ? 21'600 : 14'400;
}

boost::json::object route(const char *Name, const char *Prefix, const char *Kind,
                          const char *Service, int TimeoutMs, int GoalMs, int Attempts) {
  return {{"name", Name},       {"host", site::Host}, {"path_prefix", Prefix},
          {"route_kind", Kind}, {"service", Service}, {"timeout_ms", TimeoutMs},
          {"goal_ms", GoalMs},  {"priority", 1},      {"max_attempts", Attempts},
          {"public", false},    {"resumable", true},  {"gap_target_ms", 200}};
}

boost::json::object engineModel() {
  boost::json::array Kinds;
  for (const char *Kind : {"h100", "a100s", "l4", "t4"})
    Kinds.push_back({{"name", Kind},
                     {"size_mb", memoryMb(Kind)},
                     {"pace", std::string(Kind) == "h100" ? 1.4 : 16.0},
                     {"read_factor", 1.0}});
  return {{"slots", 192},
          {"kv_token_bytes", 590'000},
          {"models", {{{"name", "m"}, {"load_s", 0.4}}}},
          {"step_ms", 0.85},
          {"per_seq_ms", 0.004},
          {"context_per_k", 0.005},
          {"read_per_s", 196'000.0},
          {"loads_at_once", 6},
          {"usual", {{"prompt", 700}, {"answer", 60}}},
          {"layers", site::Layers},
          {"layer_mb", 1750.0},
          {"kinds", std::move(Kinds)}};
}

} // namespace

std::string site::addedRoutePath(std::uint64_t Version) {
  return fmt::format("/added-{}/1", Version);
}

Site::Site(SiteOptions Options)
    : Options_(std::move(Options)), Store_(Loop_, Time_), StoreServer_(Loop_, {}, Store_, Log_),
      HeartbeatTimer_(Loop_), Work_(boost::asio::make_work_guard(Loop_)) {
  if (StoreServer_.listen(NetAddress("127.0.0.1:0")))
    throw std::runtime_error("the store stand-in cannot listen");
  StoreAddress_ = StoreServer_.address();
  startEndpoints();
  Thread_ = std::thread([this] { Loop_.run(); });
  writeConfig({"key-1"});
  runOnLoop([this] {
    writeEndpointEntries();
    HeartbeatTimer_.every(Options_.HeartbeatInterval_, [this] { writeEndpointEntries(); });
  });
}

Site::~Site() {
  runOnLoop([this] { HeartbeatTimer_.cancel(); });
  Work_.reset();
  Loop_.stop();
  Thread_.join();
}

void Site::startEndpoints() {
  for (const DataCenterEngines &Group : Options_.Engines_) {
    for (const auto &[Kind, Count] : Group.Kinds_)
      for (int I = 0; I < Count; ++I) {
        LayerEngineOptions Engine;
        Engine.Id_ = fmt::format("{}-{}-{}", Group.DataCenter_, Kind, I);
        Engine.DataCenter_ = Group.DataCenter_;
        Engine.Kind_ = Kind;
        Engine.MemoryMb_ = memoryMb(Kind);
        Engine.EventInterval_ = Options_.EventInterval_;
        Engine.PrefillTime_ = Options_.PrefillTime_;
        Engine.CrashDowntime_ = Options_.CrashedEngineDowntime_;
        Engines_.push_back(std::make_unique<FakeLayerEngine>(Loop_, Time_, Log_, std::move(Engine),
                                                             Peers_, Activity_));
        if (Engines_.back()->listen())
          throw std::runtime_error("an engine stand-in cannot listen");
      }
    Desks_.push_back(std::make_unique<FakeDesk>(Loop_, Time_, Log_, "desk-" + Group.DataCenter_,
                                                Group.DataCenter_, Activity_));
    if (Desks_.back()->listen())
      throw std::runtime_error("a desk stand-in cannot listen");
  }
}

std::vector<std::string> Site::dataCenters() const {
  std::vector<std::string> Names;
  for (const DataCenterEngines &Group : Options_.Engines_)
    Names.push_back(Group.DataCenter_);
  return Names;
}

void Site::writeGatewaySettings(const std::string &File, const std::string &Instance,
                                const std::string &DataCenter, int PeerPort) const {
  std::string DataCenters;
  for (const std::string &Name : dataCenters())
    DataCenters += (DataCenters.empty() ? "" : ", ") + Name;
  std::ofstream Out(File);
  Out << fmt::format("instance: {}\n"
                     "data-center: {}\n"
                     "listen: 127.0.0.1:0\n"
                     "state-listen: 127.0.0.1:0\n"
                     "peer-listen: 127.0.0.1:{}\n"
                     "store: {}\n"
                     "data-centers: [{}]\n"
                     "shutdown: {{grace: {}ms, limit: {}ms}}\n"
                     "retries: {{ratio: {}, extra: {}, window: {}ms}}\n"
                     "store-readers: {}\n"
                     "detection: {{enabled: {}}}\n",
                     Instance, DataCenter, PeerPort, StoreAddress_.str(), DataCenters,
                     Options_.ShutdownGrace_ / std::chrono::milliseconds(1),
                     Options_.ShutdownLimit_ / std::chrono::milliseconds(1),
                     Options_.Retries_.Ratio_, Options_.Retries_.Extra_,
                     Options_.Retries_.Window_ / std::chrono::milliseconds(1),
                     Options_.StoreReaders_, Options_.Detection_);
}

void Site::writeEndpointEntries() {
  ++HeartbeatCount_;
  for (const auto &Engine : Engines_)
    writeEngineEntry(*Engine, Engine->runState() == FakeLayerEngine::RunState::Running);
  for (const auto &Desk : Desks_)
    if (!UnlistedDesks_.contains(Desk->id()))
      writeDeskEntry(*Desk);
}

void Site::writeEngineEntry(const FakeLayerEngine &Engine, bool Listed) {
  const LayerEngineOptions &Options = Engine.options();
  if (!Listed) {
    if (Engine.runState() == FakeLayerEngine::RunState::Stopped)
      Store_.append(EndpointTopic, {Options.Id_, std::nullopt});
    return;
  }
  const LayerRange Layers = Engine.listedLayers();
  boost::json::object Entry{{"service", "engines"},
                            {"address", Engine.address().str()},
                            {"zone", Options.DataCenter_},
                            {"version", "v1"},
                            {"slots", 192},
                            {"state", Engine.leaving() ? "draining" : "ready"},
                            {"cold_left_ms", 0},
                            {"born", Engine.incarnation()},
                            {"route_kind", Options.Kind_},
                            {"sequence", HeartbeatCount_}};
  if (Layers.End_ > Layers.Begin_)
    Entry["layers"] = {{"from", Layers.Begin_}, {"target", Layers.End_}, {"version", 1}};
  Store_.append(EndpointTopic, {Options.Id_, boost::json::serialize(Entry)});
}

void Site::writeDeskEntry(const FakeDesk &Desk) {
  Store_.append(
      EndpointTopic,
      {Desk.id(), boost::json::serialize(boost::json::object{{"service", "desk"},
                                                             {"address", Desk.address().str()},
                                                             {"zone", Desk.dataCenter()},
                                                             {"version", "v1"},
                                                             {"slots", 6},
                                                             {"state", "ready"},
                                                             {"cold_left_ms", 0},
                                                             {"born", 1},
                                                             {"sequence", HeartbeatCount_}})});
}

void Site::writeConfig(const std::vector<std::string> &Keys) {
  boost::json::array KeyList;
  for (const std::string &Key : Keys)
    KeyList.emplace_back(Key);
  boost::json::array Customers;
  Customers.push_back({{"name", site::Customer}, {"api_keys", KeyList}, {"priority", 1}});
  runOnLoop([&] { writeConfigRecord(std::move(Customers)); });
}

void Site::writeConfigWithoutCustomers() {
  runOnLoop([&] { writeConfigRecord({}); });
}

std::uint64_t Site::addRoute() {
  return runOnLoop([&] {
    AddedRoutes_.push_back(Version_ + VersionStep);
    writeConfigRecord({{{"name", site::Customer}, {"api_keys", {"key-1"}}, {"priority", 1}}});
    return Version_;
  });
}

void Site::rewriteConfigs(std::size_t Count) {
  runOnLoop([&] {
    for (std::size_t I = ConfigRecords_.size() - std::min(Count, ConfigRecords_.size());
         I < ConfigRecords_.size(); ++I)
      Store_.append(ConfigTopic, {"config", ConfigRecords_[I]});
  });
}

void Site::setUnusedRoutes(int Count) {
  runOnLoop([&] { UnusedRoutes_ = Count; });
}

boost::json::array Site::routes() const {
  boost::json::array Routes{
      route("brief", "/brief/", "streaming", "engines", 20'000, 500, 2),
      route("book", "/book/", "non_idempotent", "desk", 3'000, 100, 1),
      route("lookup", "/lookup/", "idempotent", "desk", 3'000, 100, 2),
  };
  for (const std::uint64_t Version : AddedRoutes_) {
    const std::string Name = fmt::format("added-{}", Version);
    Routes.push_back(
        route(Name.c_str(), ("/" + Name + "/").c_str(), "idempotent", "desk", 3'000, 100, 2));
  }
  for (int I = 0; I < UnusedRoutes_; ++I) {
    const std::string Name = fmt::format("unused-{}", I);
    Routes.push_back(
        route(Name.c_str(), ("/" + Name + "/").c_str(), "idempotent", "desk", 3'000, 100, 2));
  }
  return Routes;
}

void Site::writeConfigRecord(boost::json::array Customers) {
  Version_ += VersionStep;
  const boost::json::object Config{
      {"version", Version_},
      {"routes", routes()},
      {"services",
       {{{"name", "engines"}, {"max_conns", 900}, {"engine", engineModel()}},
        {{"name", "desk"}, {"max_conns", 100}}}},
      {"tenants", std::move(Customers)}};
  ConfigRecords_.push_back(boost::json::serialize(Config));
  Store_.append(ConfigTopic, {"config", ConfigRecords_.back()});
}

void Site::setStoreFault(StoreFault Fault) {
  runOnLoop([&] { Store_.setFault(Fault); });
}

std::uint64_t Site::storeCalls() const {
  return runOnLoop([this] { return Store_.calls(); });
}

void Site::loseWaitingStoreReads() {
  runOnLoop([&] { Store_.loseWaitingReads(); });
}

void Site::setStoreReadRate(std::size_t BytesPerSecond) {
  runOnLoop([&] { Store_.setReadRate(BytesPerSecond); });
}

std::uint64_t Site::storeReadBytes() const {
  return runOnLoop([this] { return Store_.readBytes(); });
}

void Site::truncateLogs() {
  runOnLoop([&] { Store_.truncateLogs(); });
}

void Site::copyStore() {
  runOnLoop([&] { Store_.takeCopy(); });
}

void Site::returnStoreFromCopy(ReadsAtReturn Reads) {
  runOnLoop([&] { Store_.returnFromCopy(Reads); });
}

void Site::setStoreNamesEra(bool NamesEra) {
  runOnLoop([&] { Store_.setNamesEra(NamesEra); });
}

void Site::setEngineRunState(const std::string &Id, FakeLayerEngine::RunState State) {
  runOnLoop([&] {
    for (const auto &Engine : Engines_)
      if (Engine->options().Id_ == Id)
        Engine->setRunState(State);
  });
}

void Site::drainEngine(const std::string &Id) {
  runOnLoop([&] {
    for (const auto &Engine : Engines_)
      if (Engine->options().Id_ == Id)
        Engine->setLeaving();
    writeEndpointEntries();
  });
}

void Site::replaceEngine(const std::string &Id) {
  runOnLoop([&] {
    for (const auto &Engine : Engines_)
      if (Engine->options().Id_ == Id)
        Engine->replace();
  });
}

void Site::setLoseOrderAnswers(bool Lose) {
  runOnLoop([&] {
    for (const auto &Engine : Engines_)
      Engine->setLoseOrderAnswers(Lose);
  });
}

void Site::setEngineSendsEndlessEvent(const std::string &Id) {
  runOnLoop([&] {
    for (const auto &Engine : Engines_)
      Engine->setSendsEndlessEvent(Engine->options().Id_ == Id);
  });
}

void Site::setCrashingPromptPart(const std::string &Part) {
  runOnLoop([&] {
    for (const auto &Engine : Engines_)
      Engine->setCrashingPromptPart(Part);
  });
}

void Site::setEnginePrefillTime(Duration Time) {
  runOnLoop([&] {
    for (const auto &Engine : Engines_)
      Engine->setPrefillTime(Time);
  });
}

void Site::setDeskFault(DeskFault Fault) {
  runOnLoop([&] {
    for (const auto &Desk : Desks_)
      Desk->setFault(Fault);
  });
}

void Site::setDeskLimit(const std::string &Id, std::optional<double> PerSecond) {
  runOnLoop([&] {
    for (const auto &Desk : Desks_)
      if (Desk->id() == Id)
        Desk->setLimit(PerSecond);
  });
}

void Site::unlistDesk(const std::string &Id) {
  runOnLoop([&] {
    UnlistedDesks_.insert(Id);
    Store_.append(EndpointTopic, {Id, std::nullopt});
  });
}

void Site::writeForeignEntry(const std::string &Id, const std::string &Value) {
  runOnLoop([&] { Store_.append(EndpointTopic, {Id, Value}); });
}

ActivityLog Site::activity() const {
  return runOnLoop([&] { return Activity_; });
}

std::map<std::string, std::size_t> Site::streamCounts(std::uint64_t Events) const {
  return runOnLoop([&] {
    std::map<std::string, std::size_t> Counts;
    for (const auto &Engine : Engines_)
      Counts[Engine->options().Id_] = Engine->countStreams(Events);
    return Counts;
  });
}

std::map<std::string, LayerRange> Site::layers() const {
  return runOnLoop([&] {
    std::map<std::string, LayerRange> Held;
    for (const auto &Engine : Engines_)
      if (Engine->runState() == FakeLayerEngine::RunState::Running && !Engine->leaving())
        Held[Engine->options().Id_] = Engine->layers();
    return Held;
  });
}

bool Site::holdsAllLayers(const std::string &DataCenter) const {
  std::set<std::uint32_t> Covered;
  for (const auto &[Id, Range] : layers())
    if (Id.starts_with(DataCenter))
      for (std::uint32_t Layer = Range.Begin_; Layer < Range.End_; ++Layer)
        Covered.insert(Layer);
  return Covered.size() == site::Layers;
}

} // namespace rattancart
