#include "Core/Settings/SettingsReplica.h"
#include "Tests/Core/Settings/Records.h"

#include <boost/test/unit_test.hpp>

#include <random>
#include <string>
#include <vector>

using namespace rattancart;

namespace {

constexpr int Rounds = 20000;

std::vector<std::string> validTexts() {
  SettingsLog Log;
  std::vector<std::string> Texts{
      changeRecord("1", -1,
                   putEdit("/teams/a/routes/r",
                           R"({"match":{"path":"/x","method":"POST"},"service":"s",)"
                           R"("safety":"at-most-once","key":{"pointer":"/k"},"timeout":"1s"})")),
      changeRecord("2", 0, putEdit("/defaults/limit/weight", R"(["0.25"])")),
      changeRecord("3", 1, deleteEdit("/teams/a")),
  };
  for (std::size_t I = 0; I < Texts.size(); ++I)
    Log.apply(LogOffset(static_cast<std::int64_t>(I)), Texts[I]);
  Texts.push_back(formatSnapshot(Log));
  Texts.push_back(Log.image());
  return Texts;
}

/// Changes, removes, duplicates or inserts a few bytes.
std::string mutate(std::string Text, const std::vector<std::string> &Others,
                   std::mt19937_64 &Random) {
  const std::uint64_t Count = 1 + Random() % 4;
  for (std::uint64_t I = 0; I < Count && !Text.empty(); ++I) {
    const std::size_t At = Random() % Text.size();
    const std::string &Other = Others[Random() % Others.size()];
    switch (Random() % 5) {
    case 0:
      Text[At] = static_cast<char>(Random() % 256);
      break;
    case 1:
      Text.erase(At, 1 + Random() % 8);
      break;
    case 2:
      Text.insert(At, Text.substr(At, Random() % 16));
      break;
    case 3:
      Text[At] = R"({}[]",:0-19.e/)"[Random() % 14];
      break;
    default:
      Text.insert(At, Other.substr(Random() % Other.size(), Random() % 32));
    }
  }
  return Text;
}

} // namespace

// Whatever a record contains, a reader must not crash, and must stay in the same state as one that
// starts from its image.
BOOST_AUTO_TEST_CASE(DamagedRecordsLeaveReadersInTheSameState) {
  std::mt19937_64 Random(20261204);
  const std::vector<std::string> Texts = validTexts();
  SettingsLog Log;
  std::int64_t Offset = 0;
  for (int I = 0; I < Rounds; ++I) {
    const std::string Text = mutate(Texts[Random() % Texts.size()], Texts, Random);
    Log.apply(LogOffset(Offset), Text);
    if (Log.stopped()) {
      Log = SettingsLog();
      Offset = 0;
      continue;
    }
    ++Offset;
    static_cast<void>(imageOfSnapshot(Text));
    static_cast<void>(SettingsLog::fromImage(Text));
    if (I % 50 == 0) {
      const Result<SettingsLog> Copy = SettingsLog::fromImage(Log.image());
      BOOST_REQUIRE(static_cast<bool>(Copy));
      BOOST_REQUIRE(Copy->digest() == Log.digest());
    }
  }
}
