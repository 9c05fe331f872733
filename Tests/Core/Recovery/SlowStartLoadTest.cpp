#include "Core/Recovery/EndpointSlowStart.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace rattancart {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

enum class Policy : std::uint8_t { None, FixedRamp, SlowStart };

const char *nameOf(Policy Used) {
  switch (Used) {
  case Policy::None:
    return "no slow start";
  case Policy::FixedRamp:
    return "fixed ramp";
  case Policy::SlowStart:
    break;
  }
  return "slow start";
}

constexpr std::size_t Seconds = 12;
constexpr Duration Step = milliseconds(10);
constexpr Duration ReportInterval = milliseconds(200);
constexpr Duration ReportLag = milliseconds(200);
constexpr Duration Objective = milliseconds(500);
/// For how long rejections are counted.
constexpr Duration NewTime = seconds(6);
constexpr Duration RampTime = seconds(10);

struct Load {
  const char *Name_;
  std::size_t Gateways_;
  Policy Policy_;
  /// The part of its capacity that the new endpoint has at first, and when it has all of it.
  double ColdPart_ = 0.25;
  Duration WarmAfter_ = seconds(4);
  /// Whether the endpoints report their load.
  bool Reports_ = true;
  std::size_t Endpoints_ = 11;
  std::size_t Slots_ = 64;
  Duration ServiceTime_ = seconds(2);
  Duration FirstEvent_ = milliseconds(100);
  double PerSecond_ = 0;
  /// The new endpoint fails everything until then, while its reports are good.
  Duration FailsUntil_{};
  bool KnowsGateways_ = true;
};

struct Outcome {
  std::array<int, Seconds> Sent_{};
  int Rejections_ = 0;
  int Failures_ = 0;
  int Late_ = 0;
  int Unserved_ = 0;
  int Asked_ = 0;
  /// When the endpoint first had nine tenths of the mean load of the others.
  std::optional<Duration> CarriesAfter_;
};

/// Gateways in front of one new endpoint, with the index 0, and warm ones. Each gateway chooses the
/// endpoint with the least load by its last report and its own requests.
class Site {
public:
  Site(const Load &Wanted, unsigned Seed) : Load_(Wanted), Random_(Seed) {
    Servers_.resize(Load_.Endpoints_);
    Gateways_.resize(Load_.Gateways_);
    for (Gateway &Each : Gateways_) {
      if (Load_.KnowsGateways_)
        Each.SlowStart_.setGateways(static_cast<std::uint32_t>(Load_.Gateways_));
      Each.Own_.resize(Load_.Endpoints_);
    }
    if (Load_.PerSecond_ == 0)
      Load_.PerSecond_ = 0.6 * static_cast<double>(Load_.Endpoints_ * Load_.Slots_) /
                         std::chrono::duration<double>(Load_.ServiceTime_).count();
    preload();
  }

  Outcome run() {
    for (; Now_ < Start + seconds(Seconds); Now_ += Step) {
      endRequests();
      report();
      const double Mean = Load_.PerSecond_ * std::chrono::duration<double>(Step).count();
      for (int Count = std::poisson_distribution<int>(Mean)(Random_); Count > 0; --Count)
        arrive(Gateways_[Random_() % Gateways_.size()]);
      noteShare();
    }
    return Result_;
  }

private:
  static constexpr TimePoint Start{std::chrono::hours(1)};

  struct Running {
    std::size_t Gateway_;
    TimePoint SentAt_;
    /// When it has its first event and when it ends, once it has a slot.
    TimePoint EventAt_{};
    TimePoint EndsAt_{};
    bool Answered_ = false;
  };
  struct Server {
    std::deque<Running> Running_;
    std::deque<Running> Waiting_;
  };
  struct Gateway {
    EndpointSlowStart SlowStart_{{true, 0.125}};
    std::vector<std::uint32_t> Own_;
  };
  struct Snapshot {
    TimePoint At_;
    std::vector<EndpointLoad> Loads_;
  };

  double slots(std::size_t Endpoint) const {
    const auto All = static_cast<double>(Load_.Slots_);
    if (Endpoint != 0)
      return All;
    const double Passed =
        std::min(1.0, std::chrono::duration<double>(Now_ - Start) / Load_.WarmAfter_);
    return All * (Load_.ColdPart_ + (1 - Load_.ColdPart_) * Passed);
  }

  void preload() {
    const double InFlight =
        Load_.PerSecond_ * std::chrono::duration<double>(Load_.ServiceTime_).count();
    for (std::size_t Endpoint = 1; Endpoint < Servers_.size(); ++Endpoint)
      for (std::size_t Each = 0;
           Each < static_cast<std::size_t>(InFlight / static_cast<double>(Servers_.size() - 1));
           ++Each) {
        const std::size_t From = Random_() % Gateways_.size();
        ++Gateways_[From].Own_[Endpoint];
        Servers_[Endpoint].Running_.push_back({From, Start, Start, Start + serviceTime(), true});
      }
  }

  Duration serviceTime() {
    const double Part = std::exponential_distribution<double>(1)(Random_);
    return std::chrono::duration_cast<Duration>(Load_.ServiceTime_ * Part);
  }

  void startOne(std::size_t Endpoint, Running Each) {
    const Duration Takes = std::max(Load_.FirstEvent_, serviceTime());
    Each.EventAt_ = Now_ + Load_.FirstEvent_;
    Each.EndsAt_ = Now_ + Takes;
    Servers_[Endpoint].Running_.push_back(Each);
  }

  void endRequests() {
    for (std::size_t Endpoint = 0; Endpoint < Servers_.size(); ++Endpoint) {
      Server &Each = Servers_[Endpoint];
      for (Running &Request : Each.Running_)
        if (!Request.Answered_ && Now_ >= Request.EventAt_) {
          Request.Answered_ = true;
          const bool Late = Now_ - Request.SentAt_ > Objective;
          Result_.Late_ += Late ? 1 : 0;
          Gateways_[Request.Gateway_].SlowStart_.onAnswer(
              idOf(Endpoint), Late ? EndpointAnswer::Late : EndpointAnswer::Good, Request.SentAt_,
              Now_);
        }
      std::erase_if(Each.Running_, [&](const Running &Request) {
        if (Now_ < Request.EndsAt_)
          return false;
        --Gateways_[Request.Gateway_].Own_[Endpoint];
        return true;
      });
      while (!Each.Waiting_.empty() &&
             static_cast<double>(Each.Running_.size()) < slots(Endpoint)) {
        const Running Next = Each.Waiting_.front();
        Each.Waiting_.pop_front();
        startOne(Endpoint, Next);
      }
    }
  }

  static EndpointId idOf(std::size_t Endpoint) {
    return EndpointId("e" + std::to_string(Endpoint));
  }

  void report() {
    if ((Now_ - Start) % ReportInterval != Duration{})
      return;
    Snapshot Made{Now_, {}};
    for (const Server &Each : Servers_) {
      const std::size_t Count = Each.Running_.size() + Each.Waiting_.size();
      Made.Loads_.push_back({Now_, static_cast<double>(Count) / static_cast<double>(Load_.Slots_),
                             static_cast<std::uint32_t>(Each.Running_.size()),
                             static_cast<std::uint32_t>(Each.Waiting_.size()), 1});
    }
    Made_.push_back(std::move(Made));
    while (!Made_.empty() && Made_.front().At_ + ReportLag <= Now_) {
      Known_ = std::move(Made_.front());
      Made_.pop_front();
    }
    for (Gateway &Each : Gateways_)
      for (std::size_t Endpoint = 0; Endpoint < Servers_.size(); ++Endpoint) {
        std::optional<EndpointLoad> Seen;
        if (Load_.Reports_ && Known_ && Load_.Policy_ == Policy::SlowStart)
          Seen = Known_->Loads_[Endpoint];
        const Duration Age = Endpoint == 0 ? Now_ - Start : Duration(seconds(100));
        Each.SlowStart_.observe({idOf(Endpoint), ServiceId("s"), Incarnation(1), Age,
                                 Load_.Reports_, Seen, false, false},
                                Now_);
      }
  }

  bool mayTake(Gateway &From, std::size_t Endpoint) {
    const double Draw = std::uniform_real_distribution<double>(0, 1)(Random_);
    switch (Load_.Policy_) {
    case Policy::None:
      return true;
    case Policy::FixedRamp:
      return Endpoint != 0 || Draw < std::chrono::duration<double>(Now_ - Start) / RampTime;
    case Policy::SlowStart:
      break;
    }
    return From.SlowStart_.mayTake(idOf(Endpoint), static_cast<double>(Load_.Slots_),
                                   From.Own_[Endpoint], Draw, Now_);
  }

  std::optional<std::size_t> choose(const Gateway &From, const std::vector<bool> &Excluded) {
    std::optional<std::size_t> Best;
    double BestCost = 0;
    for (std::size_t Endpoint = 0; Endpoint < Servers_.size(); ++Endpoint) {
      if (Excluded[Endpoint])
        continue;
      const double Factor = std::uniform_real_distribution<double>(1, 1.5)(Random_);
      const double Use = Load_.Reports_ && Known_ ? Known_->Loads_[Endpoint].Use_ : 0;
      const double Cost =
          Load_.Reports_ ? Factor / std::max(0.02, 1 - Use) : From.Own_[Endpoint] + Factor;
      if (Best && Cost >= BestCost)
        continue;
      Best = Endpoint;
      BestCost = Cost;
    }
    return Best;
  }

  /// As the gateway does it: an endpoint that slow start denies is chosen only if there is no
  /// other.
  std::optional<std::size_t> chooseAllowed(Gateway &From, const std::vector<bool> &Tried) {
    std::vector<bool> Excluded = Tried;
    while (const auto Chosen = choose(From, Excluded)) {
      if (mayTake(From, *Chosen))
        return Chosen;
      Excluded[*Chosen] = true;
    }
    return choose(From, Tried);
  }

  void arrive(Gateway &From) {
    ++Result_.Asked_;
    std::vector<bool> Tried(Servers_.size());
    for (int Sends = 0; Sends < 4; ++Sends) {
      const auto Endpoint = chooseAllowed(From, Tried);
      if (!Endpoint || send(From, *Endpoint))
        return;
      Tried[*Endpoint] = true;
    }
    ++Result_.Unserved_;
  }

  /// False if the endpoint rejected or failed the request.
  bool send(Gateway &From, std::size_t Endpoint) {
    Server &To = Servers_[Endpoint];
    From.SlowStart_.onSent(idOf(Endpoint), Now_);
    if (Endpoint == 0)
      ++Result_.Sent_.at(static_cast<std::size_t>((Now_ - Start) / seconds(1)));
    const Running Sent{static_cast<std::size_t>(&From - Gateways_.data()), Now_};
    if (Endpoint == 0 && Now_ - Start < Load_.FailsUntil_) {
      ++Result_.Failures_;
      From.SlowStart_.onAnswer(idOf(Endpoint), EndpointAnswer::Failed, Now_, Now_);
      return false;
    }
    if (static_cast<double>(To.Running_.size()) < slots(Endpoint)) {
      startOne(Endpoint, Sent);
    } else if (To.Waiting_.size() < Load_.Slots_ / 8) {
      To.Waiting_.push_back(Sent);
    } else {
      // Later ones are due to the test's choice, which follows old reports alone.
      Result_.Rejections_ += Endpoint == 0 && Now_ - Start < NewTime ? 1 : 0;
      From.SlowStart_.onAnswer(idOf(Endpoint), EndpointAnswer::Rejected, Now_, Now_);
      return false;
    }
    ++From.Own_[Endpoint];
    return true;
  }

  void noteShare() {
    if (Result_.CarriesAfter_)
      return;
    // Over the last second: with short requests, a single moment shows little.
    std::size_t Others = 0;
    for (std::size_t Endpoint = 1; Endpoint < Servers_.size(); ++Endpoint)
      Others += Servers_[Endpoint].Running_.size();
    OthersMean_ += 0.02 * (static_cast<double>(Others) / static_cast<double>(Servers_.size() - 1) -
                           OthersMean_);
    OwnMean_ += 0.02 * (static_cast<double>(Servers_[0].Running_.size()) - OwnMean_);
    if (Now_ - Start > milliseconds(200) && OwnMean_ >= 0.9 * OthersMean_)
      Result_.CarriesAfter_ = Now_ - Start;
  }

  Load Load_;
  std::mt19937 Random_;
  TimePoint Now_ = Start;
  std::vector<Server> Servers_;
  std::vector<Gateway> Gateways_;
  std::deque<Snapshot> Made_;
  std::optional<Snapshot> Known_;
  Outcome Result_;
  double OwnMean_ = 0;
  double OthersMean_ = 0;
};

Outcome play(const Load &Wanted) {
  Outcome Result = Site(Wanted, 7).run();
  std::string Sent;
  for (const int Count : Result.Sent_)
    Sent += " " + std::to_string(Count);
  BOOST_TEST_MESSAGE(
      Wanted.Name_ << ", " << Wanted.Gateways_ << " gateways, " << nameOf(Wanted.Policy_)
                   << ": sent by second" << Sent << "; rejected " << Result.Rejections_
                   << ", failed " << Result.Failures_ << ", late " << Result.Late_ << ", unserved "
                   << Result.Unserved_ << " of " << Result.Asked_ << ", carries its part after "
                   << (Result.CarriesAfter_ ? *Result.CarriesAfter_ / milliseconds(1) : -1)
                   << " ms");
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(SlowStartLoadTest)

/// Guards against the flood that a new engine with cold caches gets: every gateway sees that it is
/// empty and sends it everything until the first report shows its load.
BOOST_AUTO_TEST_CASE(AColdEngineIsNotFlooded) {
  for (const std::size_t Gateways : {std::size_t(9), std::size_t(76), std::size_t(132)}) {
    const Outcome None = play({"cold engine", Gateways, Policy::None});
    const Outcome Ramp = play({"cold engine", Gateways, Policy::FixedRamp});
    const Outcome Slow = play({"cold engine", Gateways, Policy::SlowStart});
    BOOST_TEST(None.Rejections_ >= 50);
    BOOST_TEST(Slow.Rejections_ * 5 < None.Rejections_);
    BOOST_TEST(Slow.Late_ <= None.Late_);
    BOOST_TEST(Slow.Unserved_ <= None.Unserved_);
    BOOST_REQUIRE(Slow.CarriesAfter_.has_value());
    BOOST_TEST((*Slow.CarriesAfter_ <= seconds(6)));
    BOOST_TEST(Ramp.Asked_ > 0);
  }
}

/// Guards against an engine that is left idle although it could carry its part at once.
BOOST_AUTO_TEST_CASE(AFastEngineIsNotLeftIdle) {
  for (const std::size_t Gateways : {std::size_t(9), std::size_t(76), std::size_t(132)}) {
    const Outcome Ramp = play({"fast engine", Gateways, Policy::FixedRamp, 1});
    const Outcome Slow = play({"fast engine", Gateways, Policy::SlowStart, 1});
    BOOST_REQUIRE(Slow.CarriesAfter_.has_value());
    BOOST_TEST((*Slow.CarriesAfter_ <= milliseconds(4500)));
    BOOST_TEST((!Ramp.CarriesAfter_ || *Slow.CarriesAfter_ < *Ramp.CarriesAfter_));
    BOOST_TEST(Slow.Rejections_ == 0);
  }
}

/// Plain endpoints report nothing, and each gateway has few requests for them.
BOOST_AUTO_TEST_CASE(APlainEndpointIsWarmedByAnswersAndTime) {
  for (const std::size_t Gateways : {std::size_t(9), std::size_t(76), std::size_t(132)}) {
    for (const Policy Used : {Policy::None, Policy::FixedRamp, Policy::SlowStart}) {
      const Outcome Result = play({"plain endpoint", Gateways, Used, 0.25, seconds(4), false, 3, 16,
                                   milliseconds(100), milliseconds(100), 150});
      if (Used != Policy::SlowStart)
        continue;
      BOOST_TEST(Result.Unserved_ == 0);
      BOOST_REQUIRE(Result.CarriesAfter_.has_value());
      BOOST_TEST((*Result.CarriesAfter_ <= seconds(8)));
    }
  }
}

/// Guards against a spell of failures that the health probes don't show: without answers as
/// evidence, an engine that fails at once looks empty and attracts all requests.
BOOST_AUTO_TEST_CASE(ASpellOfFailuresGetsFewRequests) {
  Load Spell{"failures until 5 s", 76, Policy::None, 1};
  Spell.FailsUntil_ = seconds(5);
  const Outcome None = play(Spell);
  Spell.Policy_ = Policy::SlowStart;
  const Outcome Slow = play(Spell);
  BOOST_TEST(Slow.Failures_ * 4 < None.Failures_);
  BOOST_REQUIRE(Slow.CarriesAfter_.has_value());
}

BOOST_AUTO_TEST_CASE(AnUnknownNumberOfGatewaysLeavesNoEndpointIdle) {
  Load Unknown{"unknown number", 76, Policy::SlowStart};
  Unknown.KnowsGateways_ = false;
  const Outcome Result = play(Unknown);
  BOOST_TEST(Result.Unserved_ == 0);
  BOOST_REQUIRE(Result.CarriesAfter_.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattancart
