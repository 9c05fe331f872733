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

constexpr std::chrono::seconds AwaitLimit{30};
constexpr std::chrono::milliseconds AwaitStep{20};

/// A free port, so that a process can be started again at the address that others know. Ports are
/// taken below the range from which the system gives ephemeral ones to connections.
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

std::vector<EntryInstance> planEntries(const DeploymentSpec &Spec) {
  std::vector<EntryInstance> Entries;
  for (const std::string &DataCenter : Spec.DataCenters_) {
    for (std::size_t Pair = 0; Pair < Spec.PairsPerDataCenter_; ++Pair) {
      EntryInstance Entry;
      Entry.Name_ = fmt::format("entry-{}-{}", DataCenter, Pair);
      Entry.DataCenter_ = DataCenter;
      Entry.FrameAddress_ = freeAddress();
      Entry.AdminAddress_ = freeAddress();
      Entry.CallerAddress_ = freeAddress();
      Entry.StateAddress_ = freeAddress();
      Entries.push_back(std::move(Entry));
    }
  }
  return Entries;
}

} // namespace

Deployment::Deployment(DeploymentSpec Spec)
    : Spec_(std::move(Spec)), Folder_(std::filesystem::temp_directory_path() /
                                      fmt::format("rattancart-system-{}", getpid())),
      Cluster_(Spec_.PlatformArguments_), Entries_(planEntries(Spec_)) {
  std::filesystem::create_directories(Folder_);
  Cluster_.start(Spec_.Endpoints_);
  writeSettings();
  for (EntryInstance &Entry : Entries_)
    startControl(Entry);
  for (EntryInstance &Entry : Entries_)
    startRouter(Entry);
  const ProgramResult Applied = ctl({"apply", writeFile("settings.yaml", Spec_.Settings_)});
  if (Applied.ExitCode_ != 0)
    throw std::runtime_error("the settings were not applied: " + Applied.Output_);
  awaitEndpoints(Spec_.Endpoints_.size());
}

Deployment::~Deployment() {
  Entries_.clear();
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
  for (const EntryInstance &Entry : Entries_)
    writeEntrySettings(Entry, Hash.Output_.substr(0, Hash.Output_.find('\n')));
}

void Deployment::writeEntrySettings(const EntryInstance &Entry, const std::string &TokenHash) {
  std::string DataCenters;
  for (const std::string &DataCenter : Spec_.DataCenters_)
    DataCenters += (DataCenters.empty() ? "" : ", ") + DataCenter;
  std::string Peers;
  // The own control first, then those of the own data centre, then the others.
  std::string Controls = "  - " + Entry.FrameAddress_.str() + "\n";
  std::string Remote;
  for (const EntryInstance &Other : Entries_) {
    if (&Other == &Entry)
      continue;
    const std::string Line = "  - " + route(Entry, Other).str() + "\n";
    Peers += Line;
    (Other.DataCenter_ == Entry.DataCenter_ ? Controls : Remote) += Line;
  }
  NetAddress Platform = Cluster_.platformAddress();
  if (Spec_.Relayed_ && isFirst(Entry))
    Platform = relayed(Platform);
  writeFile(Entry.Name_ + "-control.yaml",
            fmt::format("instance: {}\ndata-center: {}\nframe-listen: {}\nadmin-listen: {}\n"
                        "platform: {}\n{}{}data-centers: [{}]\nbootstrap-token-hash: \"{}\"\n",
                        Entry.Name_, Entry.DataCenter_, Entry.FrameAddress_.str(),
                        Entry.AdminAddress_.str(), Platform.str(), Peers.empty() ? "" : "peers:\n",
                        Peers, DataCenters, TokenHash));
  writeFile(Entry.Name_ + "-router.yaml",
            fmt::format("instance: {}\ndata-center: {}\nlisten: {}\nstate-listen: {}\n"
                        "controls:\n{}{}shutdown: {{grace: 300ms, limit: 60s}}\n",
                        Entry.Name_, Entry.DataCenter_, Entry.CallerAddress_.str(),
                        Entry.StateAddress_.str(), Controls, Remote));
}

NetAddress Deployment::route(const EntryInstance &From, const EntryInstance &To) {
  const bool Crosses = Spec_.Relayed_ && (isFirst(From) || isFirst(To));
  return Crosses ? relayed(To.FrameAddress_) : To.FrameAddress_;
}

NetAddress Deployment::relayed(const NetAddress &Target) {
  Relays_.push_back(std::make_unique<Relay>(Target));
  return Relays_.back()->address();
}

void Deployment::isolate() {
  for (const auto &Item : Relays_) {
    Item->blackholeOpen();
    Item->blackholeNew();
  }
}

void Deployment::rejoin() {
  for (const auto &Item : Relays_)
    Item->forward();
}

void Deployment::startControl(EntryInstance &Entry) {
  Entry.Control_.reset();
  Entry.Control_ = std::make_unique<ChildProcess>(ProgramCommand{
      "rattancart-control", {"--settings", (Folder_ / (Entry.Name_ + "-control.yaml")).string()}});
  Entry.Control_->awaitLine("listening ");
}

void Deployment::startRouter(EntryInstance &Entry) {
  Entry.Router_.reset();
  Entry.Router_ = std::make_unique<ChildProcess>(ProgramCommand{
      "rattancart-router", {"--settings", (Folder_ / (Entry.Name_ + "-router.yaml")).string()}});
  Entry.Router_->awaitLine("listening ");
}

std::vector<NetAddress> Deployment::routers() const {
  std::vector<NetAddress> Addresses;
  Addresses.reserve(Entries_.size());
  for (const EntryInstance &Entry : Entries_)
    Addresses.push_back(Entry.CallerAddress_);
  return Addresses;
}

boost::json::value Deployment::state(const NetAddress &Address) {
  return http().getJson(Address, "/v1/state");
}

std::size_t Deployment::usableEndpoints(const NetAddress &State) {
  const boost::json::value Dump = state(State);
  if (!Dump.is_object() || !Dump.at("not_ready").as_string().empty())
    return 0;
  std::size_t Usable = 0;
  for (const boost::json::value &Item : Dump.at("endpoints").as_array())
    Usable += Item.at("may_take_work").as_bool() ? 1 : 0;
  return Usable;
}

void Deployment::awaitEndpoints(std::size_t Count) {
  for (const EntryInstance &Entry : Entries_)
    await("endpoints of " + Entry.Name_,
          [&] { return usableEndpoints(Entry.StateAddress_) == Count; });
}

void Deployment::await(std::string_view What, const std::function<bool()> &Condition) {
  const auto Limit = std::chrono::steady_clock::now() + AwaitLimit;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > Limit)
      throw std::runtime_error("waited in vain for " + std::string(What));
    std::this_thread::sleep_for(AwaitStep);
  }
}

ProgramResult Deployment::ctl(std::vector<std::string> Arguments) {
  std::vector<std::string> All;
  for (const EntryInstance &Entry : Entries_) {
    All.emplace_back("--control");
    All.push_back(Entry.AdminAddress_.str());
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
