#include "Core/Recovery/PromptQuarantine.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <optional>
#include <ostream>
#include <random>
#include <string>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};
const PromptPartId Shared("shared");
const PromptPartId Poison("poison");
const std::vector<PromptPartId> SoundParts{Shared};
const std::vector<PromptPartId> PoisonParts{Shared, Poison};

void crash(PromptQuarantine &Quarantine, const std::vector<PromptPartId> &Parts, int Engine,
           Duration At) {
  Quarantine.onCrash(Parts, EndpointId("engine-" + std::to_string(Engine)), Incarnation(1),
                     Start + At);
}

/// What a gateway sees, and which requests it refuses afterwards.
struct QuarantineCase {
  const char *Name_;
  void (*Happens_)(PromptQuarantine &);
  bool RefusesPoison_;
  bool RefusesSound_;
};

std::ostream &operator<<(std::ostream &Out, const QuarantineCase &Case) {
  return Out << Case.Name_;
}

const QuarantineCase QuarantineCases[] = {
    {"no crash", [](PromptQuarantine &) {}, false, false},
    {"one crash", [](PromptQuarantine &Quarantine) { crash(Quarantine, PoisonParts, 0, 0s); },
     false, false},
    {"two crashes, neither part ever answered",
     [](PromptQuarantine &Quarantine) {
       for (int I = 0; I < 2; ++I)
         crash(Quarantine, PoisonParts, I, I * 1s);
     },
     true, false},
    {"two crashes, one part answered before",
     [](PromptQuarantine &Quarantine) {
       Quarantine.onServed(SoundParts, Start - 1min);
       for (int I = 0; I < 2; ++I)
         crash(Quarantine, PoisonParts, I, I * 1s);
     },
     true, false},
    {"a sound part has a crash by chance beside one of the cause",
     [](PromptQuarantine &Quarantine) {
       crash(Quarantine, PoisonParts, 0, 0s);
       for (int I = 1; I < 3; ++I)
         crash(Quarantine, {Poison}, I, I * 1s);
       crash(Quarantine, SoundParts, 3, 3s);
     },
     true, false},
    {"one engine seen by several requests",
     [](PromptQuarantine &Quarantine) {
       for (int I = 0; I < 9; ++I)
         crash(Quarantine, PoisonParts, 0, I * 10ms);
     },
     false, false},
    {"engines that end together",
     [](PromptQuarantine &Quarantine) {
       for (int I = 0; I < 6; ++I)
         crash(Quarantine, PoisonParts, I, I * 10ms);
     },
     false, false},
    {"a part that is answered between crashes",
     [](PromptQuarantine &Quarantine) {
       for (int I = 0; I < 20; ++I) {
         crash(Quarantine, SoundParts, I, I * 1s);
         Quarantine.onServed(SoundParts, Start + I * 1s + 500ms);
       }
     },
     false, false},
    {"a part that was answered until it crashed four engines",
     [](PromptQuarantine &Quarantine) {
       Quarantine.onServed(SoundParts, Start - 1s);
       for (int I = 0; I < 4; ++I)
         crash(Quarantine, SoundParts, I, I * 1s);
     },
     false, false},
    {"a part that was answered until it crashed five engines",
     [](PromptQuarantine &Quarantine) {
       Quarantine.onServed(SoundParts, Start - 1s);
       for (int I = 0; I < 5; ++I)
         crash(Quarantine, SoundParts, I, I * 1s);
     },
     true, true},
    {"an answer after all",
     [](PromptQuarantine &Quarantine) {
       for (int I = 0; I < 2; ++I)
         crash(Quarantine, PoisonParts, I, I * 1s);
       Quarantine.onServed(PoisonParts, Start + 3s);
     },
     false, false},
    {"parts of prompts are not known",
     [](PromptQuarantine &Quarantine) {
       for (int I = 0; I < 9; ++I)
         crash(Quarantine, {}, I, I * 1s);
     },
     false, false},
};

/// Gateways that exchange what they know through one owner. Some datagrams are lost.
class Gateways {
public:
  explicit Gateways(unsigned Seed) : Random_(Seed) {}

  PromptQuarantine &operator[](std::size_t Index) { return All_[Index]; }
  static constexpr std::size_t Count = 12;

  void exchange(TimePoint Now) {
    for (PromptQuarantine &Each : All_)
      if (const auto Reports = Each.takeReports(); !lost())
        All_.front().merge(Reports, Now);
    const auto Known = All_.front().suspects(Now);
    for (PromptQuarantine &Each : All_)
      if (!lost())
        Each.merge(Known, Now);
  }

  std::mt19937 &random() { return Random_; }

private:
  bool lost() { return Random_() % 4 == 0; }

  std::array<PromptQuarantine, Count> All_;
  std::mt19937 Random_;
};

} // namespace

BOOST_DATA_TEST_CASE(OnlyThePartThatCrashesEnginesIsQuarantined, QuarantineCases, Case) {
  PromptQuarantine Quarantine;
  Case.Happens_(Quarantine);
  const TimePoint Now = Start + 20s;
  BOOST_TEST(Quarantine.find(PoisonParts, Now).has_value() == Case.RefusesPoison_);
  BOOST_TEST(Quarantine.find(SoundParts, Now).has_value() == Case.RefusesSound_);
}

// Each crash after the limit doubles the time to the next trial, and none of them ends it.
BOOST_AUTO_TEST_CASE(AQuarantineEndsByTimeAndLetsAllRequestsThrough) {
  PromptQuarantine Quarantine;
  for (int I = 0; I < 2; ++I)
    crash(Quarantine, PoisonParts, I, I * 1s);
  const TimePoint Last = Start + 1s;
  BOOST_TEST((Quarantine.find(PoisonParts, Last + 20s)->Remaining_ == 40s));
  BOOST_TEST(!Quarantine.find(PoisonParts, Last + 20s)->TrialDue_);
  BOOST_TEST(Quarantine.size() == 2U);
  BOOST_TEST(Quarantine.find(PoisonParts, Last + 1min)->TrialDue_);
  BOOST_TEST(Quarantine.size() == 2U);
  crash(Quarantine, PoisonParts, 2, 2min);
  BOOST_TEST((Quarantine.find(PoisonParts, Start + 2min)->Remaining_ == 2min));
  for (int I = 3; I < 9; ++I)
    crash(Quarantine, PoisonParts, I, 2min + I * 1s);
  BOOST_TEST((Quarantine.find(PoisonParts, Start + 2min + 8s)->Remaining_ == 10min));
  crash(Quarantine, PoisonParts, 9, 40min);
  BOOST_TEST((Quarantine.find(PoisonParts, Start + 40min)->Remaining_ == 10min));
  // Without any crash for a day, the part is forgotten.
  crash(Quarantine, SoundParts, 10, 25h);
  BOOST_TEST(!Quarantine.find({Poison}, Start + 25h));
}

namespace {

/// What becomes of a trial, and when the next one is due.
struct TrialCase {
  const char *Name_;
  void (*Happens_)(PromptQuarantine &, TimePoint);
  /// Time from the trial to the next one; nothing if the quarantine has ended.
  std::optional<Duration> NextTrialAfter_;
};

std::ostream &operator<<(std::ostream &Out, const TrialCase &Case) { return Out << Case.Name_; }

const TurnNumber First(1);

const TrialCase TrialCases[] = {
    {"another request asks while the claim is under way",
     [](PromptQuarantine &Quarantine, TimePoint Now) { Quarantine.onTrialRequested(Poison, Now); },
     10s},
    {"the store does not answer the claim",
     [](PromptQuarantine &Quarantine, TimePoint Now) { Quarantine.onTrialRequested(Poison, Now); },
     10s},
    {"the gateway of the trial is lost",
     [](PromptQuarantine &Quarantine, TimePoint Now) {
       Quarantine.onTrialClaimed(Poison, First, Now);
     },
     1min},
    {"another gateway claimed the trial",
     [](PromptQuarantine &Quarantine, TimePoint Now) {
       Quarantine.merge({{Poison, false, {}, First, Now}}, Now);
     },
     1min},
    {"the trial crashes an engine",
     [](PromptQuarantine &Quarantine, TimePoint Now) {
       Quarantine.onTrialClaimed(Poison, First, Now);
       Quarantine.onCrash({Poison}, EndpointId("trial"), Incarnation(1), Now);
     },
     2min},
    {"the trial is answered",
     [](PromptQuarantine &Quarantine, TimePoint Now) {
       Quarantine.onTrialClaimed(Poison, First, Now);
       Quarantine.onServed({Poison}, Now);
     },
     {}},
    {"an old trial is reported late",
     [](PromptQuarantine &Quarantine, TimePoint Now) {
       Quarantine.onTrialClaimed(Poison, TurnNumber(2), Now);
       Quarantine.merge({{Poison, false, {}, First, Now + 30s}}, Now + 30s);
     },
     1min},
};

} // namespace

BOOST_DATA_TEST_CASE(FurtherTrialsFollowWhileTheOutcomeOfOneIsUnknown, TrialCases, Case) {
  PromptQuarantine Quarantine;
  for (int I = 0; I < 2; ++I)
    crash(Quarantine, {Poison}, I, I * 1s);
  const TimePoint Due = Start + 1s + 1min;
  BOOST_TEST_REQUIRE(Quarantine.find({Poison}, Due)->TrialDue_);
  Case.Happens_(Quarantine, Due);
  BOOST_TEST(Quarantine.find({Poison}, Due).has_value() == Case.NextTrialAfter_.has_value());
  if (!Case.NextTrialAfter_)
    return;
  BOOST_TEST(!Quarantine.find({Poison}, Due + *Case.NextTrialAfter_ - 1ms)->TrialDue_);
  BOOST_TEST(Quarantine.find({Poison}, Due + *Case.NextTrialAfter_)->TrialDue_);
}

// Both parts of the request would have to be tried at once, so the earlier trial waits.
BOOST_AUTO_TEST_CASE(ATrialIsSentWithAnotherPartThatIsQuarantined) {
  PromptQuarantine Quarantine;
  const PromptPartId Other("other");
  for (int I = 0; I < 2; ++I)
    crash(Quarantine, {Poison}, I, I * 1s);
  for (int I = 2; I < 4; ++I)
    crash(Quarantine, {Other}, I, 30s + I * 1s);
  const TimePoint Due = Start + 1s + 1min;
  BOOST_TEST(Quarantine.find({Poison}, Due)->TrialDue_);
  BOOST_TEST(!Quarantine.find({Poison, Other}, Due)->TrialDue_);
}

// A gateway that starts late learns of the quarantine although its crashes are old.
BOOST_AUTO_TEST_CASE(AnOldQuarantineIsUnknownToGatewaysThatStart) {
  PromptQuarantine Owner;
  PromptQuarantine Started;
  for (int I = 0; I < 2; ++I)
    crash(Owner, {Poison}, I, I * 1s);
  const TimePoint Now = Start + 2h;
  Owner.onTrialClaimed(Poison, First, Now - 1s);
  Started.merge(Owner.suspects(Now), Now);
  BOOST_TEST_REQUIRE(Started.find({Poison}, Now).has_value());
  BOOST_TEST(!Started.find({Poison}, Now)->TrialDue_);
}

BOOST_AUTO_TEST_CASE(QuarantinedPartsOutliveManySuspects) {
  PromptQuarantine Quarantine;
  for (int I = 0; I < 3; ++I)
    crash(Quarantine, PoisonParts, I, I * 1s);
  for (int I = 0; I < 1000; ++I)
    crash(Quarantine, {PromptPartId("part-" + std::to_string(I))}, 10 + I, 10s + I * 1ms);
  BOOST_TEST(Quarantine.find(PoisonParts, Start + 12s).has_value());
  // What gateways exchange stays small.
  BOOST_TEST(Quarantine.suspects(Start + 12s).size() <= PromptQuarantineOptions().MaxShared_);
}

// Each gateway sees a few of the crashes, and sound parts are in flight at many of them.
BOOST_AUTO_TEST_CASE(GatewaysFindThePartOfWhichEachSeesOneCrash) {
  for (unsigned Seed = 1; Seed <= 300; ++Seed) {
    Gateways All(Seed);
    auto &Random = All.random();
    TimePoint Now = Start;
    int Engine = 0;
    const auto Step = [&](bool WithPoison) {
      Now += 200ms;
      // Sound requests are answered at some of the gateways.
      for (int I = 0; I < 6; ++I)
        All[Random() % Gateways::Count].onServed(
            {PromptPartId("sound-" + std::to_string(Random() % 8))}, Now);
      ++Engine;
      const EndpointId Id("engine-" + std::to_string(Engine));
      const std::vector<PromptPartId> Sound{PromptPartId("sound-" + std::to_string(Random() % 8))};
      All[Random() % Gateways::Count].onCrash(Sound, Id, Incarnation(1), Now);
      if (WithPoison)
        All[Random() % Gateways::Count].onCrash({Sound.front(), Poison}, Id, Incarnation(1), Now);
      All.exchange(Now + 50ms);
    };
    for (int I = 0; I < 5; ++I)
      Step(/*WithPoison=*/true);
    for (int I = 0; I < 15; ++I) {
      Now += 200ms;
      All.exchange(Now);
    }
    BOOST_TEST_CONTEXT("seed " << Seed) {
      for (std::size_t I = 0; I < Gateways::Count; ++I) {
        BOOST_TEST(All[I].find({PromptPartId("sound-0"), Poison}, Now).has_value());
        for (int Part = 0; Part < 8; ++Part)
          BOOST_TEST(!All[I].find({PromptPartId("sound-" + std::to_string(Part))}, Now));
      }
    }
  }
}

// An engine ends every 30 s while a request with the part begins at one gateway. A second later,
// and from then on, another gateway answers such requests.
BOOST_AUTO_TEST_CASE(APartThatIsAnsweredElsewhereAfterEachCrashIsRefused) {
  PromptQuarantine Owner, Answering, Crashing;
  TimePoint Now = Start;
  Answering.onServed(SoundParts, Now);
  Crashing.onServed(SoundParts, Now);
  for (int I = 0; I < 5; ++I) {
    Now += 1s;
    crash(Crashing, SoundParts, I, Now - Start);
    for (int Second = 0; Second < 30; ++Second) {
      for (PromptQuarantine *Each : {&Answering, &Crashing})
        Owner.merge(Each->takeReports(), Now);
      for (PromptQuarantine *Each : {&Answering, &Crashing})
        Each->merge(Owner.suspects(Now), Now);
      Now += 1s;
      Answering.onServed(SoundParts, Now);
    }
  }
  BOOST_TEST(!Answering.find(SoundParts, Now));
  BOOST_TEST(!Owner.find(SoundParts, Now));
  BOOST_TEST(!Crashing.find(SoundParts, Now));
}

BOOST_AUTO_TEST_CASE(CrashesThatOtherGatewaysReportedAreNotForgotten) {
  PromptQuarantine Quarantine;
  for (const int I : {0, 1}) {
    const TimePoint At = Start + I * 40min;
    const EngineCrash Crash{EndpointId("engine-" + std::to_string(I)), Incarnation(1), At, false};
    Quarantine.merge({{Poison, false, {Crash}}}, At);
  }
  BOOST_TEST(!Quarantine.find({Poison}, Start + 40min));
}

// The cause explains the crashes of a sound part only where all of them are known.
BOOST_AUTO_TEST_CASE(ASoundPartIsRefusedWhereOnlyTheNewestCrashesOfTheCauseAreKnown) {
  PromptQuarantine Owner;
  PromptQuarantine Restarted;
  for (int I = 0; I < 2; ++I)
    crash(Owner, PoisonParts, I, I * 1s);
  for (int I = 2; I < 7; ++I)
    crash(Owner, {Poison}, I, I * 1s);
  const TimePoint Now = Start + 8s;
  BOOST_TEST(!Owner.find(SoundParts, Now));
  Restarted.merge(Owner.suspects(Now), Now);
  BOOST_TEST(!Restarted.find(SoundParts, Now));
  BOOST_TEST(Restarted.find(PoisonParts, Now).has_value());
}

// The part was answered until a release. Each request with it has another part that is new.
BOOST_AUTO_TEST_CASE(APartThatBecameBadIsNotFoundBesideNewParts) {
  PromptQuarantine Quarantine;
  Quarantine.onServed({Poison}, Start - 1min);
  for (int I = 0; I < 40; ++I)
    crash(Quarantine, {PromptPartId("new-" + std::to_string(I)), Poison}, I, I * 1s);
  BOOST_TEST(Quarantine.find({PromptPartId("new-99"), Poison}, Start + 41s).has_value());
}
