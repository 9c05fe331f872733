#pragma once

#include "Core/Routing/ChainPolicy.h"

#include <cstddef>

namespace rattancart {

/// Says how much of a prompt an engine need not prefill.
class PrefixBenefit {
public:
  virtual ~PrefixBenefit() = default;
  /// The part of the prompt, from 0 to 1, that the engine's cache is expected to hold.
  virtual double cachedPart(const Endpoint &Engine, const std::string &Prefix) const = 0;
};

struct ShortestPathOptions {
  /// Engines of one layer range that a router uses at all, picked by rendezvous hashing.
  std::size_t SubsetSize_ = 32;
  /// Engines of one layer range that one request looks at, drawn from the subset with a
  /// probability that rises with their speed.
  std::size_t SampleSize_ = 4;
};

/// The chain of the least expected time for the whole sequence.
///
/// An edge's cost is the engine's service time, stretched by the requests expected on it, its
/// link's delay and transfer time, less the prefill that its prefix cache saves. Routers see the
/// same late reports; each uses its own subset and draws from it, so that they don't all choose
/// the engine that was idle a moment ago.
class ShortestPathPolicy final : public ChainPolicy {
public:
  /// Router makes the subset differ between routers. Benefit may be null; else it outlives the
  /// policy.
  ShortestPathPolicy(std::string Router, ShortestPathOptions Options,
                     const PrefixBenefit *Benefit = nullptr);

  std::vector<const Endpoint *> choose(const ChainQuery &Query, std::mt19937_64 &Random) override;

  /// The cost of one engine for a sequence, in seconds.
  double cost(const ChainQuery &Query, const Endpoint &Engine) const;

private:
  std::vector<const Endpoint *> sample(const LayerGroup &Group, std::mt19937_64 &Random) const;

  std::string Router_;
  std::uint64_t Seed_;
  ShortestPathOptions Options_;
  const PrefixBenefit *Benefit_;
};

} // namespace rattancart
