#include "Core/Recovery/StorePolling.h"
#include "Core/Serving/EndpointRoster.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <ostream>
#include <vector>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};
constexpr Duration Tick = 10ms;
constexpr Duration Length = 25s;
/// An endpoint that has left the list serves on for this long.
constexpr Duration Leaving = 2000ms;
/// A process that was cut off from the store may use what it knew for this long after the cut.
constexpr Duration Settling = 3000ms;
constexpr Duration Latency = 5ms;
/// How long a call waits for an answer, beyond the time that it asks the store to wait.
constexpr Duration ResponseTime = 1200ms;

/// How the store fails for one process while it serves others.
struct ListOutageCase {
  const char *Name_;
  /// Calls get no answer at all, or else are refused at once.
  bool Silent_;
};

std::ostream &operator<<(std::ostream &Out, const ListOutageCase &Case) {
  return Out << Case.Name_;
}

const ListOutageCase ListOutageCases[] = {{"silent", true}, {"refusing", false}};

/// A change of the list.
struct ListChange {
  TimePoint At_;
  EndpointId Id_;
  bool Listed_ = false;
};

Duration draw(std::mt19937 &Random, Duration Least, Duration Most) {
  return Duration(
      std::uniform_int_distribution<Duration::rep>(Least.count(), Most.count())(Random));
}

/// One process that follows the list and the configuration of a simulated store.
class FollowerSimulation {
public:
  FollowerSimulation(bool Silent, TimePoint OutageBegin, TimePoint OutageEnd,
                     std::vector<ListChange> Changes, unsigned Seed)
      : Silent_(Silent), OutageBegin_(OutageBegin), OutageEnd_(OutageEnd),
        Changes_(std::move(Changes)), Random_(Seed) {
    for (const ListChange &Change : Changes_)
      Roster_.updateListing(listing(Change.Id_), Start);
    const FreshnessBounds Bounds;
    List_ = {.Usual_ = listPollTiming(Bounds), .ReadsList_ = true};
    Config_ = {.Usual_ = configPollTiming(Bounds), .ReadsList_ = false};
    List_.NextAt_ = Start + draw(Random_, 0ms, 900ms);
    Config_.NextAt_ = Start + draw(Random_, 0ms, 900ms);
  }

  /// Moves on to Now; times must not decrease.
  void advanceTo(TimePoint Now) {
    step(List_, Now);
    step(Config_, Now);
    Roster_.prune(Now);
  }

  bool uses(const EndpointId &Id, TimePoint Now) const {
    const EndpointRecord *Record = Roster_.find(Id);
    return Record && Roster_.takesWork(*Record, Now);
  }

private:
  struct Reader {
    PollTiming Usual_;
    bool ReadsList_ = false;
    TimePoint NextAt_{};
    TimePoint StartedAt_{};
    std::optional<TimePoint> EndsAt_;
    bool Answered_ = false;
    bool Failed_ = false;
    StoreBackoff Backoff_;
  };

  static EndpointListing listing(const EndpointId &Id) {
    EndpointListing Listing;
    Listing.Id_ = Id;
    Listing.Run_ = Incarnation(1);
    return Listing;
  }

  bool away(TimePoint At) const { return At >= OutageBegin_ && At < OutageEnd_; }

  void begin(Reader &Each, TimePoint Now) {
    const Duration Wait = Each.Failed_ ? Duration{} : Each.Usual_.Wait_;
    // Heartbeats are written all the time, so a read of the list is answered at once.
    const TimePoint Answer = Now + Latency + (Each.ReadsList_ ? Duration{} : Wait);
    Each.StartedAt_ = Now;
    Each.Answered_ = !away(Now) && !away(Answer);
    if (Each.Answered_)
      Each.EndsAt_ = Answer;
    else
      Each.EndsAt_ = Silent_ ? Now + Wait + ResponseTime : std::max(Answer, OutageBegin_) + Latency;
  }

  void step(Reader &Each, TimePoint Now) {
    if (!Each.EndsAt_ && Now >= Each.NextAt_)
      return begin(Each, Now);
    if (!Each.EndsAt_ || Now < *Each.EndsAt_)
      return;
    Each.EndsAt_.reset();
    Each.Failed_ = !Each.Answered_;
    if (Each.Failed_) {
      Outage_.onFailed(Silent_ ? Each.StartedAt_ : Now);
      Each.NextAt_ = Now + Each.Backoff_.afterFailure(Random_);
      return;
    }
    Each.Backoff_.succeeded();
    Outage_.onAnswered(Now);
    if (Each.ReadsList_)
      readList(Now);
    const Duration Interval =
        Each.ReadsList_ ? Outage_.listInterval(Each.Usual_.Interval_, Now) : Each.Usual_.Interval_;
    Each.NextAt_ = std::max(Now, Each.StartedAt_ + Interval);
  }

  void readList(TimePoint Now) {
    for (; Read_ < Changes_.size() && Changes_[Read_].At_ <= Now; ++Read_) {
      const ListChange &Change = Changes_[Read_];
      if (Change.Listed_)
        Roster_.updateListing(listing(Change.Id_), Now);
      else
        Roster_.removeListing(Change.Id_, Outage_.entriesMayReappearUntil(Now), Now);
    }
  }

  bool Silent_;
  TimePoint OutageBegin_;
  TimePoint OutageEnd_;
  std::vector<ListChange> Changes_;
  std::size_t Read_ = 0;
  std::mt19937 Random_;
  Reader List_;
  Reader Config_;
  OutageDetector Outage_;
  EndpointRoster Roster_;
};

unsigned schedules() {
  const char *Text = std::getenv("RATTANCART_SCHEDULES");
  return Text ? static_cast<unsigned>(std::strtoul(Text, nullptr, 10)) : 3000U;
}

} // namespace

// Guards against requests to an endpoint that left the list at any time around an outage, after it
// has served on for as long as it promised (review/1).
BOOST_DATA_TEST_CASE(NoEndpointThatHasLeftIsUsed, ListOutageCases, Case) {
  const EndpointId Left("left");
  for (unsigned Seed = 1; Seed <= schedules(); ++Seed) {
    std::mt19937 Random(Seed);
    const auto Within = [&](Duration Least, Duration Most) { return draw(Random, Least, Most); };
    const TimePoint Begin = Start + Within(3s, 5s);
    const TimePoint End = Begin + Within(500ms, 9s);
    const TimePoint LeftAt =
        Within(0s, 1s) < 300ms ? Begin + Within(0s, End - Begin) : End + Within(0s, 4s);
    FollowerSimulation Process(Case.Silent_, Begin, End, {{LeftAt, Left, false}}, Seed);
    const TimePoint Until = std::max(LeftAt + Leaving, End + Settling);
    for (TimePoint Now = Start; Now < Start + Length; Now += Tick) {
      Process.advanceTo(Now);
      if (Now <= Until || !Process.uses(Left, Now))
        continue;
      BOOST_ERROR("seed " << Seed << ": used " << (Now - LeftAt) / 1ms << " ms after it left, "
                          << (Now - End) / 1ms << " ms after the outage");
      break;
    }
  }
}

// Endpoints whose entries expired in an outage and are soon back must serve on all the while.
BOOST_AUTO_TEST_CASE(AnEndpointWhoseEntryIsSoonBackIsUsedWithoutAGap) {
  const EndpointId Expired("expired");
  for (unsigned Seed = 1; Seed <= schedules(); ++Seed) {
    std::mt19937 Random(Seed);
    const auto Within = [&](Duration Least, Duration Most) { return draw(Random, Least, Most); };
    const TimePoint Begin = Start + Within(3s, 5s);
    const TimePoint End = Begin + Within(4s, 9s);
    const TimePoint Back = End + Within(0s, 1500ms);
    FollowerSimulation Process(/*Silent=*/false, Begin, End,
                               {{Begin + 3600ms, Expired, false}, {Back, Expired, true}}, Seed);
    for (TimePoint Now = Start; Now < Start + Length; Now += Tick) {
      Process.advanceTo(Now);
      if (Process.uses(Expired, Now))
        continue;
      BOOST_ERROR("seed " << Seed << ": not used " << (Now - End) / 1ms << " ms after the outage");
      break;
    }
  }
}
