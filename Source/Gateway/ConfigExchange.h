#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/Result.h"
#include "Core/Membership/ConfigHistory.h"
#include "Net/HttpSender.h"
#include "Net/HttpServer.h"
#include "Net/Timer.h"
#include "Process/MetricSet.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattancart {

/// The exchange of configurations between gateways, by HTTP on the port for other gateways. The
/// request names the version that the sender has; the answer is the newest version, compressed
/// with that version as the base if the other gateway has it too, else alone.
namespace config_exchange {
inline constexpr std::string_view Path = "/configuration";
/// Field of requests and answers: the digest of the base, in hexadecimal. Empty in a request of a
/// gateway that has no version; absent in an answer without a base.
inline constexpr std::string_view Base = "X-Configuration-Base";
/// Fields of answers: the digest of the version, the position in the store's log up to which it is
/// the newest, and the era of the store, if that is known.
inline constexpr std::string_view Digest = "X-Configuration-Digest";
inline constexpr std::string_view End = "X-Configuration-End";
inline constexpr std::string_view Era = "X-Configuration-Era";
} // namespace config_exchange

/// Answers other gateways that ask for the newest configuration. Not thread-safe.
class ConfigServer {
public:
  /// Precondition: both arguments outlive the server.
  ConfigServer(const ConfigHistory &History, MetricSet &Metrics)
      : History_(History), Metrics_(Metrics) {}

  /// Whether a request on the port for other gateways asks for the configuration.
  static bool isForConfig(const HttpRequest &Request);
  /// Answers such a request: 200, 404 if no newest version is known, or 503 if too many bytes are
  /// on their way to others already, so that the store delivers sooner.
  void handle(const HttpRequest &Request, std::optional<StoreEra> Era,
              const HttpResponderPtr &Responder);

private:
  struct Transfer {
    std::weak_ptr<HttpResponder> Responder_;
    std::size_t Bytes_ = 0;
  };
  /// The newest version, compressed with that base; null if it can't be.
  std::shared_ptr<const std::string> frame(const ConfigText &Newest, const ConfigText *Base);
  std::size_t bytesUnderWay();

  const ConfigHistory &History_;
  MetricSet &Metrics_;
  /// Frames of the newest version by their base; 0 stands for none.
  std::map<ConfigDigest, std::shared_ptr<const std::string>> Frames_;
  ConfigDigest FramesOf_{0};
  std::vector<Transfer> Transfers_;
};

/// A version of the configuration from another gateway.
struct FetchedConfig {
  std::string Bytes_;
  /// The position in the store's log up to which it is the newest version, and the era in which
  /// that holds.
  ListPosition End_ = 0;
  std::optional<StoreEra> Era_;
  /// The size of the answer.
  std::size_t TransferredBytes_ = 0;
};

/// Gets the newest configuration from another gateway. Not thread-safe.
class ConfigFetcher {
public:
  using Callback = std::function<void(Result<FetchedConfig>)>;

  /// Precondition: all arguments outlive the fetcher.
  ConfigFetcher(boost::asio::io_context &Loop, const Clock &Time, HttpSender &Client,
                const ConfigHistory &History);
  ~ConfigFetcher();

  /// Whether a fetch is under way.
  bool isBusy() const { return Fetch_ != nullptr; }
  /// Fetches from a gateway. Done is called once, unless the fetcher is destroyed before. Errors:
  /// those of HTTP clients; ResponseTimeout if the other gateway is silent; PeerDeclined if it has
  /// no newest version or is busy; PatchFailed. Precondition: no fetch is under way.
  void fetch(const NetAddress &From, Callback Done);
  /// Gives up the fetch that is under way, if there is one; its callback is not called.
  void cancel();

private:
  struct Fetch;
  void watch();
  void onAnswer(HttpResult Outcome);
  Result<FetchedConfig> decode(const HttpResponse &Answer) const;

  const Clock &Time_;
  HttpSender &Client_;
  const ConfigHistory &History_;
  Timer Timer_;
  std::shared_ptr<Fetch> Fetch_;
};

} // namespace rattancart
