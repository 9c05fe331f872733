#include "platform/ConfigFields.h"

#include "Core/Serving/ConfigDiff.h"
#include "platform/ConfigCodec.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <functional>

using namespace rattancart;
using namespace rattancart::platform;
using boost::json::value;

namespace {

/// Every field that the decoder reads, with a value other than the default, and some that it
/// doesn't read.
const char *const ConfigText = R"({"version":7,"comment":"c",
 "routes":[
  {"name":"r1","host":"h.example","path_prefix":"/a/","route_kind":"streaming","timeout_ms":20000,
   "goal_ms":500,"priority":1,"split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
   "max_attempts":2,"public":true,"sticky":true,"resumable":true,"gap_target_ms":200},
  {"name":"r2","host":"h.example","path_prefix":"/b/","route_kind":"idempotent",
   "service":"s2"}],
 "services":[
  {"name":"s1","health_path":"/healthz","max_conns":978,"tls":false,
   "engine":{"slots":192,"kv_token_bytes":590000,"models":[{"name":"m","load_s":14.0,"tag":"t"}],
    "step_ms":0.85,"per_seq_ms":0.5,"context_per_k":0.25,"read_per_s":196000.0,
    "loads_at_once":6,"usual":{"prompt":772,"answer":174},"layers":80,"layer_mb":1750.0,
    "kinds":[{"name":"h100","size_mb":72000.0,"pace":1.4,"read_factor":1.5}]}},
  {"name":"s2","max_conns":110}],
 "limits":{"max_header_bytes":16385,"max_body_bytes":4194305,"header_timeout_ms":3001,
  "idle_timeout_ms":15001},
 "tenants":[{"name":"c1","api_keys":["k1","k2"],"priority":3},{"name":"c2","api_keys":["k3"]}]})";

/// Calls Visit with the JSON pointer of each value inside Of.
void forEachPointer(const value &Of, const std::string &Pointer,
                    const std::function<void(const std::string &)> &Visit) {
  const auto Enter = [&](const std::string &Name, const value &Inner) {
    const std::string Place = fmt::format("{}/{}", Pointer, Name);
    Visit(Place);
    forEachPointer(Inner, Place, Visit);
  };
  if (const auto *Object = Of.if_object())
    for (const auto &Member : *Object)
      Enter(std::string(Member.key()), Member.value());
  else if (const auto *Array = Of.if_array())
    for (std::size_t I = 0; I < Array->size(); ++I)
      Enter(std::to_string(I), (*Array)[I]);
}

std::string lines(const std::vector<ConfigFinding> &Findings) {
  std::string Lines;
  for (const ConfigFinding &Each : Findings)
    Lines += fmt::format("{} {}: {}\n", findingInfo(Each.Code_).Name_, Each.Subject_, Each.Detail_);
  return Lines;
}

/// Removes the member that the pointer names.
void erase(value &Json, const std::string &Pointer) {
  const std::size_t Slash = Pointer.rfind('/');
  Json.at_pointer(Pointer.substr(0, Slash)).as_object().erase(Pointer.substr(Slash + 1));
}

struct FieldCase {
  /// JSON pointer of the value.
  const char *Pointer_;
  /// The new value; null removes the member.
  const char *Value_;
  const char *Findings_;
};

std::ostream &operator<<(std::ostream &Out, const FieldCase &Case) {
  return Out << Case.Pointer_ << " = " << (Case.Value_ ? Case.Value_ : "nothing");
}

/// Each row guards against a value that the decoder replaces without a finding, or a finding about
/// one that it uses.
const FieldCase FieldCases[] = {
    {"/routes/0/max_attempts", "2.0",
     "value-replaced route r1: max_attempts is not a non-negative integer\n"},
    {"/routes/0/max_attempts", "-1",
     "value-replaced route r1: max_attempts is not a non-negative integer\n"},
    {"/routes/0/max_attempts", "4294967295", ""},
    {"/routes/0/max_attempts", "4294967296",
     "value-replaced route r1: max_attempts is above 4294967295\n"},
    {"/routes/0/max_attempts", nullptr, ""},
    {"/routes/0/max_attempts", "null", ""},
    {"/routes/0/public", "\"yes\"", "value-replaced route r1: public is not true or false\n"},
    {"/routes/0/timeout_ms", "\"20s\"", "value-replaced route r1: timeout_ms is not a number\n"},
    {"/routes/0/timeout_ms", "0.5", ""},
    {"/routes/0/timeout_ms", "9223372036854", ""},
    {"/routes/0/timeout_ms", "9223372036855",
     "value-replaced route r1: timeout_ms is out of range\n"},
    {"/routes/0/timeout_ms", "-1e300", "value-replaced route r1: timeout_ms is out of range\n"},
    {"/routes/0/split/1/weight", nullptr, "value-replaced route r1: split s2.weight is missing\n"},
    {"/routes/0/split/1/weight", "null", "value-replaced route r1: split s2.weight is missing\n"},
    {"/routes/0/split/1/service", nullptr,
     "entry-skipped route r1: split: share 2 names no service\n"},
    {"/routes/0/split/1", "\"s2\"", "entry-skipped route r1: split: entry 2 is not an object\n"},
    {"/routes/1/service", "[\"s2\"]", "value-replaced route r2: service is not a string\n"},
    {"/services/1", "\"s2\"", "entry-skipped configuration: services: entry 2 is not an object\n"},
    {"/services/0/engine", "[]", "value-replaced service s1: engine is not an object\n"},
    {"/services/0/engine", "null", ""},
    {"/services/0/engine/layer_mb", nullptr,
     "value-replaced service s1: engine.layer_mb is missing\n"},
    {"/services/0/engine/read_per_s", "0.5",
     "value-replaced service s1: engine.read_per_s is below 1\n"},
    {"/services/0/engine/models/0/load_s", "1e10",
     "value-replaced service s1: engine.models.load_s is out of range\n"},
    {"/services/0/engine/models", R"([{"name":"m"},{"name":"n"}])",
     "entry-skipped service s1: engine.models: only the first model is used\n"},
    {"/services/0/engine/kinds/0/name", nullptr,
     "value-replaced service s1: engine.kinds .name is missing\n"},
    {"/services/0/engine/kinds/0/size_mb", nullptr,
     "value-replaced service s1: engine.kinds h100.size_mb is missing\n"},
    {"/tenants/0/api_keys", "\"k1\"", "value-replaced customer c1: api_keys is not a list\n"},
    {"/tenants/0/api_keys/1", "12",
     "entry-skipped customer c1: api_keys: entry 2 is not a string\n"},
    {"/limits", "[]", "value-replaced configuration: limits is not an object\n"},
    {"/limits/max_header_bytes", "4294967296",
     "value-replaced limits: max_header_bytes is above 4294967295\n"},
    {"/limits/max_body_bytes", "4294967296", ""},
};

} // namespace

BOOST_DATA_TEST_CASE(FindsSkippedAndReplacedValues, FieldCases, Case) {
  value Json = boost::json::parse(ConfigText);
  if (Case.Value_)
    Json.at_pointer(Case.Pointer_) = boost::json::parse(Case.Value_);
  else
    erase(Json, Case.Pointer_);
  BOOST_REQUIRE(decodeConfig(boost::json::serialize(Json)));
  BOOST_TEST(lines(checkFields(Json.as_object())) == Case.Findings_);
}

// Guards against numbers that the JSON parser turns into infinity. They have no row above, because
// the serializer writes infinity as a text that the parser rejects.
BOOST_AUTO_TEST_CASE(FindsNumbersBeyondAllDoubles) {
  std::string Text = ConfigText;
  for (const std::string_view Number : {"20000", "90"})
    Text.replace(Text.find(Number), Number.size(), "1e999");
  const auto Config = decodeConfig(Text);
  BOOST_REQUIRE(Config);
  BOOST_TEST(lines(checkFields(boost::json::parse(Text).as_object())) ==
             "value-replaced route r1: timeout_ms is out of range\n");
  const auto Findings = checkConfig(*Config);
  BOOST_TEST(std::any_of(Findings.begin(), Findings.end(), [](const ConfigFinding &Each) {
    return Each.Code_ == FindingCode::InvalidWeight;
  }));
}

// Guards against a list of fields that differs from the decoder's: a value of another type gives a
// finding just if the decoder accepts the configuration and the value makes a difference.
BOOST_AUTO_TEST_CASE(AgreesWithTheDecoderAboutFields) {
  const value Sound = boost::json::parse(ConfigText);
  const auto Config = decodeConfig(ConfigText);
  BOOST_REQUIRE(Config);
  BOOST_TEST(lines(checkFields(Sound.as_object())).empty());
  unsigned Replaced = 0;
  unsigned Unread = 0;
  forEachPointer(Sound, "", [&](const std::string &Pointer) {
    value Changed = Sound;
    value &Target = Changed.at_pointer(Pointer);
    Target = Target.is_object() ? value(7) : value(boost::json::object());
    const auto Decoded = decodeConfig(boost::json::serialize(Changed));
    if (!Decoded)
      return;
    const bool Differs = !diffConfigs(*Config, *Decoded).empty();
    BOOST_TEST(checkFields(Changed.as_object()).empty() != Differs, Pointer);
    ++(Differs ? Replaced : Unread);
  });
  BOOST_TEST(Replaced > 40U);
  BOOST_TEST(Unread == 6U);
}

// Guards against a type of number that differs from the decoder's: a fraction or a negative number
// gives a finding just if the decoder takes it for a missing one.
BOOST_AUTO_TEST_CASE(AgreesWithTheDecoderAboutNumbers) {
  const value Sound = boost::json::parse(ConfigText);
  unsigned Replaced = 0;
  unsigned Used = 0;
  forEachPointer(Sound, "", [&](const std::string &Pointer) {
    value Changed = Sound;
    if (!Changed.at_pointer(Pointer).is_number())
      return;
    value Absent = Sound;
    erase(Absent, Pointer);
    const auto WithoutValue = decodeConfig(boost::json::serialize(Absent));
    if (!WithoutValue || diffConfigs(*decodeConfig(ConfigText), *WithoutValue).empty())
      return;
    for (const double Number : {0.5, -1.0}) {
      Changed.at_pointer(Pointer) = Number;
      const auto Decoded = decodeConfig(boost::json::serialize(Changed));
      BOOST_REQUIRE(Decoded);
      const bool IsReplaced = diffConfigs(*WithoutValue, *Decoded).empty();
      BOOST_TEST(checkFields(Changed.as_object()).empty() != IsReplaced,
                 Pointer << " = " << Number);
      ++(IsReplaced ? Replaced : Used);
    }
  });
  BOOST_TEST(Replaced > 10U);
  BOOST_TEST(Used > 20U);
}

// Guards against an integer that the decoder cuts to 32 bits without a finding.
BOOST_AUTO_TEST_CASE(FindsCutIntegers) {
  const value Sound = boost::json::parse(ConfigText);
  const auto Config = decodeConfig(ConfigText);
  BOOST_REQUIRE(Config);
  unsigned Cut = 0;
  forEachPointer(Sound, "", [&](const std::string &Pointer) {
    value Changed = Sound;
    if (!Changed.at_pointer(Pointer).is_number())
      return;
    Changed.at_pointer(Pointer) = std::uint64_t{1} << 32;
    const auto Decoded = decodeConfig(boost::json::serialize(Changed));
    BOOST_REQUIRE(Decoded);
    const auto Differences = diffConfigs(*Config, *Decoded);
    if (Differences.empty())
      return;
    const bool IsKept =
        std::any_of(Differences.begin(), Differences.end(), [](const ConfigDifference &Each) {
          return Each.After_.value_or("").find("4294967296") != std::string::npos;
        });
    // The decoder keeps this limit, and the HTTP server cuts it.
    const bool IsCut = !IsKept || Pointer == "/limits/max_header_bytes";
    BOOST_TEST(checkFields(Changed.as_object()).empty() != IsCut, Pointer);
    Cut += IsCut ? 1 : 0;
  });
  BOOST_TEST(Cut == 8U);
}

// Guards against a value that ends the program; run with the sanitizers too.
BOOST_AUTO_TEST_CASE(NoValueEndsTheCheck) {
  const value Sound = boost::json::parse(ConfigText);
  const auto Config = decodeConfig(ConfigText);
  BOOST_REQUIRE(Config);
  unsigned Accepted = 0;
  for (const char *Odd : {"null", "true", "[]", "[[]]", "[null,7,{}]", "{}", "\"\"", "\"\\u0000\"",
                          "0", "-9223372036854775808", "18446744073709551615", "1e308", "-1e308"})
    forEachPointer(Sound, "", [&](const std::string &Pointer) {
      value Changed = Sound;
      Changed.at_pointer(Pointer) = boost::json::parse(Odd);
      const auto Decoded = decodeConfig(boost::json::serialize(Changed));
      if (!Decoded)
        return;
      ++Accepted;
      for (const auto &Findings : {checkConfig(*Decoded), checkFields(Changed.as_object())})
        for (const ConfigFinding &Each : Findings)
          BOOST_TEST(Each.text().starts_with(findingInfo(Each.Code_).Text_));
      BOOST_TEST(diffConfigs(*Config, *Decoded).size() == diffConfigs(*Decoded, *Config).size());
    });
  BOOST_TEST(Accepted > 300U);
}
