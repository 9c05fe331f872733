#include "platform/ConfigCodec.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <random>

using namespace rattancart;
using namespace rattancart::platform;
using namespace std::chrono_literals;

namespace {

const char *const ConfigText = R"({"version":7,
 "routes":[
  {"name":"r1","host":"h.example","path_prefix":"/a/","route_kind":"streaming","timeout_ms":20000,
   "goal_ms":500,"priority":1,"split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
   "max_attempts":2,"public":false,"sticky":true,"resumable":true,"gap_target_ms":200},
  {"name":"r2","host":"h.example","path_prefix":"/b/","route_kind":"non_idempotent",
   "timeout_ms":600,"goal_ms":100,"priority":2,"service":"s2","max_attempts":1,"public":true}],
 "services":[
  {"name":"s1","health_path":"/healthz","max_conns":978,"protocol":"h1","tls":false,
   "engine":{"slots":192,"kv_token_bytes":590000,"models":[{"name":"m","load_s":14.0}],
    "step_ms":0.85,"per_seq_ms":0.00382,"context_per_k":0.00512,"read_per_s":196000.0,
    "loads_at_once":6,"usual":{"prompt":772,"answer":174},"layers":80,"layer_mb":1750.0,
    "kinds":[{"name":"h100","size_mb":72000.0,"pace":1.4,"read_factor":1.0}]}},
  {"name":"s2","health_path":"/healthz","max_conns":110}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
  "idle_timeout_ms":15000},
 "tenants":[{"name":"c1","api_keys":["k1","k2"],"priority":3},{"name":"c2","api_keys":["k3"]}]})";

const char *const ListingText = R"({"service":"s1","address":"10.0.0.9:80","zone":"z1",
 "version":"v1","slots":192,"state":"ready","cold_left_ms":0,"born":1768186698003,"sequence":4,
 "route_kind":"h100","layers":{"from":20,"target":48,"version":1}})";

struct ListingCase {
  const char *Name_;
  const char *Field_;
  /// The new value of the field; null removes the field.
  const char *Value_;
  bool Usable_;
};

std::ostream &operator<<(std::ostream &Out, const ListingCase &Case) { return Out << Case.Name_; }

const ListingCase ListingCases[] = {
    {"as it is", "slots", "192", true},
    {"a new field", "colour", "\"red\"", true},
    {"no service", "service", nullptr, false},
    {"service of another type", "service", "7", false},
    {"no address", "address", nullptr, false},
    {"no data centre", "zone", nullptr, false},
    {"unknown state", "state", "\"resting\"", false},
    {"state of another type", "state", "1", false},
    {"leaving", "state", "\"draining\"", true},
    {"layers of another type", "layers", "\"all\"", true},
    {"no version", "version", nullptr, false},
    {"version of another type", "version", "1", false},
    {"no slots", "slots", nullptr, false},
    {"slots of another type", "slots", "\"192\"", false},
    {"a fraction of a slot", "slots", "0.5", false},
    {"negative slots", "slots", "-1", false},
    {"slots that are too large", "slots", "4294967296", false},
    {"slots beyond all integers", "slots", "18446744073709551616", false},
    {"slots beyond all numbers", "slots", "1e308", false},
    {"no sequence", "sequence", nullptr, false},
    {"sequence beyond all integers", "sequence", "99999999999999999999", false},
    {"the largest sequence", "sequence", "18446744073709551615", true},
    {"no time to warm up", "cold_left_ms", nullptr, false},
    {"a negative time to warm up", "cold_left_ms", "-1", false},
    {"a fraction of a ms to warm up", "cold_left_ms", "0.5", true},
    {"start time of another type", "born", "\"today\"", false},
    {"start time beyond all integers", "born", "1e308", false},
    {"no start time", "born", nullptr, true},
    {"port out of range", "address", "\"10.0.0.9:99999\"", false},
    {"port of 0", "address", "\"10.0.0.9:0\"", false},
    {"negative port", "address", "\"10.0.0.9:-1\"", false},
    {"letters after the port", "address", "\"10.0.0.9:80x\"", false},
    {"no port", "address", "\"10.0.0.9\"", false},
    {"an empty port", "address", "\"10.0.0.9:\"", false},
    {"no host", "address", "\":80\"", false},
    {"an empty address", "address", "\"\"", false},
    {"a name in place of an address", "address", "\"desk.example:80\"", false},
    {"half a bracket", "address", "\"[::1\"", false},
    {"an address of version 6", "address", "\"[fd00::9]:80\"", true},
    {"the unspecified address", "address", "\"0.0.0.0:80\"", false},
    {"a multicast address", "address", "\"224.0.0.1:80\"", false},
    {"layers out of range", "layers", R"({"from":0,"target":99999999999})", true},
    {"layers that end before they begin", "layers", R"({"from":9,"target":3})", true},
};

struct CustomersCase {
  const char *Name_;
  /// The value of the field; null removes the field.
  const char *Value_;
  bool Accepted_;
  /// The number of customers; nothing if requests need no key.
  std::optional<std::size_t> Customers_;
};

std::ostream &operator<<(std::ostream &Out, const CustomersCase &Case) { return Out << Case.Name_; }

const CustomersCase CustomersCases[] = {
    {"no list", nullptr, true, std::nullopt},
    {"an empty list", "[]", true, 0},
    {"one customer", R"([{"name":"c","api_keys":["k"]}])", true, 1},
    {"a customer without keys", R"([{"name":"c"}])", true, 1},
    {"a null", "null", false, std::nullopt},
    {"an object", R"({"c":["k"]})", false, std::nullopt},
    {"a text", R"("c")", false, std::nullopt},
    {"an entry of another type", R"([7])", false, std::nullopt},
    {"an entry without a name", R"([{"api_keys":["k"]}])", false, std::nullopt},
    {"an entry with an empty name", R"([{"name":"","api_keys":["k"]}])", false, std::nullopt},
};

/// The text with some bytes changed, removed or repeated.
std::string mangled(std::string Text, std::mt19937 &Random) {
  const unsigned Changes = 1 + Random() % 4;
  for (unsigned I = 0; I < Changes && !Text.empty(); ++I) {
    const std::size_t At = Random() % Text.size();
    switch (Random() % 4) {
    case 0:
      Text[At] = static_cast<char>(Random());
      break;
    case 1:
      Text.erase(At, 1 + Random() % 8);
      break;
    case 2:
      Text.insert(At, Text.substr(At, 1 + Random() % 16));
      break;
    default:
      Text.resize(At);
    }
  }
  return Text;
}

} // namespace

BOOST_AUTO_TEST_CASE(DecodesAConfiguration) {
  const auto Config = decodeConfig(ConfigText);
  BOOST_REQUIRE(Config);
  BOOST_TEST(Config->Revision_.value() == 7U);
  BOOST_REQUIRE(Config->Routes_.size() == 2U);
  const ServingRoute &Stream = Config->Routes_[0];
  BOOST_TEST((Stream.Kind_ == RequestKind::Stream));
  BOOST_TEST((Stream.Timeout_ == 20s));
  BOOST_TEST((Stream.Objective_ == 500ms));
  BOOST_TEST((Stream.PauseObjective_ == 200ms));
  BOOST_TEST(Stream.Services_.size() == 2U);
  BOOST_TEST(Stream.Services_[1].Weight_ == 10);
  BOOST_TEST(Stream.MaxAttempts_ == 2U);
  BOOST_TEST(Stream.isRetryable());
  const ServingRoute &Once = Config->Routes_[1];
  BOOST_TEST((Once.Kind_ == RequestKind::OnceOnly));
  BOOST_TEST(!Once.isRetryable());
  BOOST_TEST(Once.Public_);
  BOOST_TEST(Once.Services_.front().Service_.str() == "s2");
  BOOST_REQUIRE(Config->Services_[0].Model_.has_value());
  const LayeredModel &Model = *Config->Services_[0].Model_;
  BOOST_TEST(Model.Layers_ == 80U);
  BOOST_TEST(Model.LayerMb_ == 1750);
  BOOST_TEST(Model.TokenBytes_ == 590000);
  BOOST_TEST((Model.LoadTime_ == 14s));
  BOOST_TEST((Model.Step_ == 850us));
  BOOST_TEST(Model.ConcurrentLoads_ == 6U);
  BOOST_REQUIRE(Model.kind("h100"));
  BOOST_TEST(Model.kind("h100")->MemoryMb_ == 72000);
  BOOST_TEST(!Model.kind("l4"));
  BOOST_TEST(!Config->Services_[1].Model_.has_value());
  BOOST_REQUIRE(Config->Customers_.has_value());
  const std::vector<ServingCustomer> &Customers = *Config->Customers_;
  BOOST_TEST(Customers[0].Keys_.size() == 2U);
  BOOST_TEST(Customers[0].Priority_.value_or(0) == 3U);
  BOOST_TEST(!Customers[1].Priority_.has_value());
  BOOST_TEST((Config->Limits_.HeaderTimeout_ == 3s));
}

// Guards against a list of customers that is empty, or can't be read, being taken for a missing
// one, with which requests need no key (review/2).
BOOST_DATA_TEST_CASE(OnlyAMissingListOfCustomersMeansThatNoKeyIsNeeded, CustomersCases, Case) {
  auto Object = boost::json::parse(ConfigText).as_object();
  if (Case.Value_)
    Object["tenants"] = boost::json::parse(Case.Value_);
  else
    Object.erase("tenants");
  const auto Config = decodeConfig(boost::json::serialize(Object));
  BOOST_REQUIRE(static_cast<bool>(Config) == Case.Accepted_);
  if (!Config)
    return;
  BOOST_REQUIRE(Config->Customers_.has_value() == Case.Customers_.has_value());
  if (Case.Customers_)
    BOOST_TEST(Config->Customers_->size() == *Case.Customers_);
}

BOOST_DATA_TEST_CASE(RejectsEntriesWithoutAUsableEndpoint, ListingCases, Case) {
  auto Object = boost::json::parse(ListingText).as_object();
  if (Case.Value_)
    Object[Case.Field_] = boost::json::parse(Case.Value_);
  else
    Object.erase(Case.Field_);
  BOOST_TEST(static_cast<bool>(decodeListing("i-1", boost::json::serialize(Object))) ==
             Case.Usable_);
}

// Guards against an entry whose nesting ends the process that reads it.
BOOST_DATA_TEST_CASE(DeeplyNestedEntriesAreRejected,
                     boost::unit_test::data::make({100, 10'000, 1'000'000}), Depth) {
  const auto Levels = static_cast<std::size_t>(Depth);
  const std::string Array = std::string(Levels, '[') + std::string(Levels, ']');
  const std::string Entry = ListingText;
  BOOST_TEST(!decodeListing("i", Array));
  BOOST_TEST(!decodeListing("i", Entry.substr(0, Entry.size() - 1) + ",\"extra\":" + Array + "}"));
  BOOST_TEST(!decodeReport("{\"stalled\":" + Array + "}"));
  BOOST_TEST(!decodeConfig("{\"routes\":" + Array + "}"));
}

BOOST_AUTO_TEST_CASE(DecodesAnEntry) {
  const auto Listing = decodeListing("i-1", ListingText);
  BOOST_REQUIRE(Listing);
  BOOST_TEST(Listing->Id_.str() == "i-1");
  BOOST_TEST(Listing->DataCenter_.str() == "z1");
  BOOST_TEST(Listing->Run_.value() == 1768186698003U);
  BOOST_TEST(Listing->Kind_ == "h100");
  BOOST_TEST((Listing->Layers_ == LayerRange{20, 48}));
}

BOOST_AUTO_TEST_CASE(DecodesAReport) {
  const auto Report = decodeReport(
      R"({"busy":true,"sequence":2,"waiting":1,"running":12,"kv_used":41000,"kv_total":90000,
          "pace":2.5,"born":5,"models":[{"name":"m","layers":{"from":0,"target":8}}],
          "stalled":[{"id":"a","address":"10.0.0.1:80"},{"id":"b"}]})");
  BOOST_REQUIRE(Report);
  BOOST_TEST(Report->Busy_);
  BOOST_TEST(Report->Orders_ == 2U);
  BOOST_TEST(Report->UsedTokenLayers_ == 41000);
  BOOST_TEST(Report->Slowdown_ == 2.5);
  BOOST_TEST((Report->Layers_ == LayerRange{0, 8}));
  BOOST_TEST(Report->Stalled_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(MalformedTextsNeverCrashTheDecoder) {
  int Decoded = 0;
  for (unsigned Seed = 1; Seed <= 20'000; ++Seed) {
    std::mt19937 Random(Seed);
    Decoded += decodeConfig(mangled(ConfigText, Random)) ? 1 : 0;
    Decoded += decodeListing("i", mangled(ListingText, Random)) ? 1 : 0;
    Decoded += decodeReport(mangled(ListingText, Random)) ? 1 : 0;
  }
  // Changes within values and unknown fields still give a valid text.
  BOOST_TEST(Decoded > 1000);
  BOOST_TEST(Decoded < 55'000);
}
