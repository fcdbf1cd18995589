// How many slots a service needs: rates of arrival, durations of calls, and what keeping an instance costs.
#include "system/scaler/planner_state.hpp"

namespace petrelpond::scaler {

namespace {

// What n calls spread over the last `span` seconds add to a rate that decays with time constant tau.
double rateGain(double n, double span, double tau) {
    return span < 0.05 * tau ? n / tau : n * (1 - std::exp(-span / tau)) / span;
}

}  // namespace

void Planner::State::recordArrivals(Instant now, Service* service, SenderDemand& u, const Demand& d,
                                    double span) {
    if (d.meanCallUs > 0 && d.arrived > 0) {
        double w = d.meanCallUs / 1e6, n = std::min(d.arrived, 16u);
        service->callWeight = std::min(service->callWeight + n, tuning.maxCallWeight);
        service->meanCallSeconds += std::min(1.0, n / service->callWeight) * (w - service->meanCallSeconds);
        if (!service->group) service->group = &groups[serviceGroupKey(service->spec)];
        service->group->callWeight = std::min(service->group->callWeight + n, tuning.maxGroupCallWeight);
        service->group->meanCallSeconds +=
            std::min(1.0, n / service->group->callWeight) * (w - service->group->meanCallSeconds);
    }
    if (d.arrived == 0) return;
    decayRates(now, service);
    service->shortRate += rateGain(d.arrived, span, shortTau(service));
    service->fastRate += rateGain(d.arrived, span, tuning.fastTau);
    service->slowRate += rateGain(d.arrived, span, tuning.slowTau);
    service->longRate += rateGain(d.arrived, span, tuning.longTau);
    u.rate = u.rate * decayFactor(u.rateUpdatedAt, now, tuning.fastTau) +
             rateGain(d.arrived, span, tuning.fastTau);
    u.rateUpdatedAt = now;
    service->lastCallAt = now;
}

// A window shorter than a call would count one long call as many.
double Planner::State::shortTau(const Service* service) const {
    return std::max(tuning.shortTau, estimateCallSeconds(service));
}

// For a service with few calls the mean of its group is weighted more than its own: one long call in
// three made a rarely called function look busy, and twice the instances were kept for it.
double Planner::State::estimateCallSeconds(const Service* service) const {
    const ServiceGroup* g = findGroup(service);
    double like = g && g->callWeight >= 1 ? g->meanCallSeconds : priorCallSeconds(service);
    return (tuning.priorCallWeight * like + service->callWeight * service->meanCallSeconds) /
           (tuning.priorCallWeight + service->callWeight);
}

// Limited, against a route without a latency target to speak of: its first call took all workers' memory
// for instances that nobody needed. Drawback: a function with longer calls has too few instances until
// one call was measured, and starts more as requests wait.
double Planner::State::priorCallSeconds(const Service* service) const {
    return std::min(tuning.priorCallToTargetRatio * service->spec.targetLatency.inSeconds(),
                    tuning.maxPriorCallTime.inSeconds());
}

const ServiceGroup* Planner::State::findGroup(const Service* service) const {
    if (service->group) return service->group;
    auto found = groups.find(serviceGroupKey(service->spec));
    return found != groups.end() ? &found->second : nullptr;
}

void Planner::State::decayRates(Instant now, Service* service) {
    if (now <= service->rateUpdatedAt) return;
    service->shortRate *= decayFactor(service->rateUpdatedAt, now, shortTau(service));
    service->fastRate *= decayFactor(service->rateUpdatedAt, now, tuning.fastTau);
    service->slowRate *= decayFactor(service->rateUpdatedAt, now, tuning.slowTau);
    service->longRate *= decayFactor(service->rateUpdatedAt, now, tuning.longTau);
    service->rateUpdatedAt = now;
}

bool Planner::State::missesTargetAfterBoot(const Service* service) const {
    return service->spec.targetLatency < service->spec.bootTime + Span::seconds(estimateCallSeconds(service));
}

// Slots needed for the requests that wait now. A start does not help a request that is served before the
// boot ends, so what counts is the queue that cannot drain in time, not each request.
double Planner::State::slotsNeededNow(const Service* service, SlotCount upSlots) const {
    double work = estimateCallSeconds(service), drain;
    if (missesTargetAfterBoot(service)) {
        drain = tuning.hotDrainTime.inSeconds();
    } else {
        double spare =
            0.5 * (service->spec.targetLatency.inSeconds() - service->spec.bootTime.inSeconds() - work);
        drain = std::clamp(spare, tuning.minDrainTime.inSeconds(), tuning.maxDrainTime.inSeconds());
        if (upSlots > 0) drain += service->spec.bootTime.inSeconds();
    }
    double byRate = tuning.shortRateFactor * service->shortRate * work + service->waiting * work / drain;
    return std::clamp(byRate, 1.0, std::max(1.0, double(service->waiting) + service->busy));
}

double Planner::State::coldStartCost(const Service* service) const {
    double gb = service->spec.memoryMb / 1024.0;
    return tuning.startCostGbSeconds + gb * service->spec.bootTime.inSeconds() +
           (service->spec.targetLatency < service->spec.bootTime ? tuning.lateCallCostGbSeconds : 0);
}

// How long a surplus instance is kept: as long as its memory costs less than starting it again.
Span Planner::State::surplusKeepTime(const Service* service) const {
    double perS = std::max(0.01, service->spec.memoryMb / 1024.0);
    return keepTime(coldStartCost(service) / perS);
}

// Limited as a number of seconds: with the longest boot times it may exceed the range of Span.
Span Planner::State::keepTime(double seconds) const {
    return Span::seconds(std::min(seconds, tuning.maxKeepTime.inSeconds()));
}

// Idle time after which keeping an instance has cost as much as starting it again would; longer where
// calls come so steadily that waiting for the next one pays off.
Span Planner::State::idleKeepTime(const Service* service) const {
    if (!service->isConfigured) return tuning.unconfiguredKeepTime;
    double perS = std::max(0.01, service->spec.memoryMb / 1024.0), cold = coldStartCost(service);
    if (service->spec.targetLatency < service->spec.bootTime)
        cold += tuning.lateCallCostGbSeconds * service->longRate * service->spec.bootTime.inSeconds();
    double span = cold / perS;
    if (service->longRate * cold > perS) span = std::max(span, tuning.keepMeanGaps / service->longRate);
    return keepTime(span);
}

double Planner::State::wantedSlots(Instant now, const Service* service) const {
    if (!service->isConfigured) return 0;
    if (service->waiting + service->busy == 0 && now > service->lastCallAt + idleKeepTime(service))
        return now < service->warmUntil ? 1 : 0;
    double rate = std::max(service->fastRate, service->slowRate), want;
    if (missesTargetAfterBoot(service)) {
        double m = rate * estimateCallSeconds(service);
        double users = double(service->demands.size());
        want = m + tuning.reserveSigmas * std::sqrt(m) + tuning.reservePerSender * std::min(users, m);
        if (rate > tuning.hotRate && service->spec.targetLatency < service->spec.bootTime)
            want = std::max(want, tuning.burstFactor * m + tuning.burstSigmas * std::sqrt(m));
    } else {
        // Requests have time to queue, and those that wait too long trigger starts themselves.
        double m = std::min(rate, service->slowRate) *
                   (estimateCallSeconds(service) +
                    (service->demands.size() > 1 ? tuning.handoverTime.inSeconds() : 0));
        want = m + tuning.slackReserveSigmas * std::sqrt(m);
    }
    return std::max(want, 1.0);
}

}  // namespace petrelpond::scaler
