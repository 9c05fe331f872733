#include "Gateway/ConfigExchange.h"
#include "Core/Common/ErrorCode.h"
#include "Gateway/TextPatch.h"
#include "Net/HttpClient.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <ostream>
#include <random>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

/// A text of Routes lines, each with a name that does not recur.
std::string routesText(int Routes, unsigned Seed) {
  std::mt19937 Random(Seed);
  std::string Text;
  for (int I = 0; I < Routes; ++I)
    Text += fmt::format("{{\"name\":\"r-{:08x}\",\"path\":\"/{:08x}/\"}},", Random(), Random());
  return Text;
}

/// A base, a text, and the most bytes that the difference may take.
struct PatchCase {
  const char *Name_;
  std::string Base_;
  std::string Text_;
  std::size_t MostBytes_;
};

std::ostream &operator<<(std::ostream &Out, const PatchCase &Case) { return Out << Case.Name_; }

std::string changedInTheMiddle(std::string Text) {
  Text.replace(Text.size() / 2, 20, "changed");
  return Text;
}

const PatchCase PatchCases[] = {
    {"both empty", "", "", 100},
    {"no base", "", routesText(1000, 1), 60'000},
    {"equal", routesText(20'000, 1), routesText(20'000, 1), 1000},
    {"a change in the middle", routesText(20'000, 1), changedInTheMiddle(routesText(20'000, 1)),
     1000},
    {"a small text becomes large", routesText(10, 1), routesText(10, 1) + routesText(1000, 2),
     60'000},
    {"nothing in common", routesText(1000, 1), routesText(1000, 2), 60'000},
};

enum class PeerBehaviour { Answers, Silent, StopsInTheMiddle, Damaged, WrongDigest, UnknownBase };

/// What another gateway does, and what a fetch from it results in.
struct FetchCase {
  const char *Name_;
  PeerBehaviour Peer_;
  /// The versions that the other gateway and this one have; 0: none.
  std::vector<unsigned> PeerVersions_;
  unsigned OwnVersion_;
  std::error_code Error_;
};

std::ostream &operator<<(std::ostream &Out, const FetchCase &Case) { return Out << Case.Name_; }

const FetchCase FetchCases[] = {
    {"the difference", PeerBehaviour::Answers, {1, 2}, 1, {}},
    {"the whole, as the base is not known", PeerBehaviour::Answers, {2, 3}, 1, {}},
    {"the whole, as there is no base", PeerBehaviour::Answers, {1, 2}, 0, {}},
    {"the same version", PeerBehaviour::Answers, {1}, 1, {}},
    {"no version", PeerBehaviour::Answers, {}, 1, ErrorCode::PeerDeclined},
    {"silent", PeerBehaviour::Silent, {1, 2}, 1, ErrorCode::ResponseTimeout},
    {"stops", PeerBehaviour::StopsInTheMiddle, {1, 2}, 1, ErrorCode::ResponseTimeout},
    {"damaged", PeerBehaviour::Damaged, {1, 2}, 1, ErrorCode::PatchFailed},
    {"wrong digest", PeerBehaviour::WrongDigest, {1, 2}, 1, ErrorCode::PatchFailed},
    {"unknown base", PeerBehaviour::UnknownBase, {1, 2}, 1, ErrorCode::PatchFailed},
};

constexpr ListPosition End = 7;

/// Another gateway: changes what its server answers.
class PeerHandler final : public HttpHandler {
public:
  PeerHandler(PeerBehaviour Behaviour, ConfigServer &Server)
      : Behaviour_(Behaviour), Server_(Server) {}

  void handle(HttpRequest Request, HttpResponderPtr Responder) override {
    BOOST_TEST(ConfigServer::isForConfig(Request));
    if (Behaviour_ == PeerBehaviour::Answers)
      return Server_.handle(Request, StoreEra(3), Responder);
    Held_ = Responder;
    if (Behaviour_ == PeerBehaviour::Silent)
      return;
    HttpResponse Answer;
    Answer.Headers_.add(std::string(config_exchange::Digest), "0000000000000001");
    Answer.Headers_.add(std::string(config_exchange::End), "7");
    if (Behaviour_ == PeerBehaviour::UnknownBase)
      Answer.Headers_.add(std::string(config_exchange::Base), "00000000000000ff");
    if (Behaviour_ == PeerBehaviour::StopsInTheMiddle) {
      Responder->startChunked(std::move(Answer));
      return Responder->sendChunk("part");
    }
    Answer.Body_ = Behaviour_ == PeerBehaviour::Damaged ? "no frame" : *compressWith("", "text");
    Responder->send(std::move(Answer));
  }

private:
  PeerBehaviour Behaviour_;
  ConfigServer &Server_;
  HttpResponderPtr Held_;
};

} // namespace

BOOST_DATA_TEST_CASE(ATextIsRestoredFromItsDifference, PatchCases, Case) {
  const auto Frame = compressWith(Case.Base_, Case.Text_);
  BOOST_REQUIRE(static_cast<bool>(Frame));
  BOOST_TEST(Frame->size() <= Case.MostBytes_);
  const auto Restored = restoreWith(Case.Base_, *Frame, Case.Text_.size());
  BOOST_REQUIRE(static_cast<bool>(Restored));
  BOOST_TEST((*Restored == Case.Text_));
  if (Case.Text_.empty())
    return;
  BOOST_TEST(!restoreWith(Case.Base_, *Frame, Case.Text_.size() - 1));
  for (std::size_t Cut = 0; Cut < Frame->size(); Cut += Frame->size() / 7 + 1)
    BOOST_TEST(!restoreWith(Case.Base_, Frame->substr(0, Cut), Case.Text_.size()));
}

// Guards against damaged frames that are taken for a configuration.
BOOST_AUTO_TEST_CASE(DamagedFramesAreRejected) {
  const std::string Base = routesText(200, 1);
  const std::string Text = Base + routesText(20, 2);
  const std::string Frame = *compressWith(Base, Text);
  for (std::size_t I = 0; I < Frame.size(); I += 7) {
    std::string Damaged = Frame;
    Damaged[I] = static_cast<char>(Damaged[I] ^ 0x10);
    const auto Restored = restoreWith(Base, Damaged, 2 * Text.size());
    BOOST_TEST((!Restored || *Restored == Text));
  }
}

// Guards against a gateway that waits for another one without end, or takes over something else
// than the configuration that the other one has.
BOOST_DATA_TEST_CASE(AConfigurationIsFetchedOrTheFetchFails, FetchCases, Case) {
  const auto Version = [](unsigned Number) { return routesText(300, 1) + routesText(10, Number); };
  boost::asio::io_context Loop;
  const SystemClock Time;
  NullLogger Log;
  MetricSet Metrics;
  ConfigHistory Theirs;
  Theirs.keep(4);
  for (const unsigned Each : Case.PeerVersions_)
    Theirs.add(Version(Each));
  Theirs.onReadTo(End);
  ConfigServer Answering(Theirs, Metrics);
  PeerHandler Handler(Case.Peer_, Answering);
  HttpServer Server(Loop, {}, Handler, Log);
  BOOST_REQUIRE(!Server.listen(NetAddress("127.0.0.1:0")));
  ConfigHistory Own;
  if (Case.OwnVersion_ > 0)
    Own.add(Version(Case.OwnVersion_));
  HttpClient Client(Loop);
  ConfigFetcher Fetcher(Loop, Time, Client, Own);
  int Ends = 0;
  Fetcher.fetch(Server.address(), [&](Result<FetchedConfig> Fetched) {
    ++Ends;
    BOOST_TEST((Fetched ? std::error_code() : Fetched.error().Code_) == Case.Error_);
    if (!Fetched)
      return;
    BOOST_TEST((Fetched->Bytes_ == Version(Case.PeerVersions_.back())));
    BOOST_TEST(Fetched->End_ == End);
    BOOST_TEST((Fetched->Era_ == StoreEra(3)));
  });
  BOOST_TEST(Fetcher.isBusy());
  const TimePoint Limit = Time.now() + 10s;
  while (Ends == 0 && Time.now() < Limit)
    Loop.run_for(10ms);
  Loop.run_for(50ms);
  BOOST_TEST(Ends == 1);
  BOOST_TEST(!Fetcher.isBusy());
  BOOST_TEST(Client.stats().Idle_ == 0U);
  Server.stop();
}

// Guards against a gateway on a narrow link that hands out so much at once that nobody is served in
// time.
BOOST_AUTO_TEST_CASE(ABusyGatewayDeclines) {
  struct SlowResponder final : HttpResponder {
    void send(HttpResponse Response) override { Status_ = Response.Status_; }
    void startChunked(HttpResponse) override {}
    void sendChunk(std::string_view) override {}
    void finishChunked() override {}
    void abort() override {}
    bool isOpen() const override { return Open_; }
    std::size_t queuedBytes() const override { return 0; }
    void onClosed(std::function<void()>) override {}
    std::uint32_t Status_ = 0;
    bool Open_ = true;
  };
  MetricSet Metrics;
  ConfigHistory History;
  History.add(routesText(20'000, 1));
  History.onReadTo(End);
  ConfigServer Server(History, Metrics);
  HttpRequest Request;
  Request.Headers_.add(std::string(config_exchange::Base), "");
  std::vector<std::shared_ptr<SlowResponder>> Responders;
  const auto Ask = [&] {
    Responders.push_back(std::make_shared<SlowResponder>());
    Server.handle(Request, std::nullopt, Responders.back());
    return Responders.back()->Status_;
  };
  std::size_t Served = 0;
  while (Served < 100 && Ask() == 200)
    ++Served;
  BOOST_TEST(Served >= 1U);
  BOOST_TEST(Served < 100U);
  BOOST_TEST(Responders.back()->Status_ == 503U);
  for (const auto &Each : Responders)
    Each->Open_ = false;
  BOOST_TEST(Ask() == 200U);
}
