// The ways in which a call on a connection can end. What each means for the text that it carried is said in
// one place, routing/outcome.hpp.
#pragma once

namespace petrelpond {

enum class Ending {
    answered,         // a whole answer came
    halfAnswered,     // the answer's first line came whole, and the rest broke off or can't be read
    noMeans,          // no descriptor, thread or buffer of our own could be had
    refused,          // the connection was refused, or an address could not be reached
    neverUp,          // the connection did not come up in its time
    brokeBeforeSent,  // it broke before the last byte was handed over
    brokeAfterSent,   // it broke or ended after that, unanswered
    oddAnswer,        // what came back is no answer
    timedOutUnsent,   // given up by its time-out before the last byte was handed over
    timedOut,         // given up by its time-out after that
    cancelledUnsent,  // called off before the last byte was handed over
    cancelled,        // called off after that
};

}  // namespace petrelpond
