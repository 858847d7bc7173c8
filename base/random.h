// A small deterministic random number generator. The caller provides the seed,
// so that the run of a state machine can be reproduced.
//
//   Random R(Seed);
//   size_t I = R.below(Candidates.size());
#ifndef GOLDCRESTLINK_BASE_RANDOM_H
#define GOLDCRESTLINK_BASE_RANDOM_H

#include <cassert>
#include <cstdint>
#include <random>

namespace goldcrestlink {

/// SplitMix64 generator. Not thread-safe; each owner uses its own generator.
class Random {
public:
  explicit Random(uint64_t Seed) : State(Seed) {}

  /// Returns the next 64 random bits.
  uint64_t next() {
    State += 0x9e3779b97f4a7c15ULL;
    uint64_t Z = State;
    Z = (Z ^ (Z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    Z = (Z ^ (Z >> 27)) * 0x94d049bb133111ebULL;
    return Z ^ (Z >> 31);
  }

  /// Returns a number in [0, Bound). Precondition: Bound > 0.
  uint64_t below(uint64_t Bound) {
    assert(Bound > 0);
    return next() % Bound;
  }

  /// Returns a number in [0, 1).
  double unit() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }

private:
  uint64_t State;
};

/// A non-deterministic seed, different for each start of each process.
/// Thread-safe.
inline uint64_t freshSeed() {
  std::random_device Device;
  return (static_cast<uint64_t>(Device()) << 32) | Device();
}

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_BASE_RANDOM_H
