// Decides when an agent requests a newer configuration that a core has announced.
#pragma once

#include "petrelpond/time.hpp"
#include "src/policy/token_bucket.hpp"

namespace petrelpond::agent {

// How long an agent without a configuration waits for a core that is in contact with a majority. A core that
// was cut off hands out an old one, with routes that no longer exist. Drawback: if no such core can be
// reached, a starting proxy serves nothing for this long. After that an old configuration is better than
// none: it is replaced as soon as a newer one is announced.
inline const Span kMaxContactWait = Span::millis(2500);

// What a core announced about its configuration.
struct ConfigOffer {
    bool isNewer = false;         // than the agent's
    bool isInContact = false;     // with a majority, recently
    bool isPreferredZone = true;  // in the agent's zone, or no linked core is
};

// Extra delay before a core of another zone is asked: traffic between zones is expensive, and cores of the
// own zone get a version within milliseconds. Drawback: if those fail to announce it, a version takes effect
// this much later.
inline const Span kOtherZoneDelay = Span::millis(400);

class ConfigRequestPolicy {
  public:
    explicit ConfigRequestPolicy(uint32_t randomSeed) : random_{std::mt19937(randomSeed)} {}

    // Whether to request the configuration now.
    //
    // With a configuration already: after a random delay. When versions followed each other closely, as when
    // two operators make changes, every sender fetched each one in full at the same moment, and on a slow
    // link the transfer and parsing delayed requests by a third of a second per version. The delay merges
    // several versions into one fetch and spreads the senders. Drawback: a version takes effect later, well
    // within its time limit. Without one: at once from a core in contact, from another after kMaxContactWait.
    bool shouldRequest(Instant now, bool hasConfig, ConfigOffer offer) {
        if (!offer.isNewer) return false;
        if (hasConfig) {
            if (requestAt_ == Instant::never()) requestAt_ = now + Span::seconds(random_.uniform(0.2, 0.45));
            return now >= (offer.isPreferredZone ? requestAt_ : requestAt_ + kOtherZoneDelay);
        }
        if (otherZoneFrom_ == Instant::never()) otherZoneFrom_ = now + kOtherZoneDelay;
        if (offer.isInContact) return offer.isPreferredZone || now >= otherZoneFrom_;
        if (contactWaitUntil_ == Instant::never()) contactWaitUntil_ = now + kMaxContactWait;
        return now >= contactWaitUntil_;
    }
    void onConfigAccepted() { requestAt_ = Instant::never(); }

  private:
    policy::Random random_;
    Instant requestAt_ = Instant::never();
    Instant contactWaitUntil_ = Instant::never();
    Instant otherZoneFrom_ =
        Instant::never();  // without a configuration: when a core of another zone is asked
};

}  // namespace petrelpond::agent
