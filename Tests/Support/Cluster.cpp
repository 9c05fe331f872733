#include "Tests/Support/Cluster.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <utility>

namespace rattancart {

namespace {

ProgramCommand platformCommand(std::vector<std::string> Arguments) {
  return {"rattancart-fake-platform", std::move(Arguments)};
}

std::filesystem::path createHistoryFolder() {
  std::string Name = (std::filesystem::temp_directory_path() / "rattancart-XXXXXX").string();
  if (!mkdtemp(Name.data()))
    throw std::runtime_error("can't create a folder for histories");
  return Name;
}

bool listsInstance(const HttpResult &Result, const std::string &Id) {
  if (Result.Error_ || Result.Response_.Status_ != 200)
    return false;
  const boost::json::value Body = boost::json::parse(Result.Response_.Body_);
  const boost::json::array &Entries = Body.at("instances").as_array();
  return std::any_of(Entries.begin(), Entries.end(), [&](const boost::json::value &Entry) {
    return std::string_view(Entry.at("id").as_string()) == Id;
  });
}

} // namespace

EndpointSpec engineSpec(std::string Id, LayerRange Layers, std::uint32_t LayerCount,
                        std::vector<std::string> Arguments) {
  EndpointSpec Spec{"rattancart-fake-engine", std::move(Id)};
  Spec.Arguments_ = {"--layers", fmt::format("{}-{}", Layers.Begin_, Layers.End_), "--layer-count",
                     std::to_string(LayerCount)};
  Spec.Arguments_.insert(Spec.Arguments_.end(), Arguments.begin(), Arguments.end());
  return Spec;
}

EndpointSpec serviceSpec(std::string Id, std::string Service, std::vector<std::string> Arguments) {
  EndpointSpec Spec{"rattancart-fake-service", std::move(Id)};
  Spec.Arguments_ = {"--service", std::move(Service)};
  Spec.Arguments_.insert(Spec.Arguments_.end(), Arguments.begin(), Arguments.end());
  return Spec;
}

Cluster::Cluster(std::vector<std::string> PlatformArguments)
    : Platform_(platformCommand(std::move(PlatformArguments))),
      HistoryFolder_(createHistoryFolder()) {}

Cluster::~Cluster() {
  std::error_code Ignored;
  std::filesystem::remove_all(HistoryFolder_, Ignored);
}

void Cluster::start(const std::vector<EndpointSpec> &Specs) {
  for (const EndpointSpec &Spec : Specs) {
    ProgramCommand Command{Spec.Program_,
                           {"--id", Spec.Id_, "--data-center", Spec.DataCenter_, "--platform",
                            platformAddress().str(), "--history-file",
                            (HistoryFolder_ / Spec.Id_).string()}};
    Command.Arguments_.insert(Command.Arguments_.end(), Spec.Arguments_.begin(),
                              Spec.Arguments_.end());
    Endpoints_.emplace(Spec.Id_, ChildProcess(Command));
  }
  for (const EndpointSpec &Spec : Specs)
    Http_.pollUntil(
        platformAddress(), "/v1/instances",
        [&](const HttpResult &Result) { return listsInstance(Result, Spec.Id_); },
        "the instance list");
}

void Cluster::setFaults(const std::string &Id, std::string Faults) {
  Http_.setFaults(Id == "platform" ? platformAddress() : address(Id), std::move(Faults));
}

std::string Cluster::history() const {
  std::string Lines;
  for (const auto &[Id, Process] : Endpoints_) {
    std::ifstream File(HistoryFolder_ / Id);
    Lines.append(std::istreambuf_iterator<char>(File), {});
  }
  return Lines;
}

} // namespace rattancart
