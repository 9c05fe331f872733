#include "Core/Membership/PeerDirectory.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <map>
#include <ostream>
#include <string>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};
const DataCenterId Home("home");
const NetAddress A("a");
const NetAddress B("b");
const NetAddress Far("far");

struct PeerCase {
  const char *Name_;
  void (*Happens_)(PeerDirectory &);
  std::set<NetAddress> Excluded_;
  /// When the gateway is chosen, from the start.
  Duration At_;
  std::optional<NetAddress> Expected_;
};

std::ostream &operator<<(std::ostream &Out, const PeerCase &Case) { return Out << Case.Name_; }

const PeerCase PeerCases[] = {
    {"the one with fewer requests", [](PeerDirectory &Peers) { Peers.onSent(A); }, {}, 0s, B},
    {"at home first", [](PeerDirectory &Peers) { Peers.onSent(B); }, {A}, 0s, B},
    {"elsewhere if none is left at home", [](PeerDirectory &) {}, {A, B}, 0s, Far},
    {"none is left", [](PeerDirectory &) {}, {A, B, Far}, 0s, {}},
    {"one that declined a request",
     [](PeerDirectory &Peers) { Peers.onRefused(A, Start); },
     {},
     400ms,
     B},
    {"one whose connection was lost",
     [](PeerDirectory &Peers) { Peers.onLost(A, Start); },
     {},
     1400ms,
     B},
    {"one that declined long ago",
     [](PeerDirectory &Peers) {
       Peers.onRefused(A, Start);
       Peers.onSent(B);
     },
     {},
     600ms,
     A},
    {"not named for long", [](PeerDirectory &) {}, {}, 16s, {}},
    {"named again",
     [](PeerDirectory &Peers) {
       Peers.onNamed({Far, DataCenterId("other")}, Start + 10s);
     },
     {},
     16s,
     Far},
    {"requests that have ended don't count",
     [](PeerDirectory &Peers) {
       Peers.onSent(A);
       Peers.onEnded(A);
       Peers.onSent(B);
     },
     {},
     0s,
     A},
};

} // namespace

BOOST_DATA_TEST_CASE(RequestsGoToAGatewayThatCannotTakeThem, PeerCases, Case) {
  PeerDirectory Peers(Home);
  Peers.onNamed({A, Home}, Start);
  Peers.onNamed({B, Home}, Start);
  Peers.onNamed({Far, DataCenterId("other")}, Start);
  Case.Happens_(Peers);
  const auto Chosen = Peers.choose(Case.Excluded_, 0.5, Start + Case.At_);
  BOOST_TEST((Chosen == Case.Expected_));
}

// Many gateways forward their load at once; one that was named first must not get all of it.
BOOST_AUTO_TEST_CASE(OneGatewayGetsTheLoadOfAll) {
  PeerDirectory Peers(Home);
  for (int I = 0; I < 100; ++I)
    Peers.onNamed({NetAddress("p" + std::to_string(I)), Home}, Start + I * 1ms);
  std::map<NetAddress, int> Requests;
  for (int I = 0; I < 640; ++I) {
    const auto Chosen = Peers.choose({}, (I % 10) / 10.0, Start + 1s);
    BOOST_TEST_REQUIRE(Chosen.has_value());
    Peers.onSent(*Chosen);
    ++Requests[*Chosen];
  }
  BOOST_TEST(Requests.size() == PeerOptions().MaxPeers_);
  for (const auto &[Peer, Count] : Requests)
    BOOST_TEST(Count == 10);
}
