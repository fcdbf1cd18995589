// Records of which most lie still: each has a small seed, and is whole only while it is in use. Ten thousand
// silent destinations then cost their seeds.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace petrelpond {

// Whole has its Seed as a member, `is`, and may have woke() to make more of it. References to a whole hold
// until it rests.
template <class Whole, class Seed>
class Lazy {
  public:
    size_t size() const { return seeds_.size(); }
    void cover(uint32_t ix) {
        if (ix >= seeds_.size()) seeds_.resize(ix + 1), wholes_.resize(ix + 1);
    }
    const Seed& seed(uint32_t ix) const { return seeds_[ix]; }
    // Of one that is whole the whole's part changes too, so that nothing is known twice.
    template <class Change>
    void reseed(uint32_t ix, Change change) {
        cover(ix);
        change(seeds_[ix]);
        if (wholes_[ix]) change(wholes_[ix]->is);
    }
    Whole& operator[](uint32_t ix) {
        cover(ix);
        if (wholes_[ix]) return *wholes_[ix];
        wholes_[ix] = std::make_unique<Whole>(), ++awake_;
        wholes_[ix]->is = seeds_[ix];
        if constexpr (requires(Whole & whole) { whole.woke(); }) wholes_[ix]->woke();
        return *wholes_[ix];
    }
    Whole* find(uint32_t ix) const { return ix < wholes_.size() ? wholes_[ix].get() : nullptr; }
    void rest(uint32_t ix) {
        if (!find(ix)) return;
        wholes_[ix] = nullptr;
        --awake_;
    }
    size_t awake() const { return awake_; }

  private:
    std::vector<Seed> seeds_;
    std::vector<std::unique_ptr<Whole>> wholes_;
    size_t awake_ = 0;
};

}  // namespace petrelpond
