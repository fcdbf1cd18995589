// The one place that says what each way in which a connection can end means for the texts of its call.
#pragma once

#include "src/protocol/messages.hpp"
#include "src/transport/ending.hpp"

namespace petrelpond {

struct Outcome {
    End end = End::error;
    bool over = false;
};

// Once the last byte may have left, the call may have run; before that it never has. Of an answer that broke
// off or can't be read only a first line that says delivered is believed: whatever else stands there, the
// call may have run, so that a spoilt refusal frees no text for another submit.
inline Outcome outcomeOf(Ending ending, Verdict verdict) {
    switch (ending) {
        case Ending::halfAnswered:
            return verdict == Verdict::delivered ? Outcome{End::delivered, true} : Outcome{End::error};
        case Ending::answered:
            switch (verdict) {
                case Verdict::delivered:
                    return {End::delivered, true};
                case Verdict::error:
                    return {End::error};
                case Verdict::turnedAway:
                    return {End::full};
                case Verdict::notSent:
                    return {End::notSent};
                case Verdict::over:
                    return {End::notSent, true};
            }
            return {End::error};
        case Ending::noMeans:
        case Ending::cancelledUnsent:
            return {End::notSent};
        case Ending::refused:
        case Ending::neverUp:
        case Ending::brokeBeforeSent:
        case Ending::timedOutUnsent:
            return {End::unreachable};
        case Ending::brokeAfterSent:
            return {End::reset};
        case Ending::oddAnswer:  // something answered, so that no connection died unseen
            return {End::error};
        case Ending::timedOut:
            return {End::timeout};
        case Ending::cancelled:
            return {End::cancelled};
    }
    return {End::error};
}

}  // namespace petrelpond
