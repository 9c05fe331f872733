#pragma once

#include "Core/Layers/LayoutMetrics.h"
#include "Core/Layers/PlacementController.h"
#include "SiteModel/EventQueue.h"
#include "Tests/Core/Layers/Deployments.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rattancart::test {

/// The data centres of one site, each with an owner of its placement. Engines load layers, all of
/// them more slowly while more than the model's limit load.
class LossSimulation {
public:
  /// An order that an owner gave.
  struct GivenOrder {
    TimePoint At_;
    std::size_t DataCenter_ = 0;
    PlacementOrder Order_;
    /// Whether the owner knew the engine as silent.
    bool ToSilentEngine_ = false;
    /// The layers that the engine held before.
    LayerRange Held_;
  };

  /// States of engines arrive after ReportLag, those of other data centres with an interval of
  /// RemoteInterval.
  explicit LossSimulation(const std::vector<Deployment> &Site,
                          Duration RemoteInterval = std::chrono::seconds(3),
                          Duration ReportLag = std::chrono::milliseconds(200))
      : Model_(makeModel(80)), RemoteInterval_(RemoteInterval), ReportLag_(ReportLag) {
    for (const Deployment &Each : Site) {
      auto Added = std::make_unique<DataCenter>();
      Added->Id_ = DataCenterId(Each.Name_);
      Added->Owner_.setOwner(FencingNumber(1));
      for (PlannedEngine &Settled : settledLayout(Model_, makeEngines(Model_, Each))) {
        Settled.Id_ = EndpointId(std::string(Each.Name_) + " " + Settled.Id_.str());
        Added->Engines_.push_back({Settled});
      }
      DataCenters_.push_back(std::move(Added));
    }
    Queue_.every(TickInterval, [this] { step(); });
    Queue_.run(std::chrono::seconds(5));
    Queue_.every(ProbeInterval, [this] {
      for (const auto &Each : DataCenters_)
        probe(*Each);
    });
  }

  /// Engines of the data centre end; Downtime later they are back without layers.
  void restart(std::size_t Index, const std::vector<std::size_t> &Engines, Duration Downtime) {
    for (const std::size_t Each : Engines) {
      Engine &Lost = DataCenters_[Index]->Engines_[Each];
      Lost.Runs_ = Lost.Listed_ = false;
      Lost.LayersToLoad_ = 0;
      Lost.State_.Layers_ = {};
      Queue_.after(Downtime, [&Lost] {
        Lost.Runs_ = Lost.Listed_ = true;
        Lost.Orders_ = 0;
        ++Lost.Run_;
      });
    }
  }
  /// An engine of the data centre ends for good, and stays in the list. Connections to it are
  /// refused, or get no answer.
  void end(std::size_t Index, std::size_t EngineIndex, bool Refuses) {
    Engine &Lost = DataCenters_[Index]->Engines_[EngineIndex];
    Lost.Runs_ = false;
    Lost.Refuses_ = Refuses;
  }
  /// The entry of an engine that has ended expires.
  void unlist(std::size_t Index, std::size_t EngineIndex) {
    DataCenters_[Index]->Engines_[EngineIndex].Listed_ = false;
  }
  /// An engine of the data centre is listed as leaving, and accepts no orders.
  void leave(std::size_t Index, std::size_t EngineIndex) {
    Engine &Leaving = DataCenters_[Index]->Engines_[EngineIndex];
    Leaving.Runs_ = false;
    Leaving.Leaves_ = true;
  }
  /// The owner of the data centre receives nothing from Count of its engines for a time.
  void muffle(std::size_t Index, std::size_t Count, Duration Time, std::size_t First = 0) {
    for (std::size_t Each = First; Each < First + Count; ++Each)
      DataCenters_[Index]->Engines_[Each].MuffledUntil_ = Queue_.now() + Time;
  }
  /// Another process takes over the placement; it knows what the previous owner knew.
  void replaceOwner(std::size_t Index) {
    DataCenters_[Index]->Owner_ = PlacementController();
    DataCenters_[Index]->Owner_.setOwner(FencingNumber(2));
  }
  /// Owners poll each engine in each round, since all of them are busy, and not in every third one.
  void setBusy(bool Busy) { PolledRounds_ = Busy ? 1 : 3; }

  /// The number of other data centres that owners believe to hold the whole model; with fewer than
  /// two, they interrupt streams to close a gap.
  void setOthersWithWholeModel(std::size_t Others) { OthersWithWholeModel_ = Others; }

  void run(Duration Time) { Queue_.run(Time); }
  TimePoint now() const { return Queue_.now(); }
  std::vector<PlannedEngine> layout(std::size_t Index) const {
    std::vector<PlannedEngine> Serving;
    for (const Engine &Each : DataCenters_[Index]->Engines_)
      if (Each.Runs_ && Each.LayersToLoad_ <= 0)
        Serving.push_back(Each.State_);
    return Serving;
  }
  double tokens(std::size_t Index) const { return tokensInFlight(Model_, layout(Index)); }
  /// Indices of the engines of the data centre that hold a layer.
  std::vector<std::size_t> holders(std::size_t Index, std::uint32_t Layer) const {
    std::vector<std::size_t> Found;
    const std::vector<Engine> &Engines = DataCenters_[Index]->Engines_;
    for (std::size_t Each = 0; Each < Engines.size(); ++Each)
      if (Layer >= Engines[Each].State_.Layers_.Begin_ && Layer < Engines[Each].State_.Layers_.End_)
        Found.push_back(Each);
    return Found;
  }
  std::size_t engineCount(std::size_t Index) const { return DataCenters_[Index]->Engines_.size(); }
  /// Whether the engines that are left have memory for the whole model.
  bool couldHoldModel(std::size_t Index) const {
    const double MinTokenCapacity = 20'000;
    std::uint32_t Total = 0;
    for (const Engine &Each : DataCenters_[Index]->Engines_)
      if (Each.Runs_)
        Total += layerCapacity(Model_, *Each.State_.Kind_, MinTokenCapacity);
    return Total >= Model_.Layers_;
  }
  std::size_t mostLoads() const { return MostLoads_; }
  /// All orders since the start.
  const std::vector<GivenOrder> &orders() const { return Orders_; }
  std::size_t ordersSince(TimePoint Since) const {
    return static_cast<std::size_t>(std::count_if(
        Orders_.begin(), Orders_.end(), [&](const GivenOrder &Each) { return Each.At_ >= Since; }));
  }

private:
  static constexpr Duration TickInterval = std::chrono::milliseconds(200);
  static constexpr Duration ProbeInterval = std::chrono::milliseconds(50);
  /// A poll and the probe after it take this long without an answer.
  static constexpr Duration SilenceTimeout = std::chrono::milliseconds(150);
  static constexpr Duration SilentHold = std::chrono::milliseconds(1500);
  static constexpr Duration RecheckInterval = std::chrono::milliseconds(500);
  static constexpr Duration DoubtInterval = std::chrono::milliseconds(100);

  struct Engine {
    PlannedEngine State_;
    std::uint64_t Run_ = 1;
    std::uint64_t Orders_ = 0;
    bool Runs_ = true;
    bool Listed_ = true;
    bool Leaves_ = false;
    bool Refuses_ = false;
    /// Layers that it still has to load.
    double LayersToLoad_ = 0;
    TimePoint MuffledUntil_{};
    /// When the owner sent the poll that is not answered yet.
    std::optional<TimePoint> PolledAt_;

    bool answers(TimePoint Now) const { return Runs_ && Now >= MuffledUntil_; }
  };
  struct DataCenter {
    DataCenterId Id_;
    std::vector<Engine> Engines_;
    EndpointRoster Roster_;
    PlacementController Owner_;
  };

  void step() {
    load();
    const bool Remote = Queue_.now() >= NextRemote_;
    if (Remote)
      NextRemote_ = Queue_.now() + RemoteInterval_;
    for (const auto &From : DataCenters_)
      for (const auto &To : DataCenters_)
        if (From == To || Remote)
          sendStates(*From, *To);
    for (const auto &Each : DataCenters_)
      updatePlacement(*Each);
  }

  void updatePlacement(DataCenter &At) {
    const auto Index =
        static_cast<std::size_t>(std::find_if(DataCenters_.begin(), DataCenters_.end(),
                                              [&](const auto &Each) { return Each.get() == &At; }) -
                                 DataCenters_.begin());
    for (const PlacementOrder &Order :
         At.Owner_.tick(Model_, Service_, {At.Id_, DataCenters_.size(), OthersWithWholeModel_},
                        At.Roster_, Queue_.now())) {
      Orders_.push_back({Queue_.now(), Index, Order,
                         At.Roster_.find(Order.Engine_)->silent(Queue_.now()),
                         At.Roster_.find(Order.Engine_)->layersOf(Model_)});
      At.Owner_.onOrderEnded(Order, take(At, Order), Queue_.now());
    }
  }

  void load() {
    std::size_t Loads = 0;
    for (const auto &Each : DataCenters_)
      Loads += static_cast<std::size_t>(
          std::count_if(Each->Engines_.begin(), Each->Engines_.end(),
                        [](const Engine &One) { return One.LayersToLoad_ > 0; }));
    MostLoads_ = std::max(MostLoads_, Loads);
    const double Slowdown = std::max(1.0, static_cast<double>(Loads) / Model_.ConcurrentLoads_);
    const double Loaded = std::chrono::duration<double>(TickInterval) /
                          std::chrono::duration<double>(Model_.LoadTime_) * Model_.Layers_ /
                          Slowdown;
    for (const auto &Each : DataCenters_)
      for (Engine &One : Each->Engines_)
        One.LayersToLoad_ = std::max(0.0, One.LayersToLoad_ - Loaded);
  }

  void sendStates(const DataCenter &From, DataCenter &To) {
    for (const Engine &Each : From.Engines_) {
      if (!Each.Listed_)
        continue;
      EndpointListing Listing;
      Listing.Id_ = Each.State_.Id_;
      Listing.Service_ = Service_;
      Listing.Address_ = NetAddress(Each.State_.Id_.str());
      Listing.DataCenter_ = From.Id_;
      Listing.Run_ = Incarnation(Each.Run_);
      Listing.Kind_ = Each.State_.Kind_->Name_;
      Listing.State_ = Each.Leaves_ ? EndpointState::Leaving : EndpointState::Live;
      Listing.Layers_ = Each.LayersToLoad_ > 0 ? LayerRange{} : Each.State_.Layers_;
      std::optional<EngineReport> Report;
      if (Each.answers(Queue_.now())) {
        Report.emplace();
        Report->Run_ = Listing.Run_;
        Report->Busy_ = Each.LayersToLoad_ > 0;
        Report->Layers_ = Report->Busy_ ? LayerRange{} : Each.State_.Layers_;
        Report->Orders_ = Each.Orders_;
      }
      // Owners pass on which engines they find silent.
      const EndpointRecord *Known = From.Roster_.find(Listing.Id_);
      const bool Silent = &From != &To && Known && Known->silent(Queue_.now());
      Queue_.after(ReportLag_, [this, &To, Listing, Report, Silent, MeasuredAt = Queue_.now()] {
        To.Roster_.updateListing(Listing, MeasuredAt);
        if (Silent)
          To.Roster_.markSilent(Listing.Id_, Queue_.now(), Queue_.now() + SilentHold);
        if (Report)
          To.Roster_.updateReport(Listing.Id_, *Report, MeasuredAt);
      });
    }
    if (&From != &To)
      return;
    for (const Engine &Each : From.Engines_)
      if (!Each.Listed_)
        To.Roster_.removeListing(Each.State_.Id_, std::nullopt, Queue_.now());
  }

  /// The owner of a data centre polls its engines and probes the silent ones, as EngineProber does.
  void probe(DataCenter &At) {
    const TimePoint Now = Queue_.now();
    const auto IsDue = [&](Duration Interval) {
      return Now.time_since_epoch() % Interval == Duration{};
    };
    const std::vector<EndpointId> Doubtful = At.Owner_.doubtfulEngines();
    bool Changed = !Doubtful.empty() && IsDue(DoubtInterval);
    for (std::size_t Index = 0; Index < At.Engines_.size(); ++Index) {
      Engine &Each = At.Engines_[Index];
      const EndpointRecord *Record = At.Roster_.find(Each.State_.Id_);
      if (!Record || !Each.Listed_)
        continue;
      const EndpointId &Id = Each.State_.Id_;
      if (Record->silent(Now)) {
        const bool Doubted = std::find(Doubtful.begin(), Doubtful.end(), Id) != Doubtful.end();
        if (IsDue(RecheckInterval) || (Doubted && IsDue(DoubtInterval)))
          onProbed(At, Each);
        continue;
      }
      const auto Round = static_cast<std::size_t>(Now.time_since_epoch() / TickInterval) + Index;
      if (!Each.PolledAt_ && IsDue(TickInterval) &&
          Round % (Doubtful.empty() ? PolledRounds_ : 1) == 0)
        Each.PolledAt_ = Now;
      if (!Each.PolledAt_)
        continue;
      if (!Each.answers(Now) && !Each.Refuses_ && Now - *Each.PolledAt_ < SilenceTimeout)
        continue;
      Each.PolledAt_.reset();
      onProbed(At, Each);
      Changed |= !Each.answers(Now);
    }
    if (Changed)
      updatePlacement(At);
  }

  void onProbed(DataCenter &At, const Engine &Probed) {
    const TimePoint Now = Queue_.now();
    if (Probed.answers(Now))
      return At.Roster_.markHeard(Probed.State_.Id_, Now);
    if (Probed.Refuses_)
      At.Roster_.noteConnectionRefused(Probed.State_.Id_, Now);
    At.Roster_.markSilent(Probed.State_.Id_, Now, Now + SilentHold);
  }

  OrderOutcome take(DataCenter &At, const PlacementOrder &Order) {
    const auto Found =
        std::find_if(At.Engines_.begin(), At.Engines_.end(),
                     [&](const Engine &Each) { return Each.State_.Id_ == Order.Engine_; });
    if (!Found->answers(Queue_.now()))
      return OrderOutcome::Unknown;
    if (Found->LayersToLoad_ > 0 || Found->Orders_ != Order.ExpectedOrders_)
      return OrderOutcome::Conflict;
    ++Found->Orders_;
    for (std::uint32_t Layer = Order.Layers_.Begin_; Layer < Order.Layers_.End_; ++Layer)
      if (Layer < Found->State_.Layers_.Begin_ || Layer >= Found->State_.Layers_.End_)
        ++Found->LayersToLoad_;
    Found->State_.Layers_ = Order.Layers_;
    return OrderOutcome::Accepted;
  }

  const ServiceId Service_{"model"};
  LayeredModel Model_;
  Duration RemoteInterval_;
  Duration ReportLag_;
  EventQueue Queue_;
  std::vector<std::unique_ptr<DataCenter>> DataCenters_;
  TimePoint NextRemote_{};
  std::size_t MostLoads_ = 0;
  std::size_t PolledRounds_ = 3;
  std::size_t OthersWithWholeModel_ = 2;
  std::vector<GivenOrder> Orders_;
};

} // namespace rattancart::test
