// Probes of simulated gateways and engines under congestion and losses. Each table also plays the
// load with the detection switched off, to show that the load causes the false findings that the
// detection prevents.
#include "ProbingGateways.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <ostream>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

constexpr DetectionOptions On{true};
constexpr DetectionOptions Off{false};

std::vector<EndpointId> makeEngines(std::size_t Count, std::size_t First = 0) {
  std::vector<EndpointId> Engines;
  for (std::size_t I = 0; I < Count; ++I)
    Engines.emplace_back("e" + std::to_string(First + I));
  return Engines;
}

/// A gateway of Rhannau: 93 engines, streams over paths of twelve.
struct Site {
  explicit Site(DetectionOptions Options, std::uint32_t Gateways = 132)
      : Gateway_(Queue_, Engines_, Options, Gateways) {
    Queue_.run(1h);
  }
  /// A stream over each twelve engines in a row is silent, and is checked every Interval.
  void checkAllPaths(Duration Interval) {
    Queue_.every(Interval, [this] {
      Gateway_.check(makeEngines(12, NextPath_));
      NextPath_ = (NextPath_ + 12) % 84;
    });
  }

  EventQueue Queue_;
  ProbedEngines Engines_{Queue_};
  ProbingGateway Gateway_;
  std::size_t NextPath_ = 0;
};

struct ReceptionCase {
  const char *Name_;
  DetectionOptions Options_;
  Duration Stop_;
  bool FindsSilent_;
};
std::ostream &operator<<(std::ostream &Out, const ReceptionCase &Case) { return Out << Case.Name_; }

const ReceptionCase ReceptionCases[] = {
    {"off, 100 ms", Off, 100ms, true}, {"off, 1 s", Off, 1s, true},
    {"on, 100 ms", On, 100ms, false},  {"on, 380 ms", On, 380ms, false},
    {"on, 400 ms", On, 400ms, false},  {"on, 1 s", On, 1s, false},
};

struct HerdCase {
  const char *Name_;
  DetectionOptions Options_;
  std::uint32_t Gateways_;
  /// The number that the gateways know of.
  std::uint32_t Counted_;
  bool FindsSilent_;
};
std::ostream &operator<<(std::ostream &Out, const HerdCase &Case) { return Out << Case.Name_; }

const HerdCase HerdCases[] = {
    {"off, 60", Off, 60, 60, true},
    {"off, 132", Off, 132, 132, true},
    {"on, a data centre of 44", On, 44, 44, false},
    {"on, 132", On, 132, 132, false},
    {"on, 132, counted too high", On, 132, 300, false},
    {"on, 390", On, 390, 390, false},
};

struct LossCase {
  const char *Name_;
  DetectionOptions Options_;
  std::size_t Lost_;
  std::size_t Path_;
  /// Engines of the path that other streams heard a moment ago, so that they are not probed.
  std::size_t Heard_;
  /// Whether events of engines in another data centre arrive, and datagrams of other gateways.
  bool Events_;
  bool Datagrams_;
  Duration Earliest_;
  Duration Latest_;
};
std::ostream &operator<<(std::ostream &Out, const LossCase &Case) { return Out << Case.Name_; }

const LossCase LossCases[] = {
    {"off, three of twelve", Off, 3, 12, 0, false, false, 50ms, 60ms},
    {"three of twelve", On, 3, 12, 0, false, false, 50ms, 60ms},
    {"three of twelve, others heard", On, 3, 12, 8, true, true, 50ms, 60ms},
    {"one of three", On, 1, 3, 0, false, false, 50ms, 60ms},
    {"off, a data centre cut off", Off, 36, 36, 0, true, true, 50ms, 60ms},
    {"a data centre cut off", On, 36, 36, 0, true, true, 400ms, 450ms},
    {"all engines lost", On, 36, 36, 0, false, true, 400ms, 450ms},
};

struct PauseCase {
  const char *Name_;
  DetectionOptions Options_;
  /// From the sending of the probes.
  Duration Begin_;
  Duration Length_;
};
std::ostream &operator<<(std::ostream &Out, const PauseCase &Case) { return Out << Case.Name_; }

const PauseCase PauseCases[] = {
    {"off, before the second request", Off, 1ms, 300ms},
    {"before the second request", On, 1ms, 300ms},
    {"at once, long", On, 1ms, 1s},
    {"after the second request", On, 16ms, 300ms},
    {"after the second request, long", On, 16ms, 1s},
    {"beyond all limits", On, 1ms, 5s},
};

} // namespace

// Guards against a congested link: at Rhannau the gateways declared running engines silent 1,588
// times within 1.1 s while all of them read a large configuration.
BOOST_DATA_TEST_CASE(AGatewayThatReceivesNothingDeclaresNoEngineSilent, ReceptionCases, Case) {
  Site Rhannau(Case.Options_);
  Rhannau.Gateway_.receiveFrom(EndpointId("e90"), 10ms);
  Rhannau.Gateway_.receiveDatagrams(200ms);
  Rhannau.checkAllPaths(17ms);
  Rhannau.Queue_.run(500ms);
  BOOST_TEST(Rhannau.Gateway_.silent().empty());
  Rhannau.Gateway_.stopReception(Rhannau.Queue_.now() + Case.Stop_);
  Rhannau.Queue_.run(Case.Stop_ + 500ms);
  BOOST_TEST_MESSAGE("reception stops, " << Case.Name_ << ": " << Rhannau.Gateway_.silent().size()
                                         << " of 84 silent");
  BOOST_TEST(!Rhannau.Gateway_.silent().empty() == Case.FindsSilent_);
  BOOST_TEST(Rhannau.Gateway_.answered() > 100U);
}

// Guards against the herd of probes by which one false finding spread to all gateways.
BOOST_DATA_TEST_CASE(AReportOfARunningEngineIsNotConfirmedByTheProbesOfAllGateways, HerdCases,
                     Case) {
  EventQueue Queue;
  Queue.run(1h);
  ProbedEngines Engines(Queue);
  std::mt19937 Random(7);
  std::uniform_real_distribution<double> Fraction(0, 1);
  std::vector<std::unique_ptr<ProbingGateway>> Gateways;
  for (std::uint32_t I = 0; I < Case.Gateways_; ++I) {
    auto &Each = Gateways.emplace_back(
        std::make_unique<ProbingGateway>(Queue, Engines, Case.Options_, Case.Counted_));
    Each->receiveFrom(EndpointId("other"), 10ms);
  }
  Queue.run(100ms);
  for (const auto &Each : Gateways)
    Each->report({EndpointId("e0"), "10.0.0.1:7000", false}, Fraction(Random));
  Queue.run(2s);
  std::size_t Silent = 0;
  std::size_t Answered = 0;
  for (const auto &Each : Gateways) {
    Silent += Each->silent().size();
    Answered += Each->answered();
  }
  BOOST_TEST_MESSAGE("reported, " << Case.Name_ << ": silent for " << Silent << " of "
                                  << Case.Gateways_ << " gateways");
  BOOST_TEST((Silent > 0) == Case.FindsSilent_);
  BOOST_TEST(Answered >= 40U);
}

// Guards against detecting real losses later than the rules allow.
BOOST_DATA_TEST_CASE(LostEnginesAreFoundInTime, LossCases, Case) {
  Site Rhannau(Case.Options_);
  if (Case.Events_)
    Rhannau.Gateway_.receiveFrom(EndpointId("far"), 10ms);
  if (Case.Datagrams_)
    Rhannau.Gateway_.receiveDatagrams(200ms);
  Rhannau.Queue_.run(1s);
  for (const EndpointId &Engine : makeEngines(Case.Lost_))
    Rhannau.Engines_.setAnswers(Engine, false);
  for (const EndpointId &Engine : makeEngines(Case.Heard_, Case.Path_ - Case.Heard_))
    Rhannau.Gateway_.verdict().onHeardBeforeProbe(Engine, Rhannau.Queue_.now());
  Rhannau.Gateway_.check(makeEngines(Case.Path_ - Case.Heard_));
  Rhannau.Queue_.run(1s);
  BOOST_TEST(Rhannau.Gateway_.silent().size() == Case.Lost_);
  for (const auto &Found : Rhannau.Gateway_.silent()) {
    BOOST_TEST((Found.After_ >= Case.Earliest_));
    BOOST_TEST((Found.After_ <= Case.Latest_));
  }
}

// Guards against a gateway without any other traffic that would never find its engines lost.
BOOST_AUTO_TEST_CASE(AGatewayThatReceivesNothingForLongFindsItsEnginesSilent) {
  Site Rhannau(On);
  Rhannau.Gateway_.receiveDatagrams(200ms);
  Rhannau.Queue_.run(1s);
  Rhannau.Gateway_.stopReception(Rhannau.Queue_.now() + 1h);
  Rhannau.checkAllPaths(17ms);
  Rhannau.Queue_.run(1s);
  BOOST_TEST(Rhannau.Gateway_.silent().empty());
  BOOST_TEST(Rhannau.Gateway_.undecided() > 0U);
  Rhannau.Queue_.run(2s);
  BOOST_TEST(Rhannau.Gateway_.silent().size() == 84U);
}

// Guards against a paused process that takes its own delay for the silence of engines.
BOOST_DATA_TEST_CASE(APausedGatewayDeclaresNoEngineSilent, PauseCases, Case) {
  Site Rhannau(Case.Options_);
  Rhannau.Gateway_.check(makeEngines(12));
  const TimePoint SentAt = Rhannau.Queue_.now();
  Rhannau.Queue_.after(Case.Begin_,
                       [&] { Rhannau.Gateway_.pause(SentAt + Case.Begin_ + Case.Length_); });
  Rhannau.Queue_.run(Case.Length_ + 1s);
  BOOST_TEST(Rhannau.Gateway_.silent().empty());
  BOOST_TEST(Rhannau.Gateway_.answered() == 12U);
}
