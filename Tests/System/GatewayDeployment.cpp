#include "Tests/System/GatewayDeployment.h"

#include "Core/Common/ErrorCode.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <random>
#include <thread>
#include <utility>

namespace rattancart {

namespace {

constexpr Duration AwaitTimeout = std::chrono::seconds(30);
constexpr Duration PollInterval = std::chrono::milliseconds(5);

/// Whether a socket of this protocol can be bound to the port on the loopback interface.
template <typename Protocol> bool isFree(boost::asio::io_context &Loop, std::uint16_t Port) {
  typename Protocol::socket Socket(Loop);
  boost::system::error_code E;
  Socket.open(Protocol::v4(), E);
  Socket.bind({boost::asio::ip::address_v4::loopback(), Port}, E);
  return !E;
}

/// Returns the first of Count consecutive ports that are free now for TCP and UDP. Throws
/// std::runtime_error if none are found. The ports lie below those that the kernel gives to
/// connections, which could take one before a gateway is restarted.
int findFreePorts(std::size_t Count) {
  constexpr int FirstPort = 20000;
  constexpr int LastPort = 32000;
  boost::asio::io_context Loop;
  std::random_device Random;
  for (int Attempt = 0; Attempt < 100; ++Attempt) {
    const int Port = std::uniform_int_distribution(FirstPort, LastPort)(Random);
    bool Free = true;
    for (std::size_t I = 0; I < Count && Free; ++I) {
      const auto Next = static_cast<std::uint16_t>(Port + static_cast<int>(I));
      Free = isFree<boost::asio::ip::udp>(Loop, Next) && isFree<boost::asio::ip::tcp>(Loop, Next);
    }
    if (Free)
      return Port;
  }
  throw std::runtime_error("no consecutive free ports were found");
}

/// A request of customer "crew". Tokens is the value of the header with the numbers of tokens,
/// empty for a request without them.
HttpRequest customerRequest(const std::string &Id, const char *Method, const char *Path,
                            const std::string &Key, const std::string &Tokens) {
  HttpRequest Request;
  Request.Method_ = Method;
  Request.Target_ = Path;
  Request.Body_ = std::string(Method) == "POST" ? "body" : "";
  Request.Headers_.add("Host", site::Host);
  Request.Headers_.add("X-Attempt-Id", Id);
  Request.Headers_.add("Authorization", "Token " + Key);
  if (!Tokens.empty())
    Request.Headers_.add("X-Token-Counts", Tokens);
  return Request;
}

HttpSendOptions customerSendOptions() {
  HttpSendOptions Options;
  Options.KeepHost_ = true;
  Options.ResponseTimeout_ = AwaitTimeout;
  return Options;
}

} // namespace

GatewayDeployment::GatewayDeployment(std::vector<std::string> DataCenters, SiteOptions Options)
    : Site_(std::move(Options)), DataCenters_(std::move(DataCenters)),
      Folder_(std::filesystem::temp_directory_path() /
              fmt::format("rattancart-gateways-{}", std::random_device{}())) {
  std::filesystem::create_directories(Folder_);
  FirstPort_ = findFreePorts(DataCenters_.size());
  Gateways_.resize(DataCenters_.size());
  Addresses_.resize(DataCenters_.size());
  StateAddresses_.resize(DataCenters_.size());
  for (std::size_t I = 0; I < DataCenters_.size(); ++I)
    start(I);
  for (std::size_t I = 0; I < DataCenters_.size(); ++I)
    await([&] { return isReady(I); }, "the gateways to be ready");
  if (Site_.layers().empty())
    return;
  for (const std::string &DataCenterName : DataCenters_)
    await([&] { return Site_.holdsAllLayers(DataCenterName); },
          "the model to be whole in " + DataCenterName);
  // A gateway learns a little later which layers the engines hold.
  for (std::size_t I = 0; I < DataCenters_.size(); ++I)
    await(
        [&] {
          const std::string Id = fmt::format("first-{}-{}", I, std::random_device{}());
          return consistsOfEvents(call(I, Id, "POST", site::BriefPath, 1).Response_.Body_, 1, 1);
        },
        "the first answer");
}

GatewayDeployment::~GatewayDeployment() {
  Gateways_.clear();
  std::error_code Ignored;
  std::filesystem::remove_all(Folder_, Ignored);
}

void GatewayDeployment::start(std::size_t Index) {
  const std::string File = (Folder_ / fmt::format("{}.yaml", Index)).string();
  Site_.writeGatewaySettings(File, fmt::format("gateway-{}", Index), DataCenters_[Index],
                             FirstPort_ + static_cast<int>(Index));
  auto Process =
      std::make_unique<ChildProcess>(ProgramCommand{"rattancart-gateway", {"--settings", File}});
  const std::string Line = Process->awaitLine("listening ");
  const std::size_t Space = Line.find(' ');
  Addresses_[Index] = NetAddress(Line.substr(0, Space));
  StateAddresses_[Index] = NetAddress(Line.substr(Line.rfind(' ') + 1));
  Gateways_[Index] = std::move(Process);
}

void GatewayDeployment::restart(std::size_t Index) {
  // A process that was killed a moment ago may still listen.
  Gateways_[Index]->wait(AwaitTimeout);
  start(Index);
  await([&] { return isReady(Index); }, "the gateway to be ready again");
}

NetAddress GatewayDeployment::peerAddress(std::size_t Index) const {
  return NetAddress(fmt::format("127.0.0.1:{}", FirstPort_ + static_cast<int>(Index)));
}

HttpResult GatewayDeployment::call(std::size_t Index, const std::string &Id, const char *Method,
                                   const char *Path, int Events, const std::string &Key,
                                   int Prompt) const {
  boost::asio::io_context Loop;
  HttpClient Client(Loop);
  std::optional<HttpResult> Received;
  Client.send(Addresses_[Index],
              customerRequest(Id, Method, Path, Key,
                              Events > 0 ? fmt::format("{},{}", Prompt, Events) : ""),
              customerSendOptions(), [&](HttpResult Result) { Received = std::move(Result); });
  while (!Received)
    Loop.run_one();
  return *Received;
}

std::future<HttpResult> GatewayDeployment::callAsync(std::size_t Index, const std::string &Id,
                                                     const char *Method, const char *Path,
                                                     int Events, int Prompt) const {
  return std::async(std::launch::async,
                    [=, this] { return call(Index, Id, Method, Path, Events, "key-1", Prompt); });
}

void GatewayDeployment::sendStream(HttpClient &Client, std::size_t Index, const std::string &Id,
                                   const std::vector<PromptPart> &Prompt, int Events,
                                   HttpCallback Done) const {
  int Tokens = 0;
  std::string Parts;
  for (const PromptPart &Part : Prompt) {
    Tokens += Part.Tokens_;
    Parts += fmt::format("{}{}:{}", Parts.empty() ? "" : ",", Part.Id_, Part.Tokens_);
  }
  HttpRequest Request =
      customerRequest(Id, "POST", site::BriefPath, "key-1", fmt::format("{},{}", Tokens, Events));
  Request.Headers_.add("X-Prompt-Prefix", Parts);
  Client.send(Addresses_[Index], std::move(Request), customerSendOptions(), std::move(Done));
}

void GatewayDeployment::await(const std::function<bool()> &Done, const std::string &What) {
  const auto Deadline = std::chrono::steady_clock::now() + AwaitTimeout;
  while (!Done()) {
    if (std::chrono::steady_clock::now() > Deadline)
      BOOST_FAIL("timeout while waiting for " + What);
    std::this_thread::sleep_for(PollInterval);
  }
}

std::string GatewayDeployment::awaitStream(std::uint64_t Events) const {
  std::string Found;
  await(
      [&] {
        for (const auto &[Id, Count] : Site_.streamCounts(Events))
          if (Count > 0)
            Found = Id;
        return !Found.empty();
      },
      "a stream to run");
  return Found;
}

std::string GatewayDeployment::soleHolder(const std::string &DataCenter,
                                          const std::string &ExcludedEngine) const {
  const auto Held = Site_.layers();
  for (std::uint32_t Layer = 0; Layer < site::Layers; ++Layer) {
    std::vector<std::string> Holders;
    for (const auto &[Id, Range] : Held)
      if (Id.starts_with(DataCenter) && Layer >= Range.Begin_ && Layer < Range.End_)
        Holders.push_back(Id);
    if (Holders.size() == 1 && Holders.front() != ExcludedEngine)
      return Holders.front();
  }
  throw std::runtime_error("no engine is the only holder of a layer");
}

std::string GatewayDeployment::metrics(std::size_t Index) const {
  return BlockingHttpClient().get(StateAddresses_[Index], "/metrics").Response_.Body_;
}

bool GatewayDeployment::ownsPlacement(std::size_t Index) {
  const auto State = BlockingHttpClient().getJson(StateAddresses_[Index], "/v1/state");
  return State.is_object() && State.as_object().at("owns_placement").as_bool();
}

bool GatewayDeployment::isReady(std::size_t Index) {
  const HttpResult Result = BlockingHttpClient().get(StateAddresses_[Index], "/readyz");
  return !Result.Error_ && Result.Response_.Status_ == 200;
}

void GatewayDeployment::awaitReload(std::size_t Index) {
  static constexpr std::string_view Name = "rattancart_gateway_reloads_total";
  const auto Count = [&] {
    const std::string Text = metrics(Index);
    std::size_t Reloads = 0;
    for (std::size_t At = Text.find("\n" + std::string(Name)); At != std::string::npos;
         At = Text.find("\n" + std::string(Name), At + 1))
      Reloads += std::stoul(Text.substr(Text.find(' ', At + Name.size()) + 1));
    return Reloads;
  };
  await([&] { return Count() > Reloads_[Index]; }, "the settings to be read again");
  Reloads_[Index] = Count();
}

bool GatewayDeployment::seesEndpointLeaving(std::size_t Index, const std::string &Endpoint) {
  const auto State = BlockingHttpClient().getJson(StateAddresses_[Index], "/v1/state");
  if (!State.is_object())
    return false;
  for (const auto &Each : State.as_object().at("endpoints").as_array())
    if (Each.as_object().at("id").as_string() == Endpoint)
      return Each.as_object().at("state").to_number<int>() ==
             static_cast<int>(EndpointState::Leaving);
  return false;
}

std::size_t GatewayDeployment::placementOwner(const std::string &DataCenter) {
  std::size_t Found = DataCenters_.size();
  await(
      [&] {
        for (std::size_t I = 0; I < DataCenters_.size(); ++I)
          if (DataCenters_[I] == DataCenter && ownsPlacement(I))
            Found = I;
        return Found < DataCenters_.size();
      },
      "an owner of " + DataCenter);
  return Found;
}

bool consistsOfEvents(const std::string &Body, int First, int Last) {
  std::string Expected;
  for (int Id = First; Id <= Last; ++Id)
    Expected += fmt::format("id: {0}\ndata: token {0}\n\n", Id);
  return Body == Expected;
}

} // namespace rattancart
