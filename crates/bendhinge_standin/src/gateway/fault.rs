//! How an upstream misbehaves, and how it frames its answers.

/// How an upstream misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum UpstreamFault {
    /// It does not.
    #[default]
    None,
    /// It says that it has no room and did not run the request.
    Full,
    /// It says that it has no room, and asks for a rest of so many seconds.
    AsksForRest(&'static str),
    /// It keeps requests waiting until their time is over, and then does the same.
    AsksForRestLate(&'static str),
    /// It answers 503 without saying whether it ran the request, which it did.
    Unclear,
    /// It runs requests and gives no answer.
    Silent,
    /// It runs requests and cuts the connection.
    Lost,
    /// It answers with another request's number.
    Crossed,
    /// It answers without its signature.
    Unsigned,
    /// It answers that it failed.
    Failed,
    /// It breaks streams off in the middle of an event, after this many whole ones.
    BreaksOff(u32),
    /// It ends streams in the middle of an event, after this many whole ones, in the way of its framing.
    EndsMidEvent(u32),
    /// It ends streams after this many events, in the way of its framing.
    EndsEarly(u32),
    /// It stops sending events after this many, without breaking off.
    Stalls(u32),
}

/// What a sound upstream holds back until it goes on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Silence {
    /// Nothing.
    #[default]
    None,
    /// The events of its streams.
    Events,
    /// Its answers, and the events of streams that it has begun.
    Answers,
}

/// How an upstream marks the end of its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Framing {
    /// By a length, or by the last chunk of a stream.
    #[default]
    Framed,
    /// By closing the connection.
    UntilClose,
}
