//! Numbered result codes, one for each way in which something can end.
//!
//! The table in `docs/RESULT-CODES.md` lists the same codes.

use std::fmt;

use crate::Outcome;

macro_rules! result_codes {
    ($($(#[doc = $doc:literal])+ $name:ident = $number:literal, $status:literal, $outcome:ident, $text:literal;)+) => {
        /// A numbered result.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum ResultCode {
            $($(#[doc = $doc])+ $name,)+
        }

        impl ResultCode {
            /// All codes in ascending order of their numbers.
            pub const ALL: &[Self] = &[$(Self::$name,)+];

            /// The code's number.
            pub fn number(self) -> u16 {
                match self {
                    $(Self::$name => $number,)+
                }
            }

            /// The HTTP status that goes with the code; 0 where none does.
            pub fn http_status(self) -> u16 {
                match self {
                    $(Self::$name => $status,)+
                }
            }

            /// What the code says of the request's effect.
            pub fn outcome(self) -> Outcome {
                match self {
                    $(Self::$name => Outcome::$outcome,)+
                }
            }

            /// A short phrase for people.
            pub fn phrase(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)+
                }
            }
        }
    };
}

result_codes! {
    /// A target answered and the whole answer was passed on.
    Served = 0, 200, Ran, "served";
    /// No route fits host and path.
    NoRoute = 101, 404, NotRun, "no route fits host and path";
    /// The request's headers are larger than the setting allows.
    HeadersTooLarge = 102, 431, NotRun, "headers too large";
    /// The request carries two lengths or an ambiguous one.
    AmbiguousLength = 103, 400, NotRun, "ambiguous body length";
    /// The request is malformed in another way.
    BadRequest = 104, 400, NotRun, "malformed request";
    /// The named customer is not in the configuration.
    UnknownCustomer = 105, 401, NotRun, "unknown customer";
    /// The deadline header is not a number of milliseconds.
    BadDeadline = 106, 400, NotRun, "malformed deadline";
    /// The key or ticket header is malformed.
    BadCommandKey = 107, 400, NotRun, "malformed key or ticket";
    /// The service's queue is full.
    QueueFull = 201, 503, NotRun, "queue full";
    /// The request could not be served before its deadline.
    DeadlineTooNear = 202, 503, NotRun, "would miss its deadline";
    /// The service has no target to send to.
    NoTarget = 203, 503, NotRun, "no target available";
    /// The customer has too many requests at once.
    CustomerOverLimit = 204, 429, NotRun, "customer over its limit";
    /// The instance is stopping.
    Draining = 205, 503, NotRun, "instance is stopping";
    /// The instance has no configuration yet.
    NotReady = 206, 503, NotRun, "instance is not ready";
    /// The service's targets cannot finish all requests in time.
    Overloaded = 207, 503, NotRun, "too few targets for the load";
    /// No connection to a target could be opened.
    ConnectFailed = 301, 502, NotRun, "no connection to a target";
    /// The target refused the request before running it.
    TargetRefused = 302, 503, NotRun, "target refused";
    /// The target closed the connection before its answer was whole.
    TargetCut = 303, 502, Unknown, "target cut its answer";
    /// The target did not answer in time.
    TargetTimeout = 304, 504, Unknown, "target did not answer in time";
    /// The target's answer was malformed.
    TargetMalformed = 305, 502, Unknown, "malformed answer of target";
    /// The caller went away.
    CallerGone = 306, 499, Unknown, "caller went away";
    /// The key could not be claimed, for the platform does not answer.
    ClaimUnavailable = 401, 503, NotRun, "key cannot be claimed now, use a ticket";
    /// An earlier request with this key has run.
    AlreadyRan = 402, 409, Ran, "an earlier request with this key has run";
    /// An earlier request with this key has begun and not ended.
    AlreadyBegun = 403, 409, Unknown, "an earlier request with this key has begun";
    /// What became of an earlier request with this key is not known.
    EarlierUnknown = 404, 409, Unknown, "effect of an earlier request with this key is unknown";
    /// The instance that issued the ticket is gone or has forgotten it.
    TicketLost = 406, 409, Unknown, "ticket is lost";
    /// The table of tickets is full.
    TicketTableFull = 407, 503, NotRun, "table of tickets is full";
    /// The platform holds as many claims in flight as the setting allows.
    ClaimRateExceeded = 408, 503, NotRun, "too many claims at once, use a ticket";
    /// The document is not JSON with comments.
    DocumentSyntax = 501, 0, NotRun, "document is not JSON with comments";
    /// A field of the document is unknown, missing or of the wrong type.
    DocumentField = 502, 0, NotRun, "field does not fit";
    /// The note adds something that exists already.
    NoteDuplicate = 503, 0, NotRun, "already exists";
    /// The note names something that does not exist.
    NoteMissing = 504, 0, NotRun, "does not exist";
    /// A value in the note is out of its range.
    NoteValue = 505, 0, NotRun, "value out of range";
    /// An open closing forbids the change.
    NoteClosing = 506, 0, NotRun, "an open closing forbids the change";
    /// Another note came first.
    NoteRaced = 507, 0, NotRun, "another note came first";
    /// The note is larger than the platform holds.
    NoteTooLarge = 508, 0, NotRun, "note too large";
    /// The platform does not answer.
    PlatformAway = 509, 0, Unknown, "platform does not answer";
    /// A file cannot be read.
    FileUnreadable = 510, 0, NotRun, "file cannot be read";
    /// An instance does not answer.
    InstanceAway = 511, 0, NotRun, "instance does not answer";
    /// An address cannot be bound.
    AddressInUse = 512, 0, NotRun, "address cannot be bound";
    /// No log has a line of the request.
    RequestUnknown = 513, 0, Unknown, "request is in no log";
    /// A peer's message is larger than allowed.
    PeerOversized = 601, 0, NotRun, "peer message too large";
    /// A peer speaks another version.
    PeerVersion = 602, 0, NotRun, "peer speaks another version";
    /// A peer's message cannot be read.
    PeerGarbled = 603, 0, NotRun, "peer message cannot be read";
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{:03} {}", self.number(), self.phrase())
    }
}
