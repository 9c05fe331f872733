#include "Core/Settings/SettingsLog.h"
#include "Tests/Core/Settings/Records.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <map>
#include <optional>
#include <ostream>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace rattancart;

// Property: all readers of a log reach the same decisions, no change takes effect twice, and an
// accepted value stays until another accepted change replaces it. Random logs are read by one
// reader from the start and by one from each snapshot.
namespace {

constexpr int DefaultLogs = 4000;
constexpr std::size_t LogLength = 40;

/// The number of random logs; RATTANCART_SETTINGS_LOGS overrides the default.
int logCount() {
  const char *Text = std::getenv("RATTANCART_SETTINGS_LOGS");
  return Text ? std::atoi(Text) : DefaultLogs;
}

struct ReadOutcome {
  SettingsDecision::Kind Kind_;
  int Error_;
  std::uint64_t Digest_;
};

/// A random log, and the outcome of each record for the reader from the start.
struct RandomLog {
  std::vector<std::string> Records_;
  std::vector<ReadOutcome> Outcomes_;
  /// The offset that each snapshot covers, by the offset of the snapshot record.
  std::map<std::size_t, std::size_t> Snapshots_;
  std::optional<std::string> Violation_;
};

class LogBuilder {
public:
  LogBuilder(SettingsLogFeatures Features, std::uint64_t Seed)
      : Features_(Features), Random_(Seed) {}

  RandomLog build() {
    States_.emplace_back(Features_);
    for (std::size_t I = 0; I < LogLength && !Log_.Violation_; ++I) {
      Log_.Records_.push_back(nextRecord());
      SettingsLog State = States_.back();
      const std::string Before = State.tree().toJson({}, NumberStyle::Exact);
      const SettingsDecision Outcome =
          State.apply(LogOffset(static_cast<std::int64_t>(I)), Log_.Records_.back());
      Log_.Outcomes_.push_back({Outcome.Kind_, Outcome.Error_.value(), State.digest()});
      const bool Accepted = Outcome.Kind_ == SettingsDecision::Kind::Accepted;
      if (Accepted && !AppliedIds_.insert(Outcome.Change_.str()).second)
        Log_.Violation_ = "a change takes effect twice: " + Outcome.Change_.str();
      if (!Accepted && State.tree().toJson({}, NumberStyle::Exact) != Before)
        Log_.Violation_ = "a record that was not accepted changed the settings";
      States_.push_back(std::move(State));
    }
    for (const auto &[At, Covered] : Log_.Snapshots_)
      if (!Log_.Violation_)
        Log_.Violation_ = compare(Covered);
    return std::move(Log_);
  }

private:
  std::uint64_t draw(std::uint64_t Below) { return Random_() % Below; }

  std::string nextRecord() {
    const std::size_t Offset = Log_.Records_.size();
    const std::uint64_t Choice = draw(10);
    if (Choice < 2 && !Changes_.empty())
      return Changes_[draw(Changes_.size())];
    if (Choice < 4 && Offset > 0) {
      // A delayed writer may publish the image of any earlier state.
      const std::size_t Covered = draw(3) == 0 ? draw(Offset) : Offset - 1;
      Log_.Snapshots_[Offset] = Covered;
      return formatSnapshot(States_[Covered + 1]);
    }
    if (Choice == 4 && draw(4) == 0)
      return "{damaged";
    const std::int64_t Back = static_cast<std::int64_t>(draw(draw(3) == 0 ? LogLength : 5));
    const std::int64_t Base =
        std::max<std::int64_t>(-1, static_cast<std::int64_t>(Offset) - 1 - Back);
    Changes_.push_back(changeRecord(fmt::format("c{}", Changes_.size()), Base, edits()));
    return Changes_.back();
  }

  std::string edits() {
    std::string Text = oneEdit(0);
    if (draw(3) == 0)
      Text += "," + oneEdit(1);
    return Text;
  }

  /// An edit of the team Side. Edits of different teams never overlap.
  std::string oneEdit(int Side) {
    const std::string Team = fmt::format("/teams/t{}", Side);
    const std::string Customer = fmt::format("{}/limits/c{}x{}", Team, Side, draw(2));
    const std::string Model = fmt::format("{}/models/m{}/1", Team, Side);
    switch (draw(8)) {
    case 0:
      return deleteEdit(Team);
    case 1:
    case 2:
      return deleteEdit(Customer);
    case 3:
      return putEdit(Customer, fmt::format(R"({{"concurrent":{}}})", draw(9)));
    case 4:
      // Valid only while the model's layer count is set.
      return putEdit(Model + "/max-tokens", fmt::format("{}", 1 + draw(9)));
    case 5:
      return draw(2) == 0 ? putEdit(Model + "/layer-count", "4") : deleteEdit(Model);
    default:
      return putEdit(Customer + "/concurrent", fmt::format("{}", draw(9)));
    }
  }

  /// Compares a reader that starts from the image at offset Covered with the reader from the start.
  std::optional<std::string> compare(std::size_t Covered) {
    Result<SettingsLog> Reader = SettingsLog::fromImage(States_[Covered + 1].image(), Features_);
    if (!Reader)
      return "image rejected: " + Reader.error().Detail_;
    for (std::size_t I = Covered + 1; I < Log_.Records_.size(); ++I) {
      const SettingsDecision Outcome =
          Reader->apply(LogOffset(static_cast<std::int64_t>(I)), Log_.Records_[I]);
      const ReadOutcome &Expected = Log_.Outcomes_[I];
      if (Outcome.Kind_ != Expected.Kind_ || Outcome.Error_.value() != Expected.Error_)
        return fmt::format("the reader from {} decides record {} differently", Covered, I);
    }
    if (Reader->tree().toJson({}, NumberStyle::Exact) !=
        States_.back().tree().toJson({}, NumberStyle::Exact))
      return fmt::format("the reader from {} ends with different settings", Covered);
    if (hasAllFeatures(Features_) && Reader->digest() != Log_.Outcomes_.back().Digest_)
      return fmt::format("the reader from {} ends in a different state", Covered);
    return std::nullopt;
  }

  static bool hasAllFeatures(const SettingsLogFeatures &Features) {
    return Features.EnforceFloor_ && Features.FloorInImage_ && Features.TombstonesInImage_ &&
           Features.IdsInImage_;
  }

  SettingsLogFeatures Features_;
  std::mt19937_64 Random_;
  RandomLog Log_;
  /// The states of the reader from the start, before each record and at the end.
  std::vector<SettingsLog> States_;
  std::vector<std::string> Changes_;
  std::set<std::string> AppliedIds_;
};

struct MissingFeature {
  std::string Name_;
  SettingsLogFeatures Features_;
};

std::ostream &operator<<(std::ostream &Out, const MissingFeature &Item) {
  return Out << Item.Name_;
}

const MissingFeature MissingFeatures[] = {
    {"no floor", {false, true, true, true}},
    {"floor left out of the image", {true, false, true, true}},
    {"tombstones left out of the image", {true, true, false, true}},
    {"ids left out of the image", {true, true, true, false}},
};

} // namespace

BOOST_AUTO_TEST_CASE(AllReadersDecideAlike) {
  std::size_t Snapshots = 0;
  std::map<SettingsDecision::Kind, int> Kinds;
  std::set<int> Errors;
  for (int Seed = 1; Seed <= logCount(); ++Seed) {
    const RandomLog Log = LogBuilder({}, static_cast<std::uint64_t>(Seed)).build();
    BOOST_REQUIRE_MESSAGE(!Log.Violation_, "seed " << Seed << ": " << *Log.Violation_);
    Snapshots += Log.Snapshots_.size();
    for (const ReadOutcome &Item : Log.Outcomes_) {
      ++Kinds[Item.Kind_];
      Errors.insert(Item.Error_);
    }
  }
  BOOST_TEST_MESSAGE(logCount() << " logs, " << Snapshots << " readers from snapshots");
  // The test is only meaningful if the logs reach every kind of decision.
  BOOST_TEST(Kinds.size() == 4U);
  BOOST_TEST((Errors == std::set<int>{0, 202, 203, 204, 205, 207}));
}

BOOST_DATA_TEST_CASE(MissingFeaturesAreDetected, boost::unit_test::data::make(MissingFeatures),
                     Item) {
  for (int Seed = 1; Seed <= DefaultLogs; ++Seed) {
    const RandomLog Log = LogBuilder(Item.Features_, static_cast<std::uint64_t>(Seed)).build();
    if (Log.Violation_) {
      BOOST_TEST(true, Item.Name_ << ": seed " << Seed << ": " << *Log.Violation_);
      return;
    }
  }
  BOOST_TEST(false, Item.Name_ << " was not caught");
}
