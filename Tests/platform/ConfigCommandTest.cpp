#include "platform/ConfigCommand.h"

#include "Core/Serving/ConfigCheck.h"
#include "Tests/Support/ChildProcess.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <unistd.h>

using namespace rattancart;
using namespace rattancart::platform;

namespace {

/// A directory of configuration files, removed at the end.
class ConfigFiles {
public:
  ConfigFiles()
      : Directory_(std::filesystem::temp_directory_path() /
                   ("rattancart-config-test-" + std::to_string(getpid()))) {
    std::filesystem::create_directories(path("directory"));
    write("sound", config(8, "timeout_ms", "20000"));
    write("warning", config(8, "timeout_ms", "100"));
    write("error", config(8, "service", "\"s9\""));
    write("rejected", config(8, "route_kind", "\"resting\""));
    write("in-force", config(7, "timeout_ms", "10000"));
    write("later", config(9, "timeout_ms", "20000"));
    write("list", "[]");
    write("empty", "");
    write("truncated", config(8, "timeout_ms", "20000").substr(0, 200));
    write("text", "version: 8\nroutes: []\n");
    const std::string Sound = config(8, "timeout_ms", "20000");
    const std::size_t Limit = 16 * 1024 * 1024;
    write("largest", Sound + std::string(Limit - Sound.size(), ' '));
    write("too-large", Sound + std::string(Limit + 1 - Sound.size(), ' '));
    write("control", config(8, "name", R"("r1\n\u001b[2J")"));
  }
  ~ConfigFiles() {
    std::error_code Ignored;
    std::filesystem::remove_all(Directory_, Ignored);
  }
  ConfigFiles(const ConfigFiles &) = delete;
  ConfigFiles &operator=(const ConfigFiles &) = delete;

  std::string path(const std::string &Name) const { return Directory_ / Name; }

private:
  /// A configuration with one route, of which one field has that value.
  static std::string config(int Version, const std::string &Field, const std::string &Value) {
    boost::json::value Json = boost::json::parse(
        R"({"routes":[{"name":"r1","host":"h.example","path_prefix":"/a/",
             "route_kind":"non_idempotent","timeout_ms":20000,"goal_ms":500,"service":"s1"}],
            "services":[{"name":"s1","max_conns":9}],
            "tenants":[{"name":"c1","api_keys":["secret-key"]}]})");
    Json.as_object()["version"] = Version;
    Json.at_pointer("/routes/0").as_object()[Field] = boost::json::parse(Value);
    std::ostringstream Text;
    Text << Json;
    return Text.str();
  }
  void write(const std::string &Name, const std::string &Text) const {
    std::ofstream(path(Name), std::ios::binary) << Text;
  }

  std::filesystem::path Directory_;
};

struct ExitCase {
  const char *Name_;
  /// Arguments; those that begin with @ are files.
  std::vector<std::string> Arguments_;
  int ExitCode_;
};

std::ostream &operator<<(std::ostream &Out, const ExitCase &Case) { return Out << Case.Name_; }

/// Each row guards against another exit code, by which scripts decide whether to send the file.
const ExitCase ExitCases[] = {
    {"sound", {"check", "@sound"}, 0},
    {"sound as JSON", {"check", "@sound", "--json"}, 0},
    {"warning", {"check", "@warning"}, 1},
    {"warning as JSON", {"check", "--json", "@warning"}, 1},
    {"error", {"check", "@error"}, 2},
    {"rejected", {"check", "@rejected"}, 2},
    {"JSON but no object", {"check", "@list"}, 2},
    {"later than the one in force", {"check", "@sound", "--against", "@in-force"}, 0},
    {"as the one in force", {"check", "@sound", "--against", "@sound"}, 2},
    {"before the one in force", {"check", "@sound", "--against", "@later"}, 2},
    {"a warning before an error", {"check", "@warning", "--against", "@later"}, 2},
    {"rejected, with one in force", {"check", "@rejected", "--against", "@in-force"}, 2},
    {"the largest file", {"check", "@largest"}, 0},
    {"no arguments", {}, 64},
    {"no file", {"check"}, 64},
    {"two files", {"check", "@sound", "@sound"}, 64},
    {"unknown command", {"send", "@sound"}, 64},
    {"unknown option", {"check", "@sound", "--force"}, 64},
    {"no file to compare with", {"check", "@sound", "--against"}, 64},
    {"help", {"--help"}, 0},
    {"help of the command", {"check", "--help"}, 0},
    {"version", {"--version"}, 0},
    {"missing", {"check", "@missing"}, 65},
    {"empty", {"check", "@empty"}, 65},
    {"truncated", {"check", "@truncated"}, 65},
    {"not JSON", {"check", "@text"}, 65},
    {"too large", {"check", "@too-large"}, 65},
    {"a directory", {"check", "@directory"}, 65},
    {"missing as JSON", {"check", "@missing", "--json"}, 65},
    {"missing to compare with", {"check", "@sound", "--against", "@missing"}, 65},
    {"unusable to compare with", {"check", "@sound", "--against", "@rejected"}, 65},
};

struct Output {
  ConfigExit Exit_;
  std::string Out_;
  std::string Errors_;
};

Output check(const std::string &File, const std::optional<std::string> &Against, bool Json) {
  std::ostringstream Out;
  std::ostringstream Errors;
  const ConfigExit Exit = checkConfigFile({File, Against, Json}, Out, Errors);
  return {Exit, Out.str(), Errors.str()};
}

} // namespace

BOOST_DATA_TEST_CASE(ProgramsExitCode, ExitCases, Case) {
  const ConfigFiles Files;
  std::vector<std::string> Arguments = Case.Arguments_;
  for (std::string &Argument : Arguments)
    if (Argument.starts_with('@'))
      Argument = Files.path(Argument.substr(1));
  BOOST_TEST(runProgram({"rattancart-config", Arguments}).ExitCode_ == Case.ExitCode_);
}

// Guards against an error that a script would take for a finding, and against several lines.
BOOST_AUTO_TEST_CASE(AnUnreadableFileGivesOneLine) {
  const ConfigFiles Files;
  for (const char *Name :
       {"missing", "empty", "truncated", "text", "too-large", "directory", "missing\nfile"})
    for (const bool Json : {false, true}) {
      const Output Printed = check(Files.path(Name), std::nullopt, Json);
      BOOST_TEST((Printed.Exit_ == ConfigExit::Unreadable), Name);
      BOOST_TEST(Printed.Out_.empty());
      BOOST_TEST(std::count(Printed.Errors_.begin(), Printed.Errors_.end(), '\n') == 1);
      BOOST_TEST(Printed.Errors_.starts_with("rattancart-config: "));
    }
  BOOST_TEST(check(Files.path("missing"), std::nullopt, false)
                 .Errors_.ends_with("missing: No such file or directory\n"));
}

BOOST_AUTO_TEST_CASE(PrintsFindingsAndDifferences) {
  const ConfigFiles Files;
  BOOST_TEST(check(Files.path("sound"), std::nullopt, false).Out_ == "no findings\n");
  BOOST_TEST(check(Files.path("warning"), std::nullopt, false).Out_ ==
             "warning objective-above-timeout: route r1: the objective is above the time-out: "
             "500 ms and 100 ms\n");
  BOOST_TEST(check(Files.path("rejected"), std::nullopt, false).Out_ ==
             "error rejected: configuration: the gateways reject the configuration: route r1: "
             "unknown kind\n");
  BOOST_TEST(check(Files.path("sound"), Files.path("in-force"), false).Out_ ==
             "no findings\n"
             "changed configuration: version: 7 -> 8\n"
             "changed route r1: timeout: 10000 ms -> 20000 ms\n");
  BOOST_TEST(check(Files.path("sound"), Files.path("sound"), false)
                 .Out_.ends_with(": 8 in force, 8 in the file\nno differences\n"));
}

BOOST_AUTO_TEST_CASE(PrintsJson) {
  const ConfigFiles Files;
  const auto Json =
      boost::json::parse(check(Files.path("error"), Files.path("in-force"), true).Out_);
  BOOST_TEST(Json.at_pointer("/findings/0/severity").as_string() == "error");
  BOOST_TEST(Json.at_pointer("/findings/0/code").as_string() == "unknown-service");
  BOOST_TEST(Json.at_pointer("/findings/0/subject").as_string() == "route r1");
  BOOST_TEST(Json.at_pointer("/findings/1/code").as_string() == "unreached-service");
  BOOST_TEST(Json.at_pointer("/differences").as_array().size() == 4U);
  BOOST_TEST(Json.at_pointer("/differences/0/before").as_string() == "7");
  const auto Alone = boost::json::parse(check(Files.path("sound"), std::nullopt, true).Out_);
  BOOST_TEST(Alone.at_pointer("/findings").as_array().empty());
  BOOST_TEST(!Alone.as_object().contains("differences"));
}

// Guards against a name in a file that begins a line of its own or controls the terminal.
BOOST_AUTO_TEST_CASE(EscapesControlCharacters) {
  const ConfigFiles Files;
  const std::string Out = check(Files.path("control"), Files.path("in-force"), false).Out_;
  BOOST_TEST(Out.find("route r1\\x0a\\x1b[2J") != std::string::npos, Out);
  BOOST_TEST(Out.find('\x1b') == std::string::npos);
}
