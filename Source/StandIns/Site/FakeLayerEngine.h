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
#include <optional>
#include <string>
#include <utility>

namespace rattancart {

class FakeLayerEngine;

/// The engines of a site by address. The first engine of a path looks up the others in it.
using EngineDirectory = std::map<NetAddress, FakeLayerEngine *>;

struct LayerEngineOptions {
  std::string Id_;
  std::string DataCenter_;
  /// Kind of accelerator.
  std::string Kind_;
  /// Memory of the accelerator.
  double MemoryMb_ = 0;
  std::uint32_t ModelLayers_ = 80;
  double LayerMb_ = 1750;
  /// Time to load all layers of the model; fewer layers take a share of it.
  Duration LoadTime_ = std::chrono::milliseconds(400);
  /// Time between two events of a stream.
  Duration EventInterval_ = std::chrono::milliseconds(10);
  /// Time to prefill a prompt. If it isn't zero, the response head is sent with the first event.
  Duration PrefillTime_{};
  /// Time from the response head to the crash that a prompt part causes.
  Duration CrashDelay_ = std::chrono::milliseconds(36);
  /// Time after which an engine that has crashed runs again. Streams that pass through the engine
  /// end earlier.
  Duration CrashDowntime_ = std::chrono::seconds(3);
};

/// A stand-in for a model engine that holds a range of layers and, as the first engine of a path,
/// streams the answers of requests. Not thread-safe.
class FakeLayerEngine final : public HttpHandler {
public:
  enum class RunState : std::uint8_t {
    Running,
    /// Accepts connections and answers nothing.
    Unresponsive,
    /// The server has stopped and its streams are closed.
    Stopped,
  };

  /// Precondition: all references outlive the engine.
  FakeLayerEngine(boost::asio::io_context &Loop, const Clock &Time, Logger &Log,
                  LayerEngineOptions Options, EngineDirectory &Peers, ActivityLog &Activity);
  ~FakeLayerEngine() override;

  /// Listens on a free port of the loopback address.
  std::error_code listen();
  NetAddress address() const { return Server_->address(); }
  const LayerEngineOptions &options() const { return Options_; }
  RunState runState() const { return RunState_; }
  void setRunState(RunState Next);
  bool leaving() const { return Leaving_; }
  void setLeaving() { Leaving_ = true; }
  /// Whether orders are executed and their connections closed without an answer.
  void setLoseOrderAnswers(bool Lose) { LoseOrderAnswers_ = Lose; }
  void setPrefillTime(Duration Time) { Options_.PrefillTime_ = Time; }
  /// Whether streams continue with one event that never ends, up to MaxEndlessBytes.
  void setSendsEndlessEvent(bool Endless) { SendsEndlessEvent_ = Endless; }
  /// Makes the engine crash, as the first engine of a path, between the response head and the first
  /// event of each stream whose prompt has this part, unless the part is the prompt's last. It runs
  /// again after CrashDowntime_, at the same address, without layers and as a new incarnation. An
  /// empty part ends this.
  void setCrashingPromptPart(std::string Part) { CrashingPromptPart_ = std::move(Part); }
  /// Another engine takes over the address: a later run without layers, which refuses requests and
  /// orders for this one. Its reports do not name it. The list keeps the entry of this one.
  void replace();
  /// The layers that the engine's entry in the list names.
  LayerRange listedLayers() const { return Replaced_ ? LayersBefore_ : layers(); }
  /// Layers held now; empty while layers load.
  LayerRange layers() const;
  /// Changes when the engine runs again after a crash.
  std::uint64_t incarnation() const { return Incarnation_; }
  /// Tokens times layers that the streams of all engines occupy in this engine.
  double usedTokenLayers() const;
  /// Tokens times layers that fit in the memory that the layers leave free.
  double totalTokenLayers() const;
  /// Number of streams of which at least this many events were sent.
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
    TimePoint PrefilledAt_{};
    /// The part of the prompt that crashes the engine; empty if there is none.
    std::string CrashingPart_;
    /// When the stream crashes the engine; not set before the response head was sent.
    std::optional<TimePoint> CrashesAt_;
    bool HeadSent_ = false;
    std::uint64_t NextEvent_ = 1;
    std::uint64_t LastEvent_ = 0;
    TimePoint StalledSince_{};
  };

  void sendReport(HttpResponder &Responder) const;
  void applyOrder(const HttpRequest &Request, HttpResponder &Responder);
  void startStream(const HttpRequest &Request, const HttpResponderPtr &Responder);
  void refuse(HttpResponder &Responder, const HttpRequest &Request, std::uint32_t Status,
              const NetAddress &Fault) const;
  /// The first stage whose engine does not run or does not hold the stage's layers; an empty
  /// address if there is none.
  NetAddress firstUnavailableStage(const std::vector<Stage> &Path) const;
  /// The first stage that is unavailable, leaves or lacks memory for a new stream of that many
  /// tokens; an empty address if there is none.
  NetAddress firstRefusingStage(const std::vector<Stage> &Path, double Tokens) const;
  /// Sends the next event of a stream, and finishes the stream after its last event. False once the
  /// stream has ended.
  bool advance(Stream &Active, TimePoint Now);
  /// Handles a stream with an unavailable stage, and ends it once it has been stalled for too long.
  /// False once the stream has ended.
  bool handleStall(Stream &Active, TimePoint Now);
  void sendHead(Stream &Active);
  /// Stops the engine and schedules its restart. Part is the prompt part that causes it.
  void crash(std::string Part);
  void restart();
  void advanceStreams();

  boost::asio::io_context &Loop_;
  const Clock &Time_;
  Logger &Log_;
  LayerEngineOptions Options_;
  EngineDirectory &Peers_;
  ActivityLog &Activity_;
  std::unique_ptr<HttpServer> Server_;
  Timer Timer_;
  Timer RestartTimer_;
  std::list<Stream> Streams_;
  std::list<HttpResponderPtr> Unanswered_;
  LayerRange HeldLayers_;
  TimePoint LoadedAt_{};
  std::uint64_t OrderCount_ = 0;
  std::int64_t HighestFence_ = 0;
  std::uint64_t Incarnation_ = 0;
  bool Replaced_ = false;
  /// The layers held before it was replaced.
  LayerRange LayersBefore_;
  std::string CrashingPromptPart_;
  RunState RunState_ = RunState::Running;
  bool Leaving_ = false;
  bool LoseOrderAnswers_ = false;
  bool SendsEndlessEvent_ = false;
};

} // namespace rattancart
