#include "Tests/System/Deployment.h"

#include <boost/asio/ip/tcp.hpp>

#include <fmt/format.h>

#include <fstream>
#include <stdexcept>
#include <thread>
#include <unistd.h>
#include <utility>

namespace rattancart {

namespace {

constexpr std::chrono::seconds AwaitTimeout{30};
constexpr std::chrono::milliseconds PollInterval{20};

/// Returns a loopback address with a free port. The port is fixed so that a process can be started
/// again at the address that others know, and below the range of ephemeral ports, since a
/// connection could take one of those while the process is down.
NetAddress freeAddress() {
  static std::uint16_t Next = static_cast<std::uint16_t>(12'000 + getpid() % 18'000);
  boost::asio::io_context Loop;
  for (;;) {
    if (++Next > 31'000)
      Next = 12'000;
    boost::asio::ip::tcp::acceptor Probe(Loop, boost::asio::ip::tcp::v4());
    boost::system::error_code Failure;
    Probe.bind({boost::asio::ip::make_address("127.0.0.1"), Next}, Failure);
    if (!Failure)
      return NetAddress(fmt::format("127.0.0.1:{}", Next));
  }
}

std::vector<RouterControlPair> planPairs(const DeploymentSpec &Spec) {
  std::vector<RouterControlPair> Pairs;
  for (const std::string &DataCenter : Spec.DataCenters_) {
    for (std::size_t PairIndex = 0; PairIndex < Spec.PairsPerDataCenter_; ++PairIndex) {
      RouterControlPair Pair;
      Pair.Name_ = fmt::format("entry-{}-{}", DataCenter, PairIndex);
      Pair.DataCenter_ = DataCenter;
      Pair.FrameAddress_ = freeAddress();
      Pair.AdminAddress_ = freeAddress();
      Pair.CallerAddress_ = freeAddress();
      Pair.StateAddress_ = freeAddress();
      Pairs.push_back(std::move(Pair));
    }
  }
  return Pairs;
}

} // namespace

Deployment::Deployment(DeploymentSpec Spec)
    : Spec_(std::move(Spec)), Folder_(std::filesystem::temp_directory_path() /
                                      fmt::format("rattancart-system-{}", getpid())),
      Cluster_(Spec_.PlatformArguments_), Pairs_(planPairs(Spec_)) {
  std::filesystem::create_directories(Folder_);
  Cluster_.start(Spec_.Endpoints_);
  writeSettings();
  for (RouterControlPair &Pair : Pairs_)
    startControl(Pair);
  for (RouterControlPair &Pair : Pairs_)
    startRouter(Pair);
  const ProgramResult Applied = ctl({"apply", writeFile("settings.yaml", Spec_.Settings_)});
  if (Applied.ExitCode_ != 0)
    throw std::runtime_error("the settings were not applied: " + Applied.Output_);
  awaitEndpoints(Spec_.Endpoints_.size());
}

Deployment::~Deployment() {
  Pairs_.clear();
  std::error_code Ignored;
  std::filesystem::remove_all(Folder_, Ignored);
}

std::string Deployment::writeFile(const std::string &Name, const std::string &Text) {
  const std::filesystem::path Path = Folder_ / Name;
  std::ofstream(Path) << Text;
  return Path.string();
}

void Deployment::writeSettings() {
  const ProgramResult Hash = runProgram({"rattancartctl", {"hash-token", Token}});
  for (const RouterControlPair &Pair : Pairs_)
    writePairSettings(Pair, Hash.Output_.substr(0, Hash.Output_.find('\n')));
}

void Deployment::writePairSettings(const RouterControlPair &Pair, const std::string &TokenHash) {
  std::string DataCenters;
  for (const std::string &DataCenter : Spec_.DataCenters_)
    DataCenters += (DataCenters.empty() ? "" : ", ") + DataCenter;
  std::string Peers;
  // A router prefers its own control, then those of its data centre, then the others.
  std::string Controls = "  - " + Pair.FrameAddress_.str() + "\n";
  std::string Remote;
  for (const RouterControlPair &Other : Pairs_) {
    if (&Other == &Pair)
      continue;
    const std::string Line = "  - " + addressSeenFrom(Pair, Other).str() + "\n";
    Peers += Line;
    (Other.DataCenter_ == Pair.DataCenter_ ? Controls : Remote) += Line;
  }
  NetAddress Platform = Cluster_.platformAddress();
  if (Spec_.Relayed_ && isFirst(Pair))
    Platform = addRelay(Platform);
  writeFile(Pair.Name_ + "-control.yaml",
            fmt::format("instance: {}\ndata-center: {}\nframe-listen: {}\nadmin-listen: {}\n"
                        "platform: {}\n{}{}data-centers: [{}]\nbootstrap-token-hash: \"{}\"\n",
                        Pair.Name_, Pair.DataCenter_, Pair.FrameAddress_.str(),
                        Pair.AdminAddress_.str(), Platform.str(), Peers.empty() ? "" : "peers:\n",
                        Peers, DataCenters, TokenHash));
  writeFile(Pair.Name_ + "-router.yaml",
            fmt::format("instance: {}\ndata-center: {}\nlisten: {}\nstate-listen: {}\n"
                        "controls:\n{}{}shutdown: {{grace: 300ms, limit: 60s}}\n",
                        Pair.Name_, Pair.DataCenter_, Pair.CallerAddress_.str(),
                        Pair.StateAddress_.str(), Controls, Remote));
}

NetAddress Deployment::addressSeenFrom(const RouterControlPair &From, const RouterControlPair &To) {
  const bool Crosses = Spec_.Relayed_ && (isFirst(From) || isFirst(To));
  return Crosses ? addRelay(To.FrameAddress_) : To.FrameAddress_;
}

NetAddress Deployment::addRelay(const NetAddress &Target) {
  Relays_.push_back(std::make_unique<Relay>(Target));
  return Relays_.back()->address();
}

void Deployment::isolateFirstPair() {
  for (const auto &Item : Relays_) {
    Item->blackholeOpen();
    Item->blackholeNew();
  }
}

void Deployment::reconnectFirstPair() {
  for (const auto &Item : Relays_)
    Item->forward();
}

void Deployment::startControl(RouterControlPair &Pair) {
  Pair.Control_.reset();
  Pair.Control_ = std::make_unique<ChildProcess>(ProgramCommand{
      "rattancart-control", {"--settings", (Folder_ / (Pair.Name_ + "-control.yaml")).string()}});
  Pair.Control_->awaitLine("listening ");
}

void Deployment::startRouter(RouterControlPair &Pair) {
  Pair.Router_.reset();
  Pair.Router_ = std::make_unique<ChildProcess>(ProgramCommand{
      "rattancart-router", {"--settings", (Folder_ / (Pair.Name_ + "-router.yaml")).string()}});
  Pair.Router_->awaitLine("listening ");
}

std::vector<NetAddress> Deployment::routers() const {
  std::vector<NetAddress> Addresses;
  Addresses.reserve(Pairs_.size());
  for (const RouterControlPair &Pair : Pairs_)
    Addresses.push_back(Pair.CallerAddress_);
  return Addresses;
}

boost::json::value Deployment::state(const NetAddress &Address) {
  return http().getJson(Address, "/v1/state");
}

std::size_t Deployment::countUsableEndpoints(const NetAddress &State) {
  const boost::json::value Dump = state(State);
  if (!Dump.is_object() || !Dump.at("not_ready").as_string().empty())
    return 0;
  std::size_t Usable = 0;
  for (const boost::json::value &Item : Dump.at("endpoints").as_array())
    Usable += Item.at("may_take_work").as_bool() ? 1 : 0;
  return Usable;
}

void Deployment::awaitEndpoints(std::size_t Count) {
  for (const RouterControlPair &Pair : Pairs_)
    await("endpoints of " + Pair.Name_,
          [&] { return countUsableEndpoints(Pair.StateAddress_) == Count; });
}

void Deployment::await(std::string_view What, const std::function<bool()> &Condition) {
  const auto Limit = std::chrono::steady_clock::now() + AwaitTimeout;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > Limit)
      throw std::runtime_error("timeout while waiting for " + std::string(What));
    std::this_thread::sleep_for(PollInterval);
  }
}

ProgramResult Deployment::ctl(std::vector<std::string> Arguments) {
  std::vector<std::string> All;
  for (const RouterControlPair &Pair : Pairs_) {
    All.emplace_back("--control");
    All.push_back(Pair.AdminAddress_.str());
  }
  All.emplace_back("--token");
  All.emplace_back(Token);
  All.insert(All.end(), Arguments.begin(), Arguments.end());
  return runProgram({"rattancartctl", All});
}

std::string testSettings() {
  return R"(
teams:
  test:
    routes:
      answers:
        match: { method: POST, path: /answers }
        model: brief
        version: "3"
        safety: idempotent
        timeout: 60s
      streams:
        match: { method: POST, path: /streams }
        model: brief
        version: "3"
        delivery: stream
        safety: idempotent
        timeout: 60s
      bookings:
        match: { method: POST, path: /bookings }
        service: lift-desk
        safety: at-most-once
        key: { header: idempotency-key }
        timeout: 8s
      lookups:
        match: { method: GET, path: /bookings }
        service: lift-desk
        safety: safe
        timeout: 8s
        retry-percent: 100
    models:
      brief:
        "3": { layer-count: 48, activation-bytes: 4096, max-tokens: 512 }
    services:
      lift-desk: { dedup-window: 1h }
defaults:
  limit: { requests-per-second: 100000, tokens-per-second: 10000000, concurrent: 10000 }
)";
}

std::vector<EndpointSpec> stageEngines(std::size_t Copies, std::vector<std::string> Arguments) {
  Arguments.insert(Arguments.end(), {"--model", "brief", "--version", "3"});
  std::vector<EndpointSpec> Specs;
  for (std::size_t Copy = 0; Copy < Copies; ++Copy)
    for (std::uint32_t Stage = 0; Stage < 3; ++Stage)
      Specs.push_back(engineSpec(fmt::format("eng-{}-{}", Copy, Stage),
                                 {Stage * 16, Stage * 16 + 16}, 48, Arguments));
  return Specs;
}

} // namespace rattancart
