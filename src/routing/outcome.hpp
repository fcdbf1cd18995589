// The one place that says what each way in which a connection can end means for the texts of its call.
#pragma once

#include "src/protocol/messages.hpp"
#include "src/transport/ending.hpp"

namespace petrelpond {

struct Outcome {
    SubmitStatus end = SubmitStatus::error;
    bool over = false;
};

// Once the last byte may have left, the call may have run; before that it never has. Of an answer that broke
// off or can't be read only a first line that says delivered is believed: whatever else stands there, the
// call may have run, so that a spoilt refusal frees no text for another submit.
inline Outcome outcomeOf(Ending ending, Verdict verdict) {
    switch (ending) {
        case Ending::halfAnswered:
            return verdict == Verdict::delivered ? Outcome{SubmitStatus::delivered, true}
                                                 : Outcome{SubmitStatus::error};
        case Ending::answered:
            switch (verdict) {
                case Verdict::delivered:
                    return {SubmitStatus::delivered, true};
                case Verdict::error:
                    return {SubmitStatus::error};
                case Verdict::turnedAway:
                    return {SubmitStatus::overloaded};
                case Verdict::notSent:
                    return {SubmitStatus::notSent};
                case Verdict::over:
                    return {SubmitStatus::notSent, true};
            }
            return {SubmitStatus::error};
        case Ending::noMeans:
        case Ending::cancelledUnsent:
            return {SubmitStatus::notSent};
        case Ending::refused:
        case Ending::neverUp:
        case Ending::brokeBeforeSent:
        case Ending::timedOutUnsent:
            return {SubmitStatus::unreachable};
        case Ending::brokeAfterSent:
            return {SubmitStatus::reset};
        case Ending::oddAnswer:  // something answered, so that no connection died unseen
            return {SubmitStatus::error};
        case Ending::timedOut:
            return {SubmitStatus::timeout};
        case Ending::cancelled:
            return {SubmitStatus::cancelled};
    }
    return {SubmitStatus::error};
}

}  // namespace petrelpond
