#include "Core/Admission/AdmissionController.h"
#include "Core/Admission/LimitShareAllocator.h"
#include "Core/Routing/CapacityPolicy.h"
#include "Core/Routing/ChainPlanner.h"

#include <fmt/format.h>

#include <fstream>
#include <random>
#include <string>
#include <vector>

/// Measures time and memory of admission, limit shares and chain planning for different numbers of
/// customers, routers and engines. Prints lines "NAME VALUE UNIT".
namespace {

using namespace rattancart;

double residentMb() {
  std::ifstream In("/proc/self/statm");
  double Total = 0;
  double Resident = 0;
  In >> Total >> Resident;
  return Resident * 4096 / 1e6;
}

class Stopwatch {
public:
  /// Microseconds since the start, divided by Count.
  double microsecondsPer(double Count) const {
    const auto Took = std::chrono::steady_clock::now() - Start_;
    return std::chrono::duration<double, std::micro>(Took).count() / Count;
  }

private:
  std::chrono::steady_clock::time_point Start_ = std::chrono::steady_clock::now();
};

CustomerId customer(std::size_t Index) { return CustomerId("customer-" + std::to_string(Index)); }

void measureAdmission(std::size_t Customers, std::size_t Queued) {
  AdmissionOptions Options;
  Options.RefuseEarly_ = false;
  Options.MaxQueued_ = Queued + 1;
  Options.MakeLimit_ = [](const PoolId &) { return makeFixedConcurrency(1); };
  AdmissionController Controller(Options);
  auto View = std::make_shared<SettingsView>();
  View->DefaultLimit_ = {1e6, 1e9, 100000, 1};
  ManualClock Time;
  Controller.setView(View, Time.now());
  const double Before = residentMb();
  std::mt19937_64 Random(1);
  AdmissionRequest Request{customer(0), PoolId("m"), PriorityClass(1),
                           64,          64,          Time.now() + std::chrono::hours(1)};
  AdmissionTicket Running = Controller.submit(Request, Time.now()).Ticket_;
  for (std::size_t I = 0; I < Queued; ++I) {
    Request.Customer_ = customer(I % Customers);
    Controller.submit(Request, Time.now());
  }
  const double Held = residentMb() - Before;
  constexpr int Count = 2000;
  const Stopwatch Timer;
  for (int I = 0; I < Count; ++I) {
    Controller.finish(Running, {}, Time.now());
    Running = Controller.processQueues(Time.now()).Admitted_.at(0);
    Request.Customer_ = customer(Random() % Customers);
    Controller.submit(Request, Time.now());
  }
  const std::string Name = fmt::format("admission.{}_customers.{}_queued", Customers, Queued);
  fmt::print("{}.cycle {:.3g} us\n{}.memory {:.3g} MB\n", Name, Timer.microsecondsPer(Count), Name,
             Held);
}

void measureShares(std::size_t Customers, std::size_t Routers, std::size_t Controls) {
  std::vector<DataCenterId> DataCenters;
  DataCenters.reserve(7);
  for (int I = 0; I < 7; ++I)
    DataCenters.emplace_back("dc" + std::to_string(I));
  LimitShareAllocator Shares({DataCenters[0], DataCenters});
  std::vector<CustomerDemand> Demand;
  Demand.reserve(Customers);
  for (std::size_t I = 0; I < Customers; ++I)
    Demand.push_back({customer(I), 3, 700});
  const double Before = residentMb();
  ManualClock Time;
  constexpr int Count = 5;
  const Stopwatch Timer;
  for (int Round = 0; Round < Count; ++Round) {
    for (std::size_t I = 0; I < Routers; ++I)
      Shares.reportRouter(InstanceId("r" + std::to_string(I)), Demand, Time.now());
    for (std::size_t I = 0; I < Controls; ++I)
      Shares.reportControl(InstanceId("c" + std::to_string(I)), DataCenters[I % 7], Demand,
                           Time.now());
    Shares.compute(Time.now());
    for (std::size_t I = 0; I < Routers; ++I)
      Shares.sharesOf(InstanceId("r" + std::to_string(I)));
  }
  const std::string Name =
      fmt::format("shares.{}_customers.{}_routers.{}_controls", Customers, Routers, Controls);
  fmt::print("{}.second {:.4g} us\n{}.memory {:.3g} MB\n", Name, Timer.microsecondsPer(Count), Name,
             residentMb() - Before);
}

void measurePlan(std::uint32_t Engines) {
  EndpointTable Table;
  ManualClock Time;
  std::mt19937_64 Random(1);
  const ModelSpec Spec{ModelId("m"), ModelVersion("1"), 48, 16384, 256};
  for (std::uint32_t I = 0; I < Engines; ++I) {
    Endpoint Engine;
    Engine.Id_ = EndpointId("engine-" + std::to_string(I));
    Engine.Kind_ = EndpointKind::Engine;
    Engine.Model_ = Spec.Model_;
    Engine.Version_ = Spec.Version_;
    Engine.Layers_ = {I % 3 * 16, I % 3 * 16 + 16};
    Engine.Load_.BatchSlots_ = 8;
    Engine.Load_.StepTime_ = std::chrono::milliseconds(3 + I % 5);
    Engine.Load_.Active_ = static_cast<std::uint32_t>(Random() % 20);
    Engine.Load_.LinkBytesPerSecond_ = 1e9;
    Table.apply(Engine, Time.now());
  }
  EngineLoadEstimator Load;
  ChainPlanner Planner(Table, Load, std::make_unique<CapacityPolicy>(CapacityPolicyOptions{2, 56}),
                       Random);
  constexpr int Count = 300;
  const Stopwatch Timer;
  for (int I = 0; I < Count; ++I)
    if (!Planner.plan({Spec, {128, 64}, {}, {}}))
      return;
  fmt::print("plan.capacity.{}_engines {:.4g} us\n", Engines, Timer.microsecondsPer(Count));
}

} // namespace

int main() {
  for (const std::size_t Queued : {64, 256, 1024})
    measureAdmission(8300, Queued);
  for (const std::size_t Customers : {1000, 8300})
    for (const std::size_t Routers : {1, 4})
      measureShares(Customers, Routers, 0);
  measureShares(8300, 1, 6);
  measureShares(8300, 1, 55);
  for (const std::uint32_t Engines : {12U, 81U, 186U, 1300U})
    measurePlan(Engines);
}
