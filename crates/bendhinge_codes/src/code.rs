//! Declaration of all result codes.

use std::fmt;

use crate::Ran;

/// Declares [`ResultCode`] and its properties.
///
/// Each entry lists the variant, its number, the HTTP status (0 if the code is never sent in a
/// response), whether the request ran, whether a retry is invited, the meaning, and the recommended
/// action.
macro_rules! result_codes {
    ($($name:ident = $number:literal, $http:literal, $ran:expr, $retry:literal,
        $means:literal, $action:literal;)+) => {
        /// A numbered result code. Each variant is documented by its meaning.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum ResultCode {
            $(#[doc = $means] $name,)+
        }

        impl ResultCode {
            /// All codes, in ascending order of number.
            pub const ALL: &'static [Self] = &[$(Self::$name,)+];

            /// The number that follows the `BH` prefix.
            #[must_use]
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)+ }
            }

            /// Returns the code with a number, if there is one.
            #[must_use]
            pub fn from_number(number: u16) -> Option<Self> {
                Self::ALL.iter().copied().find(|code| code.number() == number)
            }

            /// The HTTP status of the response; 0 if the code is only used for settings and commands.
            #[must_use]
            pub const fn http_status(self) -> u16 {
                match self { $(Self::$name => $http,)+ }
            }

            /// Whether the request ran; `None` if the code does not concern a request.
            #[must_use]
            pub const fn ran(self) -> Option<Ran> {
                match self { $(Self::$name => $ran,)+ }
            }

            /// Whether the caller may retry the same request.
            #[must_use]
            pub const fn invites_retry(self) -> bool {
                match self { $(Self::$name => $retry,)+ }
            }

            /// The meaning of the code, in one sentence.
            #[must_use]
            pub const fn means(self) -> &'static str {
                match self { $(Self::$name => $means,)+ }
            }

            /// The recommended action.
            #[must_use]
            pub const fn action(self) -> &'static str {
                match self { $(Self::$name => $action,)+ }
            }
        }
    };
}

const NO_REQUEST: Option<Ran> = None;
const RAN: Option<Ran> = Some(Ran::Yes);
const NOT_RUN: Option<Ran> = Some(Ran::No);
const MAY_HAVE_RUN: Option<Ran> = Some(Ran::Unknown);

result_codes! {
    UnreadableFile = 101, 0, NO_REQUEST, false,
        "A settings or configuration file could not be read.",
        "Check the path and its permissions.";
    InvalidLine = 102, 0, NO_REQUEST, false,
        "A line is neither a section, a key with a value, nor a comment.",
        "Write `[section]`, `key = value` or `; comment`.";
    UnknownSection = 103, 0, NO_REQUEST, false,
        "A section is not known.",
        "Use the section that the message suggests, or remove it.";
    UnknownKey = 104, 0, NO_REQUEST, false,
        "A key is not known in its section.",
        "Use the key that the message suggests, or remove it.";
    RepeatedKey = 105, 0, NO_REQUEST, false,
        "A key or section stands twice.",
        "Keep one of the two.";
    MissingKey = 106, 0, NO_REQUEST, false,
        "A required key or section is missing.",
        "Add it; the settings reference shows its form.";
    InvalidValue = 107, 0, NO_REQUEST, false,
        "A value does not have the form or range that its key asks for.",
        "Write a value of the form that the message names.";
    UnknownReference = 108, 0, NO_REQUEST, false,
        "A value names a data centre, pool or class that is not defined.",
        "Define it, or correct the name.";
    MalformedRequest = 201, 400, NOT_RUN, false,
        "The request could not be understood.",
        "Correct the request as the message says; sending it again unchanged is of no use.";
    NoKey = 202, 401, NOT_RUN, false,
        "The request has no valid bearer key of a customer.",
        "Send `Authorization: Bearer KEY` with a key of a configured customer.";
    UnknownModel = 203, 404, NOT_RUN, false,
        "No pool serves the model, or no service has the path.",
        "Ask `GET /v1/models` for the models that are served.";
    BodyTooLarge = 204, 413, NOT_RUN, false,
        "The request body is larger than the limit.",
        "Send a smaller body.";
    SlowCaller = 205, 408, NOT_RUN, false,
        "The request did not arrive within the time limit.",
        "Send the whole request without long pauses.";
    AmbiguousLength = 206, 400, NOT_RUN, false,
        "The request states its length in more than one way.",
        "Send either one Content-Length or Transfer-Encoding: chunked.";
    MethodNotAllowed = 207, 405, NOT_RUN, false,
        "The path exists, but not with this method.",
        "Use the method that the callers' page names.";
    CustomerAtLimit = 301, 429, NOT_RUN, true,
        "The customer has as many requests in progress as its limit allows.",
        "Come back after `Retry-After` seconds.";
    ClassOverShare = 302, 429, NOT_RUN, true,
        "The pool is full and the priority class already has its share.",
        "Come back after `Retry-After` seconds.";
    DeadlineCannotBeMet = 303, 503, NOT_RUN, true,
        "The deadline stated by the caller cannot be met now.",
        "Come back after `Retry-After` seconds, or state a later deadline.";
    NoUpstream = 304, 503, NOT_RUN, true,
        "No upstream of the pool may take new work.",
        "Come back after `Retry-After` seconds; operators: check the pool's members.";
    AllUpstreamsAtBound = 305, 503, NOT_RUN, true,
        "Every upstream of the pool is at its load bound.",
        "Come back after `Retry-After` seconds.";
    RouterStopping = 306, 503, NOT_RUN, true,
        "This router is stopping and takes no new work.",
        "Send the request again; the balancer will choose another router.";
    NoConfiguration = 307, 503, NOT_RUN, true,
        "This router has no confirmed configuration yet.",
        "Come back after `Retry-After` seconds; operators: check the platform and the peers.";
    TooManyConnections = 308, 503, NOT_RUN, true,
        "This router has as many requests in progress as its limit allows.",
        "Come back after `Retry-After` seconds.";
    ViewNotFresh = 309, 503, NOT_RUN, true,
        "What this router believes is too old to act on: it woke from a pause, or nobody could tell it what is current.",
        "Come back after `Retry-After` seconds.";
    Quarantined = 310, 503, NOT_RUN, false,
        "Upstreams crashed, one after the other, each time that this very request ran, or different ones that share a part of its prompt: it is kept from them.",
        "Do not send it again before `Retry-After`: change the request or the shared part, or ask the operators, whom its number leads to the crashes.";
    SuspectUnderWay = 311, 503, NOT_RUN, true,
        "An upstream crashed under this very request or others with a part of its prompt lately, and as many sends of it as are risked are under way.",
        "Come back after `Retry-After` seconds.";
    AllUpstreamsRest = 312, 503, NOT_RUN, true,
        "Every upstream of the pool that takes new work asked this router for a rest that is not over.",
        "Come back after `Retry-After` seconds, when the first rest is over; operators: look for `rest_asked` in the logs.";
    CustomerOverShare = 313, 429, NOT_RUN, true,
        "The engines are nearly full, and the customer demands more than its fair share of them.",
        "Come back after `Retry-After` seconds, or send fewer requests at once.";
    StreamSoftwareUnknown = 314, 503, NOT_RUN, false,
        "It is not known which version of the upstreams' software began the stream that the request resumes.",
        "Request the stream from its beginning.";
    StreamSoftwareUnavailable = 315, 503, NOT_RUN, false,
        "No upstream with the software that began the stream accepts the request that resumes it.",
        "Request the stream from its beginning, or retry if its upstreams are only busy.";
    BuffersFull = 316, 503, NOT_RUN, true,
        "This router has no memory left for the body of the request.",
        "Come back after `Retry-After` seconds; operators: look for what fills `bendhinge_gateway_buffered_bytes`.";
    CustomerNotServed = 317, 503, NOT_RUN, false,
        "The customer's entry in the configuration cannot be used, or its name cannot be sent to upstreams.",
        "Do not send it again before `Retry-After`; operators: correct the customer's entry, which `rules_entry` in the logs names.";
    RouteNotServed = 318, 503, NOT_RUN, false,
        "The route's entry in the configuration cannot be used, or names no pool that can be.",
        "Do not send it again before `Retry-After`; operators: correct the route's entry, which `rules_entry` in the logs names.";
    UpstreamNotReached = 401, 503, NOT_RUN, true,
        "No connection to an upstream could be made within the retry budget.",
        "Come back after `Retry-After` seconds.";
    UpstreamLost = 402, 502, MAY_HAVE_RUN, false,
        "The connection to the upstream was lost after some of the request may have reached it.",
        "Ask what became of the request before sending it again.";
    UpstreamTimeout = 403, 504, MAY_HAVE_RUN, false,
        "The upstream did not answer within the time limit.",
        "Ask what became of the request before sending it again.";
    UpstreamBadAnswer = 404, 502, MAY_HAVE_RUN, false,
        "The upstream's answer was not a whole HTTP answer.",
        "Ask what became of the request before sending it again.";
    RepeatableLost = 405, 503, MAY_HAVE_RUN, true,
        "A repeatable request was lost at an upstream and the retry budget is spent.",
        "Come back after `Retry-After` seconds.";
    AnswerCutShort = 406, 502, MAY_HAVE_RUN, false,
        "The answer broke off after part of it was passed on.",
        "Discard the partial answer; a repeatable request may be sent again.";
    AnswerTooLarge = 407, 502, MAY_HAVE_RUN, false,
        "The upstream's answer, or an event of its stream, is larger than the limit, or than the memory for it.",
        "Discard a partial answer. Operators: raise `answer_bytes` or `event_bytes` if the upstream is sound.";
    OnceAlreadyTaken = 501, 409, MAY_HAVE_RUN, false,
        "A request with this idempotency key was already taken; it may be running or have run.",
        "Do not send it again; look for its effect.";
    OnceAlreadyRan = 502, 409, RAN, false,
        "A request with this idempotency key has already run.",
        "Do not send it again; look for its effect.";
    OnceCannotVouch = 503, 409, MAY_HAVE_RUN, false,
        "No router can vouch that this request has not run before.",
        "Look for its effect; if there is none, send it under a new idempotency key.";
    OnceHomeUnreachable = 504, 503, MAY_HAVE_RUN, false,
        "The router that keeps this idempotency key cannot be reached; this attempt was not sent.",
        "Look for the effect of earlier attempts before sending it again.";
    OnceNeedsKey = 505, 400, NOT_RUN, false,
        "A request marked as not repeatable has no Idempotency-Key.",
        "Add an Idempotency-Key header that is the same for every attempt.";
    OnceFull = 506, 503, NOT_RUN, true,
        "The router that keeps idempotency keys holds as many as it may.",
        "Come back after `Retry-After` seconds.";
    PlanBaseChanged = 601, 0, NO_REQUEST, false,
        "The configuration in force is not the one that the plan was made from.",
        "Make a new plan from the configuration in force.";
    PlanSuperseded = 602, 0, NO_REQUEST, false,
        "Another confirmed configuration of the same revision is in force.",
        "Make a new plan from the configuration in force.";
    IntentInvalid = 603, 0, NO_REQUEST, false,
        "The intent cannot be understood or names something that is not configured.",
        "Correct the intent as the message says.";
    PlanAltered = 604, 0, NO_REQUEST, false,
        "The plan file was altered after it was made.",
        "Make the plan again.";
    OperatorKeyInvalid = 701, 401, NO_REQUEST, false,
        "The operators' address was called without its key.",
        "Send `Authorization: Bearer KEY` with the operators' key of the settings.";
    RouterUnreachable = 702, 0, NO_REQUEST, false,
        "A process named on the command line could not be reached.",
        "Check its address; what it recorded is lost if it has stopped.";
}

impl fmt::Display for ResultCode {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "BH{:04}", self.number())
    }
}
