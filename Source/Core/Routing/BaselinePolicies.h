#pragma once

#include "Core/Routing/ChainPolicy.h"

#include <cstdint>

/// Simple policies with which the production policy is compared.
namespace rattancart {

/// Builds a chain from the first layer on. At each layer boundary the subclass picks one of the
/// engines that begin there.
class StepwisePolicy : public ChainPolicy {
public:
  std::vector<const Endpoint *> choose(const ChainQuery &Query, std::mt19937_64 &Random) final;

protected:
  /// Picks one of Engines. Precondition: there is at least one.
  virtual const Endpoint *pick(const std::vector<const Endpoint *> &Engines,
                               std::mt19937_64 &Random) = 0;
};

/// Picks each engine with the same probability.
class RandomPolicy final : public StepwisePolicy {
protected:
  const Endpoint *pick(const std::vector<const Endpoint *> &Engines,
                       std::mt19937_64 &Random) override;
};

/// Picks one engine after the other.
class RoundRobinPolicy final : public StepwisePolicy {
protected:
  const Endpoint *pick(const std::vector<const Endpoint *> &Engines,
                       std::mt19937_64 &Random) override;

private:
  std::uint64_t Next_ = 0;
};

/// Picks the engine that last reported the fewest requests.
class LeastLoadPolicy final : public StepwisePolicy {
protected:
  const Endpoint *pick(const std::vector<const Endpoint *> &Engines,
                       std::mt19937_64 &Random) override;
};

} // namespace rattancart
