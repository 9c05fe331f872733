#pragma once

#include "Core/Common/Clock.h"
#include "Core/Membership/Endpoint.h"
#include "Net/HttpServer.h"
#include "Net/Timer.h"
#include "StandIns/Site/ActivityLog.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>

namespace rattancart {

class FakeLayerEngine;

/// The engines of a site by their addresses. A stage of a path is reached through it.
using EngineDirectory = std::map<NetAddress, FakeLayerEngine *>;

struct LayerEngineOptions {
  std::string Id_;
  std::string DataCenter_;
  /// Kind of accelerator, and its memory.
  std::string Kind_;
  double SizeMb_ = 0;
  std::uint32_t ModelLayers_ = 80;
  double LayerMb_ = 1750;
  /// Loading all layers.
  Duration LoadTime_ = std::chrono::milliseconds(400);
  /// Time between two events of a stream.
  Duration EventInterval_ = std::chrono::milliseconds(10);
  /// Reading a prompt; the answer's head comes with the first event.
  Duration PrefillTime_{};
};

/// A model engine that holds layers and runs requests along a path of engines. Not thread-safe.
class FakeLayerEngine final : public HttpHandler {
public:
  enum class RunState : std::uint8_t {
    Running,
    /// Accepts connections and answers nothing.
    Unresponsive,
    /// Ended: its connections are closed.
    Stopped,
  };

  /// Precondition: all arguments outlive the front.
  FakeLayerEngine(boost::asio::io_context &Loop, const Clock &Time, Logger &Log,
                  LayerEngineOptions Options, EngineDirectory &Peers, ActivityLog &Ledger);
  ~FakeLayerEngine() override;

  /// Listens on a free port of the loopback address.
  std::error_code listen();
  NetAddress address() const { return Server_->address(); }
  const LayerEngineOptions &options() const { return Options_; }
  RunState life() const { return Life_; }
  void setLife(RunState Next);
  bool leaving() const { return Leaving_; }
  void setLeaving() { Leaving_ = true; }
  /// Orders are carried out without an answer.
  void setLoseOrderAnswers(bool Lose) { LoseOrderAnswers_ = Lose; }
  /// Streams go on with one event that never ends.
  void setBabbles(bool Babbles) { Babbles_ = Babbles; }
  /// Layers held now; empty while they load.
  LayerRange layers() const;
  std::uint64_t run() const { return Run_; }
  /// Tokens times layers that the streams of all engines take here.
  double usedTokenLayers() const;
  /// Tokens times layers that the memory beside the layers holds.
  double totalTokenLayers() const;
  /// Streams of which this many events were sent.
  std::size_t countStreams(std::uint64_t Events) const;

  void handle(HttpRequest Request, HttpResponderPtr Responder) override;

private:
  struct Stage {
    NetAddress Address_;
    LayerRange Layers_;
  };
  struct Stream {
    std::string Id_;
    HttpResponderPtr Responder_;
    std::vector<Stage> Path_;
    double Tokens_ = 0;
    TimePoint ReadAt_{};
    bool HeadSent_ = false;
    std::uint64_t NextEvent_ = 1;
    std::uint64_t LastEvent_ = 0;
    TimePoint StalledSince_{};
  };

  void report(HttpResponder &Responder) const;
  void order(const HttpRequest &Request, HttpResponder &Responder);
  void start(const HttpRequest &Request, const HttpResponderPtr &Responder);
  void refuse(HttpResponder &Responder, const HttpRequest &Request, std::uint32_t Status,
              const NetAddress &Fault) const;
  /// The stage that can't work now; an empty address if all can.
  NetAddress brokenStage(const std::vector<Stage> &Path) const;
  /// The stage that takes no new stream of that many tokens; an empty address if all do.
  NetAddress refusingStage(const std::vector<Stage> &Path, double Tokens) const;
  /// Sends a stream's next event, or ends it. False once it has ended.
  bool advance(Stream &Each, TimePoint Now);
  /// A stage of the stream can't work. False once the stream has been cut off.
  bool stall(Stream &Each, TimePoint Now);
  void sendHead(Stream &Each);
  void tick();

  const Clock &Time_;
  LayerEngineOptions Options_;
  EngineDirectory &Peers_;
  ActivityLog &Ledger_;
  std::unique_ptr<HttpServer> Server_;
  Timer Timer_;
  std::list<Stream> Streams_;
  std::list<HttpResponderPtr> Unanswered_;
  LayerRange Held_;
  TimePoint BusyUntil_{};
  std::uint64_t Orders_ = 0;
  std::int64_t Fence_ = 0;
  std::uint64_t Run_ = 0;
  RunState Life_ = RunState::Running;
  bool Leaving_ = false;
  bool LoseOrderAnswers_ = false;
  bool Babbles_ = false;
};

} // namespace rattancart
