#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/Ids.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace rattancart {

struct PromptQuarantineOptions {
  /// Crashes after which a part is quarantined if no answer to it was ever seen. One may be chance:
  /// an engine that ends has often just begun to answer some request.
  std::size_t CrashLimit_ = 2;
  /// The same for a part of which answers were seen before.
  std::size_t ServedCrashLimit_ = 5;
  /// Engines that end together have a common cause outside of the prompts, so their crashes count
  /// once.
  Duration SameCrashTime_ = std::chrono::milliseconds(60);
  /// Time from the last crash, or the last trial, to the next trial of a part that has just reached
  /// its limit. Each further crash doubles the time, up to the maximum.
  Duration HoldTime_ = std::chrono::minutes(1);
  Duration MaxHoldTime_ = std::chrono::minutes(10);
  /// Time after which a trial is due again here if it could not be claimed.
  Duration ClaimRetryTime_ = std::chrono::seconds(10);
  /// Part of the time between the first and the last gateway that may claim a trial.
  Duration TrialDelayPerGateway_ = std::chrono::milliseconds(20);
  /// Crashes are forgotten after this time, those of quarantined parts later.
  Duration RetentionTime_ = std::chrono::minutes(20);
  Duration QuarantineRetentionTime_ = std::chrono::hours(24);
  /// Maximum number of parts of which crashes, or answers, are remembered.
  std::size_t MaxSuspects_ = 128;
  std::size_t MaxServedParts_ = 4096;
  /// Maximum number of suspects in one exchange with other gateways, and of crashes of each.
  /// They fit into one packet.
  std::size_t MaxShared_ = 5;
  std::size_t MaxSharedCrashes_ = 5;
};

/// One run of an engine that ended as it began to answer a request.
struct EngineCrash {
  EndpointId Engine_;
  Incarnation Run_{0};
  /// When this process learned of it, less the age that it had then.
  TimePoint At_{};
  /// A request with the part was answered since, so the crash had another cause.
  bool Cleared_ = false;
};

/// A part of prompts during whose requests engines ended.
struct PromptSuspect {
  PromptPartId Part_;
  /// An answer to a request with the part was seen at some time.
  bool Served_ = false;
  std::vector<EngineCrash> Crashes_;
  /// The last trial that a gateway claimed, and when; 0 if there was none.
  TurnNumber Trial_{0};
  TimePoint TrialAt_{};
};

struct QuarantinedPart {
  PromptPartId Part_;
  /// Time until the part is tried again.
  Duration Remaining_{};
  /// The trial is due: one request with the part may be sent by the gateway that claims the turn
  /// after LastTrial_.
  bool TrialDue_ = false;
  TurnNumber LastTrial_{0};
};

struct SuspectedPart {
  PromptPartId Part_;
  std::size_t Crashes_ = 0;
  Duration SinceLastCrash_{};
};

/// Finds the part of prompts that crashes engines, so that requests with it are refused and not
/// sent to one engine after the other.
///
/// Load pattern: requests of many callers share parts of their prompts, and with one of these parts
/// each engine ends as soon as it begins to answer. The requests come at all gateways, and each of
/// them sees few of the crashes. So gateways exchange what they saw: each crash with the parts of
/// the requests that had just begun, and each later answer to a request with such a part, which
/// clears it. Parts of sound requests are answered between crashes; the part that causes them never
/// is. Both kinds of facts are only ever added, so the order in which gateways learn of them does
/// not matter, and no clocks are compared.
///
/// A part that always comes together with the cause is suspected with it until a request with it
/// alone is answered. So such requests are let through as long as another part, which they don't
/// have, explains all crashes.
///
/// A quarantine ends only by an answer. If it ended by time, all gateways would send the requests
/// that come meanwhile before the next crash is known. So after some time one request of all
/// gateways is a trial: sent by the gateway that claims the turn. A trial without a known outcome,
/// since its gateway was lost, counts as failed.
///
/// Not thread-safe.
class PromptQuarantine {
public:
  explicit PromptQuarantine(PromptQuarantineOptions Options = {}) : Options_(Options) {}

  /// The engine ended as it began to answer a request with these parts.
  void onCrash(const std::vector<PromptPartId> &Parts, const EndpointId &Engine, Incarnation Run,
               TimePoint Now);
  /// The first event of an answer to a request with these parts has arrived.
  void onServed(const std::vector<PromptPartId> &Parts, TimePoint Now);
  /// The part for which a request with these parts must be refused, or be a trial; nothing if it
  /// may be sent. If a trial is due, no other part stands against it.
  std::optional<QuarantinedPart> find(const std::vector<PromptPartId> &Parts, TimePoint Now) const;
  /// This gateway is about to claim the next trial of the part. Until the outcome is known, or for
  /// ClaimRetryTime_, no further trial is due here.
  void onTrialRequested(const PromptPartId &Part, TimePoint Now);
  /// This or another gateway has claimed a trial of the part. Does nothing for an older trial than
  /// the last one known, or a part that is not suspected.
  void onTrialClaimed(const PromptPartId &Part, TurnNumber Trial, TimePoint Now);
  /// Lets this gateway claim a trial later than others, so that most of many gateways hear of the
  /// trial before they would claim it. Position is this gateway's among them, in [0, 1).
  void spreadTrials(std::uint32_t Gateways, double Position) {
    TrialDelay_ = std::chrono::duration_cast<Duration>(Options_.TrialDelayPerGateway_ *
                                                       (Gateways * Position));
  }
  /// Of these parts, the one with the most crashes that no answer has cleared; nothing if there is
  /// none.
  std::optional<SuspectedPart> mostSuspected(const std::vector<PromptPartId> &Parts,
                                             TimePoint Now) const;
  /// The number of quarantined parts.
  std::size_t size() const;
  /// The number of crashes for which the part is suspected; 0 if it is not.
  std::size_t crashCount(const PromptPartId &Part) const;

  /// Adds what another gateway knows.
  void merge(const std::vector<PromptSuspect> &Suspects, TimePoint Now);
  /// What this process has seen itself and other gateways may not know yet. Each change is returned
  /// several times, since datagrams are lost.
  std::vector<PromptSuspect> takeReports();
  /// The suspects with the most crashes, and those that were cleared lately. Suspects that another
  /// one explains are left out.
  std::vector<PromptSuspect> suspects(TimePoint Now) const;
  /// Sets the handler for changes that other gateways should know at once.
  void onReport(std::function<void()> Handler) { ReportHandler_ = std::move(Handler); }

private:
  using CrashId = std::pair<EndpointId, Incarnation>;
  struct Crash {
    TimePoint At_{};
    bool Cleared_ = false;
  };
  struct Record {
    bool Served_ = false;
    std::map<CrashId, Crash> Crashes_;
    TurnNumber Trial_{0};
    TimePoint TrialAt_{};
    /// No trial is due here until then.
    TimePoint ClaimAfter_{};
    TimePoint ChangedAt_{};
    /// How often the record is still to be reported.
    int Reports_ = 0;
  };

  std::size_t crashLimit(const Record &Suspect) const {
    return Suspect.Served_ ? Options_.ServedCrashLimit_ : Options_.CrashLimit_;
  }
  std::size_t countCrashes(const Record &Suspect) const;
  /// The number of these times, where those that are close together count once.
  std::size_t countApart(std::vector<TimePoint> Times) const;
  bool isQuarantined(const Record &Suspect) const {
    return countCrashes(Suspect) >= crashLimit(Suspect);
  }
  /// When the next trial of a quarantined part is due.
  TimePoint trialDueAt(const Record &Suspect) const;
  Duration retentionTime(const Record &Suspect) const {
    return isQuarantined(Suspect) ? Options_.QuarantineRetentionTime_ : Options_.RetentionTime_;
  }
  /// Whether all crashes of the first record that are not cleared are crashes of the second one.
  static bool isExplainedBy(const Record &Suspect, const Record &Other);
  /// Whether too few crashes remain for a quarantine without those of quarantined parts that are
  /// not among these ones.
  bool isExplainedByOther(const Record &Suspect, const std::vector<PromptPartId> &Parts) const;
  /// Whether a quarantined part, other than this suspect and these parts, has the crash too.
  bool isCrashOfOther(const CrashId &Id, const Record &Suspect,
                      const std::vector<PromptPartId> &Parts) const;
  /// Whether another suspect explains this one and has more crashes.
  bool isAccessory(const Record &Suspect) const;
  static std::size_t countUncleared(const Record &Suspect);
  /// When the last crash was that is not cleared. Precondition: there is one.
  static TimePoint lastCrashAt(const Record &Suspect);
  /// Clears the crashes until the time of an answer; returns whether one was not cleared before.
  static bool clear(Record &Suspect, TimePoint ServedAt);
  static void mergeCrash(Record &Suspect, const EngineCrash &Other, TimePoint Now);
  /// Marks the record to be reported.
  static void report(Record &Suspect, TimePoint Now);
  /// Records that crashes of the suspect were cleared here. Returns whether others need to know at
  /// once; otherwise one report follows with the next ones, unless another gateway is first.
  static bool reportCleared(Record &Suspect, bool NearLimit, TimePoint Now);
  /// Whether other gateways need to know at once that the part was answered: one more crash would
  /// have it quarantined.
  bool isNearLimit(const Record &Suspect) const;
  void forgetOldCrashes(TimePoint Now);
  /// Removes the records with the fewest crashes and the oldest changes if there are too many.
  void limitSuspects();
  void rememberServed(const PromptPartId &Part, TimePoint Now);
  static Record toRecord(const PromptSuspect &Shared);
  PromptSuspect toShared(const PromptPartId &Part, const Record &Suspect) const;

  PromptQuarantineOptions Options_;
  std::map<PromptPartId, Record> Suspects_;
  /// When an answer to a request with a part was last seen here, and the parts by that time.
  std::map<PromptPartId, TimePoint> ServedAt_;
  std::set<std::pair<TimePoint, PromptPartId>> ServedOrder_;
  std::function<void()> ReportHandler_;
  Duration TrialDelay_{};
};

} // namespace rattancart
