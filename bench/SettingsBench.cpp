#include "BenchTimer.h"

#include "Core/Settings/SettingsLog.h"
#include "Core/Settings/SettingsReplica.h"

#include <fmt/core.h>
#include <malloc.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

using namespace rattancart;

namespace {

constexpr int Customers = 8300;
constexpr int SmallCustomers = Customers / 10;
constexpr int Models = 16;
constexpr int Teams = 100;
constexpr int RoutesPerTeam = 4;
constexpr double ChangesPerDay = 3600;
constexpr double NanosecondsPerDay = 86400e9;

std::string changeRecord(std::int64_t Offset, const std::string &Edits) {
  return fmt::format(R"({{"schema":1,"kind":"change","id":"change-{:016x}","author":"bootstrap",)"
                     R"("base":{},"edits":[{}]}})",
                     Offset, Offset - 1, Edits);
}

std::string teamEdit(int Team, int TeamCustomers) {
  std::string Limits;
  for (int Customer = 0; Customer < TeamCustomers; ++Customer)
    Limits += fmt::format(R"({}"customer-{:05}":{{"requests-per-second":{},"tokens-per-second":)"
                          R"({},"concurrent":16,"weight":[{}]}})",
                          Customer == 0 ? "" : ",", Customer * Teams + Team, 10 + Customer,
                          1000 + Customer, R"("1.5")");
  std::string Routes;
  for (int Route = 0; Route < RoutesPerTeam; ++Route)
    Routes += fmt::format(R"({}"route-{}":{{"match":{{"method":"POST","path":"/t{}/r{}"}},)"
                          R"("model":"model-{}","version":"1","timeout":"30s"}})",
                          Route == 0 ? "" : ",", Route, Team, Route, Team % Models);
  std::string ModelsField;
  if (Team < Models)
    ModelsField = fmt::format(R"(,"models":{{"model-{}":{{"1":{{"layer-count":64}}}}}})", Team);
  return fmt::format(R"({{"path":"/teams/team-{}","value":{{"limits":{{{}}},"routes":{{{}}}{}}}}})",
                     Team, Limits, Routes, ModelsField);
}

void fill(SettingsReplica &Replica, int CustomerCount) {
  for (int Team = 0; Team < Teams; ++Team) {
    const LogOffset Offset = Replica.offset().next();
    Replica.applyRecord(Offset,
                        changeRecord(Offset.value(), teamEdit(Team, CustomerCount / Teams)));
  }
}

double heapBytes() { return static_cast<double>(mallinfo2().uordblks); }

double replicaBytes(int CustomerCount, bool WithView) {
  const double Before = heapBytes();
  const auto Replica = std::make_unique<SettingsReplica>();
  fill(*Replica, CustomerCount);
  if (WithView)
    static_cast<void>(Replica->view());
  return heapBytes() - Before;
}

void benchMemory() {
  for (const bool WithView : {false, true}) {
    const double Small = replicaBytes(SmallCustomers, WithView);
    const double Large = replicaBytes(Customers, WithView);
    const char *Name = WithView ? "settings_replica_and_view" : "settings_replica";
    fmt::print("{}_bytes {:.0f} bytes\n", Name, Large);
    constexpr double AddedCustomers = Customers - SmallCustomers;
    fmt::print("{}_bytes_per_customer {:.0f} bytes\n", Name, (Large - Small) / AddedCustomers);
  }
}

std::string limitChange(SettingsReplica &Replica) {
  const std::int64_t Offset = Replica.offset().value() + 1;
  return changeRecord(
      Offset,
      fmt::format(R"({{"path":"/teams/team-{}/limits/customer-{:05}/concurrent","value":{}}})",
                  Offset % Teams, Offset % Teams, 1 + Offset % 50));
}

void benchChanges(SettingsReplica &Replica) {
  // The state keeps the ids of changes until the next snapshot; a snapshot follows the changes of
  // each hour.
  constexpr std::int64_t SnapshotEvery = 150;
  using Clock = std::chrono::steady_clock;
  constexpr int Runs = 2000;
  Clock::duration Applying{};
  Clock::duration Viewing{};
  for (int Run = 0; Run < Runs; ++Run) {
    if (Run % SnapshotEvery == 0)
      Replica.applyRecord(Replica.offset().next(),
                          fmt::format(R"({{"schema":1,"kind":"snapshot","covered":{}}})",
                                      Replica.offset().value()));
    const std::string Body = limitChange(Replica);
    const auto Begin = Clock::now();
    const ReplicaResult Outcome = Replica.applyRecord(Replica.offset().next(), Body);
    const auto Applied = Clock::now();
    const SettingsViewPtr View = Replica.view();
    Viewing += Clock::now() - Applied;
    Applying += Applied - Begin;
    if (Outcome.Decision_->Kind_ != SettingsDecision::Kind::Accepted)
      fmt::print(stderr, "not accepted: {}\n", Outcome.Decision_->Detail_);
  }
  const double Apply = std::chrono::duration<double, std::nano>(Applying).count() / Runs;
  const double View = std::chrono::duration<double, std::nano>(Viewing).count() / Runs;
  fmt::print("settings_apply_change {:.0f} ns\n", Apply);
  fmt::print("settings_compile_view {:.0f} ns\n", View);
  fmt::print("settings_cpu_share_of_changes {:.6f} %\n",
             100 * ChangesPerDay * (Apply + View) / NanosecondsPerDay);
}

} // namespace

int main() {
  benchMemory();
  SettingsReplica Replica;
  fill(Replica, Customers);
  benchChanges(Replica);
  const std::string Image = Replica.log().image();
  fmt::print("settings_image_bytes {} bytes\n", Image.size());
  fmt::print("settings_record_bytes {} bytes\n", limitChange(Replica).size());
  std::size_t Sink = 0;
  measure("settings_write_image", [&] { Sink += Replica.log().image().size(); });
  measure("settings_read_image", [&] { Sink += SettingsLog::fromImage(Image)->tree().size(); });
  measure("settings_digest", [&] { Sink += Replica.digest(); });
  return Sink == 0 ? 1 : 0;
}
