#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/Ids.h"
#include "Core/Membership/Endpoint.h"
#include "StandIns/AnswerModel.h"
#include "StandIns/PrefixCache.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace rattancart {

struct EngineConfig {
  EndpointId Id_;
  ModelId Model_;
  ModelVersion Version_;
  LayerRange Layers_;
  std::uint32_t LayerCount_ = 0;
  Duration StepTime_{};
  Duration PrefillTime_{};
  /// Most steps in one batch.
  std::uint32_t Slots_ = 8;
  /// Sequences that the engine holds KV cache for; new attempts beyond it are refused.
  std::uint32_t MaxSequences_ = 256;
  /// A sequence without a step for this long is dropped.
  Duration SequenceIdle_ = std::chrono::seconds(30);
  std::uint64_t CacheTokens_ = 0;
};

using StepId = StrongNumber<struct StepTag>;

/// One step of one sequence through an engine's layers.
struct StepRequest {
  RequestId Request_;
  AttemptNumber Attempt_;
  ModelId Model_;
  ModelVersion Version_;
  /// The tokens [Position_, Position_ + Count_).
  std::uint32_t Position_ = 0;
  std::uint32_t Count_ = 0;
  LayerRange Layers_;
  std::uint32_t LayerCount_ = 0;
  /// Steps with a lower number are batched first.
  std::uint32_t Priority_ = 0;
  /// Names the prompt's first PrefixTokens_ tokens; empty if they are not to be cached.
  std::string Prefix_;
  std::uint32_t PrefixTokens_ = 0;
};

/// The output of a stage and input of the next one. The stand-in stores the tokens instead of
/// activations.
struct Tensor {
  std::vector<std::string> Tokens_;
  /// The layers [0, LayersRun_) have run.
  std::uint32_t LayersRun_ = 0;
};

struct StepResult {
  StepRequest Step_;
  /// The output's reference; empty at the last stage.
  std::string Ref_;
  /// At the last stage, the next token, and whether it is the last one of the answer.
  std::string Token_;
  bool End_ = false;
};

enum class StepRefusal : std::uint8_t {
  None,
  Malformed,
  Model,
  Version,
  Layers,
  Position,
  Attempt,
  Leaving,
  Full,
};

/// The refusal's name in answers. Thread-safe.
std::string_view refusalName(StepRefusal Refusal);

/// Whether and how a step request is executed.
struct StepAdmission {
  enum class Kind : std::uint8_t {
    /// A new step: the caller gives its input with supply() or ends it with abandon().
    Run,
    /// The same step is already in progress; its result answers both requests.
    Join,
    /// A repeat of the last finished step of the sequence; Result_ answers it.
    Repeat,
    Refused,
  };
  Kind Kind_ = Kind::Refused;
  StepId Id_;
  StepResult Result_;
  StepRefusal Refusal_ = StepRefusal::None;
  /// With StepRefusal::Position, the position that the next step must have.
  std::uint32_t Expected_ = 0;
};

struct FinishedStep {
  StepId Id_;
  StepResult Result_;
};

/// A sequence's KV cache, as it is moved between engines.
struct KvImage {
  ModelVersion Version_;
  LayerRange Layers_;
  std::vector<std::string> Tokens_;
};

struct EngineOccupancy {
  std::uint32_t Sequences_ = 0;
  std::uint32_t Queued_ = 0;
  std::uint32_t Running_ = 0;
};

/// The state of an engine stand-in without sockets and timers: sequences, continuous batching with
/// priorities, the prefix cache and KV images. Not thread-safe.
class EngineModel {
public:
  explicit EngineModel(EngineConfig Config);

  StepAdmission admit(const StepRequest &Request, TimePoint Now);
  /// Gives an admitted step its input and queues it. False if the input does not fit the step,
  /// which is then ended; true without effect if the step was cancelled meanwhile.
  bool supply(StepId Id, Tensor Input);
  /// Ends an admitted step whose input is not available.
  void abandon(StepId Id);
  /// Drops a sequence up to and including an attempt.
  void cancel(const RequestId &Request, AttemptNumber Attempt);
  /// Drops all sequences.
  void dropAll();
  /// The steps that ended without a result since the last call, because they were cancelled, all
  /// sequences were dropped or a newer attempt replaced theirs.
  std::vector<StepId> takeDropped() { return std::exchange(Dropped_, {}); }
  /// Drops sequences without a step for longer than EngineConfig::SequenceIdle_.
  void expire(TimePoint Now);

  /// Takes queued steps into a batch. Returns the batch's duration, or nothing if a batch is
  /// running or no step is queued.
  std::optional<Duration> startBatch();
  /// Ends the running batch and returns its results.
  std::vector<FinishedStep> finishBatch(TimePoint Now);

  /// A stage's output, if it is still kept.
  const Tensor *tensor(const std::string &Ref) const;
  std::optional<KvImage> exportKv(const RequestId &Request, AttemptNumber Attempt) const;
  /// Starts an attempt from a KV image, or says why it is refused.
  StepRefusal importKv(const RequestId &Request, AttemptNumber Attempt, const KvImage &Image,
                       TimePoint Now);

  /// Loads other weights; sequences and cache are dropped.
  void load(ModelId Model, ModelVersion Version, LayerRange Layers, TimePoint Now);
  void setLeaving(bool Leaving) { Leaving_ = Leaving; }
  bool leaving() const { return Leaving_; }
  const EngineConfig &config() const { return Config_; }
  const PrefixCache &cache() const { return Cache_; }
  EngineOccupancy occupancy() const;

private:
  struct Sequence {
    explicit Sequence(std::string_view Version) : Answer_(Version) {}
    AttemptNumber Attempt_;
    LayerRange Layers_;
    AnswerModel Answer_;
    /// The tokens whose KV cache is held.
    std::vector<std::string> Tokens_;
    std::optional<StepId> Step_;
    std::optional<StepResult> LastResult_;
    TimePoint LastUsedAt_{};
    bool Ended_ = false;
  };
  enum class StepState : std::uint8_t { AwaitsInput, Queued, Running };
  struct Step {
    StepRequest Request_;
    std::vector<std::string> Tokens_;
    StepState State_ = StepState::AwaitsInput;
  };

  StepRefusal checkCompatible(const StepRequest &Request) const;
  StepRefusal checkNewAttempt(const RequestId &Request, AttemptNumber Attempt) const;
  bool isCancelled(const RequestId &Request, AttemptNumber Attempt) const;
  StepAdmission admitToSequence(const StepRequest &Request, Sequence &Owner, TimePoint Now);
  Sequence &startSequence(const RequestId &Request, AttemptNumber Attempt, LayerRange Layers);
  void dropStep(Sequence &Owner);
  void rememberCancelled(const RequestId &Request, AttemptNumber Attempt);
  Duration batchTime(const std::vector<StepId> &Batch);
  StepResult run(const Step &Item, Sequence &Owner);
  std::string keepTensor(Tensor Output);
  std::uint32_t liveSequences() const;

  EngineConfig Config_;
  PrefixCache Cache_;
  bool Leaving_ = false;
  std::unordered_map<RequestId, Sequence> Sequences_;
  std::unordered_map<RequestId, AttemptNumber> Cancelled_;
  std::deque<RequestId> CancelledOrder_;
  std::map<StepId, Step> Steps_;
  std::vector<StepId> Batch_;
  std::vector<StepId> Dropped_;
  StepId NextStep_{1};
  std::unordered_map<std::string, Tensor> Tensors_;
  std::deque<std::string> TensorOrder_;
  std::uint64_t NextTensor_ = 1;
};

} // namespace rattancart
