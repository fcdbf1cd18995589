// When a newer configuration that a core tells of is asked for.
#pragma once

#include "petrelpond/time.hpp"
#include "src/policy/token_bucket.hpp"

namespace petrelpond::agent {

// How long an agent without any configuration holds out for a core that is in contact with a majority. A core
// that was cut off hands out what it held before; requests would be served by routes that are gone. Harm:
// where no such core can be reached, a proxy that starts serves nothing for so long. An old configuration
// that serves is then taken for better than none: it is replaced as soon as a newer one is heard of.
inline const Span kHoldOut = Span::millis(2500);

// What a core told of its configuration.
struct Offer {
    bool newer = false;      // than ours
    bool inContact = false;  // with a majority, lately
    bool near = true;        // it is in our zone, or no core that is linked is
};

// How much longer a core of another zone is not asked: bytes between zones are dear, and those of our zone
// hear of a version within milliseconds. Harm: where that one fails to tell, a version is in force so much
// later.
inline const Span kOwnZoneFirst = Span::millis(400);

class Asking {
  public:
    explicit Asking(uint32_t chance) : chance_{std::mt19937(chance)} {}

    // Whether to ask for it now.
    //
    // With a configuration already: a moment later, by chance. Against versions that follow one another at
    // once, as when two operators change it: each was fetched whole by every sender in the same instant, and
    // on a narrow link its bytes and the reading held up requests for a third of a second a version. So
    // several cost one, and not all senders are held up together. Harm: it is in force so much later; far
    // within the time that it has. Without one: at once from a core in contact, from another after kHoldOut.
    bool due(Instant now, bool haveAny, Offer offer) {
        if (!offer.newer) return false;
        if (haveAny) {
            if (at_ == Instant::never()) at_ = now + Span::seconds(chance_.uniform(0.2, 0.45));
            return now >= (offer.near ? at_ : at_ + kOwnZoneFirst);
        }
        if (farFrom_ == Instant::never()) farFrom_ = now + kOwnZoneFirst;
        if (offer.inContact) return offer.near || now >= farFrom_;
        if (holdOutUntil_ == Instant::never()) holdOutUntil_ = now + kHoldOut;
        return now >= holdOutUntil_;
    }
    void taken() { at_ = Instant::never(); }

  private:
    policy::Random chance_;
    Instant at_ = Instant::never();
    Instant holdOutUntil_ = Instant::never();
    Instant farFrom_ = Instant::never();  // without any: when a core of another zone is asked
};

}  // namespace petrelpond::agent
