#include "StandIns/Site/Site.h"

#include <CLI/CLI.hpp>

#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <filesystem>

using namespace rattancart;

int main(int Count, char **Arguments) {
  std::string Folder = ".";
  int Gateways = 3;
  int PeerPort = 7400;
  CLI::App App("Stand-in for the users' platform: store, layered engines and desks on loopback");
  App.add_option("--folder", Folder, "Where the gateways' settings files are written");
  App.add_option("--gateways", Gateways, "How many settings files to write");
  App.add_option("--peer-port", PeerPort, "First port of the gateways for each other, UDP and TCP");
  CLI11_PARSE(App, Count, Arguments);

  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  // Blocked before the site starts its thread, which inherits the mask, so that sigwait() below
  // receives the signals.
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);

  Site Running;
  const auto DataCenters = Running.dataCenters();
  for (int I = 0; I < Gateways; ++I) {
    const std::string Name = fmt::format("gateway-{}", I + 1);
    Running.writeGatewaySettings((std::filesystem::path(Folder) / (Name + ".yaml")).string(), Name,
                                 DataCenters[static_cast<std::size_t>(I) % DataCenters.size()],
                                 PeerPort + I);
  }
  std::printf("listening %s\n", Running.storeAddress().str().c_str());
  std::fflush(stdout);
  int Received = 0;
  sigwait(&Signals, &Received);
  return 0;
}
