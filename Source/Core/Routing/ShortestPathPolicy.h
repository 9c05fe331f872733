#pragma once

#include "Core/Routing/ChainPolicy.h"

#include <cstddef>

namespace rattancart {

/// Estimates how much of a prompt an engine need not prefill.
class CachedPrefixEstimator {
public:
  virtual ~CachedPrefixEstimator() = default;
  /// The fraction of the prompt, from 0 to 1, that the engine's cache is expected to hold.
  virtual double cachedFraction(const Endpoint &Engine, const std::string &Prefix) const = 0;
};

struct ShortestPathOptions {
  /// The number of engines of one layer range that a router uses, chosen by rendezvous hashing.
  std::size_t SubsetSize_ = 32;
  /// The number of engines of one layer range that are considered for one request, drawn from the
  /// subset with a probability in proportion to their decode rate.
  std::size_t SampleSize_ = 4;
};

/// Chooses the chain with the least expected time for the whole sequence.
///
/// The cost of an edge is the engine's service time without the prefill that its prefix cache
/// saves, multiplied by a factor for the requests expected on it, plus the delay and transfer time
/// of its link. All routers see the same delayed load reports; each draws from a subset of its own,
/// so that they don't all choose the engine that was idle a moment ago.
class ShortestPathPolicy final : public ChainPolicy {
public:
  /// Router is the router's name; the subset of engines depends on it. CachedPrefixes may be null;
  /// otherwise it must outlive the policy.
  ShortestPathPolicy(std::string Router, ShortestPathOptions Options,
                     const CachedPrefixEstimator *CachedPrefixes = nullptr);

  std::vector<const Endpoint *> choose(const ChainQuery &Query, std::mt19937_64 &Random) override;

  /// The cost of one engine for a sequence, in seconds.
  double cost(const ChainQuery &Query, const Endpoint &Engine) const;

private:
  /// Draws the engines of a group that are considered for one request.
  std::vector<const Endpoint *> sampleEngines(const LayerGroup &Group,
                                              std::mt19937_64 &Random) const;

  std::string Router_;
  std::uint64_t SubsetSeed_;
  ShortestPathOptions Options_;
  const CachedPrefixEstimator *CachedPrefixes_;
};

} // namespace rattancart
