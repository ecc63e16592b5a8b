#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

// The random numbers of the policy. All modules share one generator, and the same seed and inputs give the
// same decisions, so the number and order of draws are part of the policy's behaviour.
namespace stonewing {

class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed)
      : generator_(static_cast<std::mt19937::result_type>(seed ^ (seed >> 32))) {}

  // A uniformly distributed number from 0 up to, not including, 1.
  double uniform() { return static_cast<double>(generator_()) / 4294967296.0; }
  // An index from 0 up to, not including, count. count must not be 0.
  std::size_t index(std::size_t count) { return generator_() % count; }

 private:
  std::mt19937 generator_;
};

// Hashes an id (splitmix64): spreads ids evenly, with the same result on every machine.
inline std::uint64_t hashId(std::uint64_t id) {
  id += 0x9e3779b97f4a7c15u;
  id = (id ^ (id >> 30)) * 0xbf58476d1ce4e5b9u;
  id = (id ^ (id >> 27)) * 0x94d049bb133111ebu;
  return id ^ (id >> 31);
}

}  // namespace stonewing
