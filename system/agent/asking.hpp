// When a newer configuration that a core tells of is asked for: a moment later, by chance.
//
// Against versions that follow one another at once, as when two operators change it: each was fetched whole
// by every sender in the same instant, and on a narrow link its bytes and the reading held up requests for a
// third of a second a version. So several cost one, and not all senders are held up together. Harm: it is in
// force so much later; far within the time that it has.
#pragma once

#include "petrelpond/time.hpp"
#include "src/policy/bucket.hpp"

namespace petrelpond::agent {

class Asking {
  public:
    explicit Asking(uint32_t chance) : chance_{std::mt19937(chance)} {}
    // A version newer than ours is known of. Whoever has none yet asks at once.
    bool due(Instant now, bool haveAny) {
        if (!haveAny) return true;
        if (at_ == Instant::never()) at_ = now + Span::seconds(chance_.between(0.2, 0.45));
        return now >= at_;
    }
    void taken() { at_ = Instant::never(); }

  private:
    policy::Chance chance_;
    Instant at_ = Instant::never();
};

}  // namespace petrelpond::agent
