#pragma once

#include "Core/Admission/ClassReserve.h"
#include "Core/Layers/LayoutMetrics.h"
#include "Core/Layers/PathChooser.h"
#include "Core/Recovery/RetryShare.h"
#include "SiteModel/EventQueue.h"
#include "Tests/Core/Layers/Deployments.h"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

namespace rattancart::test {

/// One class of requests.
struct LoadClass {
  std::uint32_t Priority_ = 0;
  /// Its part of all requests.
  double Share_ = 1;
};

/// The load of a site.
struct SiteLoadOptions {
  /// Gateways of each data centre.
  std::size_t Gateways_ = 25;
  double RequestsPerGateway_ = 4.5;
  /// The part of the tokens that the engines can hold that is in flight if everything is served at
  /// once.
  double UsedShare_ = 0.75;
  std::vector<LoadClass> Classes_ = {{0, 1}};
  /// Whether gateways count what the others may send at the same time.
  bool Contended_ = true;
  unsigned Seed_ = 1;
};

/// What became of the requests of one class.
struct LoadOutcome {
  std::size_t FirstSends_ = 0;
  std::size_t Resumes_ = 0;
  std::size_t Repeats_ = 0;
  std::size_t RejectedFirstSends_ = 0;
  std::size_t RejectedResumes_ = 0;
  std::size_t RejectedRepeats_ = 0;
  /// New requests, and those that an engine accepted while their first event could be in time.
  std::size_t Requests_ = 0;
  std::size_t PlacedInTime_ = 0;
  std::size_t Refused_ = 0;
  /// Streams that lost their engine, and those that found another one before the caller gave up.
  std::size_t Broken_ = 0;
  std::size_t ResumedInTime_ = 0;

  LoadOutcome &operator+=(const LoadOutcome &Other) {
    FirstSends_ += Other.FirstSends_;
    Resumes_ += Other.Resumes_;
    Repeats_ += Other.Repeats_;
    RejectedFirstSends_ += Other.RejectedFirstSends_;
    RejectedResumes_ += Other.RejectedResumes_;
    RejectedRepeats_ += Other.RejectedRepeats_;
    Requests_ += Other.Requests_;
    PlacedInTime_ += Other.PlacedInTime_;
    Refused_ += Other.Refused_;
    Broken_ += Other.Broken_;
    ResumedInTime_ += Other.ResumedInTime_;
    return *this;
  }
  std::size_t sends() const { return FirstSends_ + Resumes_ + Repeats_; }
  std::size_t rejected() const { return RejectedFirstSends_ + RejectedResumes_ + RejectedRepeats_; }
};

/// Many gateways in three data centres choose paths by the same lagging reports and by what each
/// sent itself. Streams that lose an engine are resumed by all gateways at the same instant.
class GatewayLoad {
public:
  GatewayLoad(const std::vector<Deployment> &Sites, SiteLoadOptions Options)
      : Options_(std::move(Options)), Random_(Options_.Seed_),
        Model_(makeModel(Sites.front().Layers_)) {
    double Tokens = 0;
    for (const Deployment &Site : Sites) {
      DataCenters_.emplace_back(Site.Name_);
      const auto Layout = settledLayout(Model_, makeEngines(Model_, Site));
      Tokens += tokensInFlight(Model_, Layout);
      for (const PlannedEngine &Planned : Layout) {
        Engine Added;
        Added.Listing_ = listing(Planned, DataCenters_.back());
        const std::uint32_t Held = Planned.Layers_.End_ - Planned.Layers_.Begin_;
        Added.Total_ = (Planned.Kind_->MemoryMb_ - Held * Model_.LayerMb_) * 1e6 /
                       (Model_.TokenBytes_ / Model_.Layers_);
        Engines_.emplace(Added.Listing_.Id_, Added);
      }
    }
    for (const DataCenterId &Home : DataCenters_)
      for (std::size_t I = 0; I < Options_.Gateways_; ++I)
        Gateways_.push_back(std::make_unique<Gateway>(Home));
    for (const auto &Each : Gateways_)
      for (const auto &[Id, Each2] : Engines_)
        Each->Roster_.updateListing(Each2.Listing_, Queue_.now());
    const double PerSecond = Options_.RequestsPerGateway_ * static_cast<double>(Gateways_.size());
    const double InFlight = PerSecond * MeanTokens * std::chrono::duration<double>(Dwell).count();
    for (auto &[Id, Each] : Engines_)
      Each.Total_ *= InFlight / (Options_.UsedShare_ * Tokens);
    for (const auto &Each : Gateways_)
      scheduleArrival(*Each);
    for (const auto &Each : Gateways_) {
      setGateways(*Each, static_cast<std::uint32_t>(Gateways_.size()));
      Each->Reserve_.setGateways(static_cast<std::uint32_t>(Options_.Gateways_));
      Each->Reserve_.setCapacity(
          ServiceId("model"),
          InFlight / (Options_.UsedShare_ * static_cast<double>(DataCenters_.size())));
    }
    report();
    Queue_.every(ReportInterval, [this] { report(); });
  }

  /// Plays the load for this time.
  void play(Duration Time) { Queue_.run(Time); }

  /// Ends as many engines of the first data centre as Count, chosen at random among those without
  /// which the others hold the whole model.
  void loseEngines(std::size_t Count) {
    for (; Count > 0; --Count) {
      const EndpointId Lost = replaceableEngine();
      if (Lost == EndpointId())
        return;
      Engines_.at(Lost).Lost_ = true;
      for (const auto &Each : Gateways_)
        Each->Roster_.markSilent(Lost, Queue_.now(), Queue_.now() + std::chrono::hours(1));
    }
    const auto Streams = Running_;
    for (const StreamPtr &Each : Streams)
      for (const PathStage &Stage : Each->Path_.Stages_)
        if (Engines_.at(Stage.Engine_).Lost_) {
          breakStream(Each);
          break;
        }
  }

  /// The outcomes since the last call, by priority.
  std::map<std::uint32_t, LoadOutcome> takeOutcomes() { return std::exchange(Outcomes_, {}); }
  /// Their sum.
  LoadOutcome total() {
    LoadOutcome Sum;
    for (const auto &[Priority, Each] : takeOutcomes())
      Sum += Each;
    return Sum;
  }
  /// The part of all engines' memory that is in use now.
  double usedShare() const {
    double Used = 0;
    double Total = 0;
    for (const auto &[Id, Each] : Engines_)
      if (!Each.Lost_) {
        Used += Each.Used_;
        Total += Each.Total_;
      }
    return Used / Total;
  }

private:
  static constexpr Duration ReportInterval = std::chrono::milliseconds(200);
  /// Age of the state in a report when the gateways receive it.
  static constexpr Duration ReportLag = std::chrono::milliseconds(200);
  static constexpr Duration SendTime = std::chrono::milliseconds(2);
  static constexpr Duration RejectionTime = std::chrono::milliseconds(10);
  static constexpr Duration QueueTime = std::chrono::milliseconds(400);
  static constexpr Duration QueueInterval = std::chrono::milliseconds(25);
  static constexpr Duration ResumeTime = std::chrono::milliseconds(1600);
  static constexpr Duration ResumeInterval = std::chrono::milliseconds(75);
  /// Connections to a lost engine are reset within this time.
  static constexpr Duration ResetTime = std::chrono::milliseconds(20);
  static constexpr double MeanTokens = 1000;
  /// The mean time that a stream runs.
  static constexpr Duration Dwell = std::chrono::milliseconds(2500);
  static constexpr std::uint32_t MaxSends = 6;

  struct Engine {
    EndpointListing Listing_;
    double Total_ = 0;
    double Used_ = 0;
    bool Lost_ = false;
  };
  struct Gateway {
    explicit Gateway(const DataCenterId &Home) : Paths_(Roster_, Home) {}
    EndpointRoster Roster_;
    PathChooser Paths_;
    ClassReserve Reserve_;
    RetryShare Retries_{{0.2, 336, std::chrono::seconds(10)},
                        TimePoint{} - std::chrono::seconds(20)};
  };
  struct Stream {
    /// Orders the streams alike in every run.
    std::uint64_t Number_ = 0;
    Gateway *At_ = nullptr;
    std::uint32_t Priority_ = 0;
    double Tokens_ = 0;
    TimePoint Since_{};
    bool Resumed_ = false;
    std::uint32_t Sends_ = 0;
    PathConstraints Limits_;
    LayerPath Path_;
    /// Raised when the stream leaves its path, so that events of the old one are ignored.
    std::uint32_t Run_ = 0;
  };
  using StreamPtr = std::shared_ptr<Stream>;
  struct ByNumber {
    bool operator()(const StreamPtr &A, const StreamPtr &B) const {
      return A->Number_ < B->Number_;
    }
  };

  static void setGateways(Gateway &At, std::uint32_t Count) {
    At.Roster_.setGateways(Count);
    At.Retries_.setProcesses(Count);
  }

  static EndpointListing listing(const PlannedEngine &Planned, const DataCenterId &DataCenter) {
    EndpointListing Listing;
    Listing.Id_ = EndpointId(DataCenter.str() + " " + Planned.Id_.str());
    Listing.Service_ = ServiceId("model");
    Listing.DataCenter_ = DataCenter;
    Listing.Kind_ = Planned.Kind_->Name_;
    Listing.Layers_ = Planned.Layers_;
    Listing.Slots_ = 1000;
    return Listing;
  }

  double uniform(double Least, double Most) {
    return std::uniform_real_distribution<double>(Least, Most)(Random_);
  }

  Duration scaled(Duration Time, double Factor) const {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(Time) * Factor);
  }

  void report() {
    std::map<EndpointId, EngineReport> Reports;
    for (const auto &[Id, Each] : Engines_)
      if (!Each.Lost_) {
        EngineReport &Report = Reports[Id];
        Report.Layers_ = Each.Listing_.Layers_;
        Report.TotalTokenLayers_ = Each.Total_;
        Report.UsedTokenLayers_ = Each.Used_;
      }
    Queue_.after(ReportLag, [this, Reports] {
      for (const auto &Each : Gateways_)
        for (const auto &[Id, Report] : Reports)
          Each->Roster_.updateReport(Id, Report, Queue_.now());
    });
  }

  void scheduleArrival(Gateway &At) {
    const double Seconds =
        std::exponential_distribution<double>(Options_.RequestsPerGateway_)(Random_);
    Queue_.after(scaled(std::chrono::seconds(1), Seconds), [this, &At] {
      arrive(At);
      scheduleArrival(At);
    });
  }

  void arrive(Gateway &At) {
    auto New = std::make_shared<Stream>();
    New->Number_ = NextStream_++;
    New->At_ = &At;
    New->Priority_ = drawPriority();
    New->Tokens_ = uniform(0.4, 1.6) * MeanTokens;
    New->Since_ = Queue_.now();
    ++Outcomes_[New->Priority_].Requests_;
    if (Options_.Classes_.size() > 1)
      At.Reserve_.onArrival(ServiceId("model"), New->Priority_, New->Tokens_, Queue_.now());
    place(New);
  }

  std::uint32_t drawPriority() {
    double Rest = uniform(0, 1);
    for (const LoadClass &Each : Options_.Classes_)
      if ((Rest -= Each.Share_) < 0)
        return Each.Priority_;
    return Options_.Classes_.back().Priority_;
  }

  /// Sends the stream, or tries again later, or gives up.
  void place(const StreamPtr &Of) {
    const TimePoint Now = Queue_.now();
    PathDemand Demand{0.8 * Of->Tokens_, 0.2 * Of->Tokens_, 0, Options_.Contended_};
    if (!Of->Resumed_)
      Demand.KeptShare_ =
          Of->At_->Reserve_.keptShare(ServiceId("model"), Of->Priority_, Now - Of->Since_, Now);
    PathChoice Choice;
    if (Of->Sends_ < MaxSends)
      Choice =
          Of->At_->Paths_.choose(Model_, ServiceId("model"), Demand, Of->Limits_, Random_, Now);
    const bool Retry = Of->Resumed_ || Of->Sends_ > 0;
    if (Choice.Path_ && (!Retry || Of->At_->Retries_.tryRetry(ServiceId("model"), Now)))
      return send(Of, *Choice.Path_);
    const Duration Wait = Of->Resumed_ ? ResumeInterval : QueueInterval;
    const bool BudgetSpent = Choice.Path_ && !Of->Resumed_;
    if (Of->Sends_ >= MaxSends || BudgetSpent || Now + Wait > Of->Since_ + waitTime(*Of)) {
      ++Outcomes_[Of->Priority_].Refused_;
      return;
    }
    Queue_.after(Wait, [this, Of] { place(Of); });
  }

  static Duration waitTime(const Stream &Of) { return Of.Resumed_ ? ResumeTime : QueueTime; }

  void send(const StreamPtr &Of, const LayerPath &Path) {
    LoadOutcome &Counts = Outcomes_[Of->Priority_];
    const bool Repeat = Of->Sends_ > 0;
    if (!Repeat && !Of->Resumed_)
      Of->At_->Retries_.onFirstSend(ServiceId("model"), Queue_.now());
    ++(Repeat ? Counts.Repeats_ : Of->Resumed_ ? Counts.Resumes_ : Counts.FirstSends_);
    ++Of->Sends_;
    Of->Path_ = Path;
    for (const PathStage &Stage : Path.Stages_) {
      Of->At_->Roster_.addOwnLoad(Stage.Engine_, 1, needed(*Of, Stage));
      Of->At_->Roster_.noteSent(Stage.Engine_, needed(*Of, Stage), Queue_.now());
    }
    Queue_.after(SendTime, [this, Of, Run = Of->Run_, Repeat] {
      if (Of->Run_ == Run)
        onArrivedAtEngine(Of, Repeat);
    });
  }

  void onArrivedAtEngine(const StreamPtr &Of, bool Repeat) {
    for (const PathStage &Stage : Of->Path_.Stages_) {
      const Engine &At = Engines_.at(Stage.Engine_);
      if (!At.Lost_ && At.Used_ + needed(*Of, Stage) <= At.Total_)
        continue;
      LoadOutcome &Counts = Outcomes_[Of->Priority_];
      ++(Repeat         ? Counts.RejectedRepeats_
         : Of->Resumed_ ? Counts.RejectedResumes_
                        : Counts.RejectedFirstSends_);
      Queue_.after(RejectionTime, [this, Of, Stage] {
        Of->At_->Roster_.noteMemoryRefusal(Stage.Engine_, needed(*Of, Stage), Queue_.now());
        Of->Limits_.ExcludedEngines_.insert(Stage.Engine_);
        releaseOwnLoad(*Of);
        place(Of);
      });
      return;
    }
    LoadOutcome &Counts = Outcomes_[Of->Priority_];
    const bool InTime = Queue_.now() <= Of->Since_ + waitTime(*Of) + 2 * SendTime;
    Counts.PlacedInTime_ += InTime && !Of->Resumed_ ? 1 : 0;
    Counts.ResumedInTime_ += InTime && Of->Resumed_ ? 1 : 0;
    for (const PathStage &Stage : Of->Path_.Stages_)
      Engines_.at(Stage.Engine_).Used_ += needed(*Of, Stage);
    Running_.insert(Of);
    Queue_.after(scaled(Dwell, uniform(0.4, 1.6)), [this, Of, Run = Of->Run_] {
      if (Of->Run_ == Run)
        leavePath(*Of, Of);
    });
  }

  void leavePath(Stream &Of, const StreamPtr &Key) {
    ++Of.Run_;
    Running_.erase(Key);
    for (const PathStage &Stage : Of.Path_.Stages_)
      Engines_.at(Stage.Engine_).Used_ -= needed(Of, Stage);
    releaseOwnLoad(Of);
  }

  void breakStream(const StreamPtr &Of) {
    leavePath(*Of, Of);
    Of->Resumed_ = true;
    Of->Sends_ = 0;
    Of->Since_ = Queue_.now();
    ++Outcomes_[Of->Priority_].Broken_;
    Queue_.after(scaled(ResetTime, uniform(0, 1)), [this, Of] { place(Of); });
  }

  void releaseOwnLoad(Stream &Of) {
    for (const PathStage &Stage : Of.Path_.Stages_)
      Of.At_->Roster_.addOwnLoad(Stage.Engine_, -1, -needed(Of, Stage));
    Of.Path_ = {};
  }

  static double needed(const Stream &Of, const PathStage &Stage) {
    return Of.Tokens_ * (Stage.Layers_.End_ - Stage.Layers_.Begin_);
  }

  /// An engine of the first data centre that the others can replace; an empty id if there is none.
  EndpointId replaceableEngine() {
    std::vector<EndpointId> Found;
    for (const auto &[Id, Each] : Engines_)
      if (Each.Listing_.DataCenter_ == DataCenters_.front() && !Each.Lost_ && holdModelWithout(Id))
        Found.push_back(Id);
    return Found.empty() ? EndpointId() : Found[LossRandom_() % Found.size()];
  }

  bool holdModelWithout(const EndpointId &Without) const {
    std::vector<StageCandidate> Others;
    for (const auto &[Id, Each] : Engines_)
      if (Each.Listing_.DataCenter_ == DataCenters_.front() && !Each.Lost_ && Id != Without) {
        Others.emplace_back();
        Others.back().Layers_ = Each.Listing_.Layers_;
      }
    return holdWholeModel(Model_, Others);
  }

  SiteLoadOptions Options_;
  std::mt19937 Random_;
  /// Its own, so that the same engines are lost whatever paths the gateways choose.
  std::mt19937 LossRandom_{Random_()};
  LayeredModel Model_;
  EventQueue Queue_;
  std::vector<DataCenterId> DataCenters_;
  std::map<EndpointId, Engine> Engines_;
  std::vector<std::unique_ptr<Gateway>> Gateways_;
  std::set<StreamPtr, ByNumber> Running_;
  std::uint64_t NextStream_ = 1;
  std::map<std::uint32_t, LoadOutcome> Outcomes_;
};

} // namespace rattancart::test
