// The parts that a sender is made from, as a scenario says them: the one place for real senders and for the
// model.
#pragma once

#include "fleet/scenario.hpp"

namespace petrelpond::fleet {

struct SenderParts {
    std::vector<Product> products;
    std::vector<EndpointKind> kinds;  // one for each group
    SenderGroup crew;
    SenderLimits room;
    ColdStartRule cold;
    EndpointListRule list;
    ConnectionRule links;
};
SenderParts partsOf(const Scenario& scenario);
// How many senders that one was told there are.
int sendersTold(const Scenario& scenario, int sender);
// What an endpoint's entry in the list says of its destination's rate; 0: nothing.
double listedRate(const Group& group);

}  // namespace petrelpond::fleet
