//! Numbered result codes for requests, release notes, commands and peer messages.
//!
//! `docs/RESULT-CODES.md` documents the codes; a test checks that it matches.

use std::fmt;

use crate::Outcome;

macro_rules! result_codes {
    ($($(#[doc = $doc:literal])+ $name:ident = $number:literal, $status:literal, $outcome:ident, $text:literal;)+) => {
        /// The numbered result of an operation.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum ResultCode {
            $($(#[doc = $doc])+ $name,)+
        }

        impl ResultCode {
            /// All codes, in ascending order of their numbers.
            pub const ALL: &[Self] = &[$(Self::$name,)+];

            /// Returns the number of the code.
            pub fn number(self) -> u16 {
                match self {
                    $(Self::$name => $number,)+
                }
            }

            /// Returns the HTTP status sent with the code; 0 if there is none.
            pub fn http_status(self) -> u16 {
                match self {
                    $(Self::$name => $status,)+
                }
            }

            /// Returns whether the request was run, as far as the code determines it.
            pub fn outcome(self) -> Outcome {
                match self {
                    $(Self::$name => Outcome::$outcome,)+
                }
            }

            /// Returns a short human-readable description.
            pub fn phrase(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)+
                }
            }
        }
    };
}

result_codes! {
    /// A target responded and its complete response was forwarded.
    Served = 0, 200, Ran, "served";
    /// No route matches the host and path.
    NoRoute = 101, 404, NotRun, "no route fits host and path";
    /// The request headers exceed the configured limit.
    HeadersTooLarge = 102, 431, NotRun, "headers too large";
    /// The request specifies its body length twice or ambiguously.
    AmbiguousLength = 103, 400, NotRun, "ambiguous body length";
    /// The request is malformed in another way.
    BadRequest = 104, 400, NotRun, "malformed request";
    /// The named customer is not in the configuration.
    UnknownCustomer = 105, 401, NotRun, "unknown customer";
    /// The deadline header is not a number of milliseconds.
    BadDeadline = 106, 400, NotRun, "malformed deadline";
    /// The key or ticket header is malformed.
    BadCommandKey = 107, 400, NotRun, "malformed key or ticket";
    /// The request carries no key of a customer.
    UnknownKey = 108, 401, NotRun, "no customer holds the key";
    /// The service's queue is full.
    QueueFull = 201, 503, NotRun, "queue full";
    /// The request could not be served before its deadline.
    DeadlineTooNear = 202, 503, NotRun, "would miss its deadline";
    /// The service has no available target.
    NoTarget = 203, 503, NotRun, "no target available";
    /// The customer has too many concurrent requests.
    CustomerOverLimit = 204, 429, NotRun, "customer over its limit";
    /// The instance is shutting down.
    Draining = 205, 503, NotRun, "instance is stopping";
    /// The instance has no configuration yet.
    NotReady = 206, 503, NotRun, "instance is not ready";
    /// The service is overloaded: its targets cannot finish all requests in time.
    Overloaded = 207, 503, NotRun, "too few targets for the load";
    /// The request was at the end of several targets' processes and is not sent again for now.
    Quarantined = 208, 503, NotRun, "request crashes the targets that run it";
    /// The customer has sent as many requests as its quota allows.
    QuotaExceeded = 210, 429, NotRun, "customer over its quota";
    /// The instance has no memory left for the body of the request.
    BodyMemoryFull = 211, 503, NotRun, "no memory for the body";
    /// No connection to a target could be established.
    ConnectFailed = 301, 502, NotRun, "no connection to a target";
    /// The target rejected the request before running it.
    TargetRefused = 302, 503, NotRun, "target refused";
    /// The target closed the connection before its response was complete.
    TargetTruncated = 303, 502, Unknown, "target cut its answer";
    /// The target did not respond in time.
    TargetTimeout = 304, 504, Unknown, "target did not answer in time";
    /// The target's response was malformed.
    TargetMalformed = 305, 502, Unknown, "malformed answer of target";
    /// The caller disconnected.
    CallerDisconnected = 306, 499, Unknown, "caller went away";
    /// The key could not be claimed because the platform does not answer.
    ClaimUnavailable = 401, 503, NotRun, "key cannot be claimed now, use a ticket";
    /// An earlier request with this key was run.
    AlreadyRan = 402, 409, Ran, "an earlier request with this key has run";
    /// An earlier request with this key has started and not finished.
    AlreadyBegun = 403, 409, Unknown, "an earlier request with this key has begun";
    /// The outcome of an earlier request with this key is unknown.
    EarlierOutcomeUnknown = 404, 409, Unknown, "effect of an earlier request with this key is unknown";
    /// The instance that issued the ticket no longer runs or no longer stores the ticket.
    TicketLost = 406, 409, Unknown, "ticket is lost";
    /// The ticket table is full.
    TicketTableFull = 407, 503, NotRun, "table of tickets is full";
    /// The number of claims in flight to the platform has reached the configured limit.
    TooManyClaims = 408, 503, NotRun, "too many claims at once, use a ticket";
    /// The document is not JSON with comments.
    DocumentSyntax = 501, 0, NotRun, "document is not JSON with comments";
    /// A field of the document is unknown or missing, or its value has the wrong type.
    DocumentField = 502, 0, NotRun, "field does not fit";
    /// The note adds an object that already exists.
    NoteDuplicate = 503, 0, NotRun, "already exists";
    /// An object is referenced that does not exist.
    NoteMissing = 504, 0, NotRun, "does not exist";
    /// A value in the note is out of range.
    NoteValue = 505, 0, NotRun, "value out of range";
    /// An open closing covers a service that the note affects.
    NoteClosing = 506, 0, NotRun, "an open closing forbids the change";
    /// Another note was submitted first and took the number.
    NoteConflict = 507, 0, NotRun, "another note came first";
    /// The note exceeds the size that the platform can store.
    NoteTooLarge = 508, 0, NotRun, "note too large";
    /// The platform does not answer.
    PlatformUnavailable = 509, 0, Unknown, "platform does not answer";
    /// A file cannot be read.
    FileUnreadable = 510, 0, NotRun, "file cannot be read";
    /// An instance does not answer.
    InstanceUnreachable = 511, 0, NotRun, "instance does not answer";
    /// An address cannot be bound.
    AddressInUse = 512, 0, NotRun, "address cannot be bound";
    /// No log contains an entry for the request.
    RequestNotLogged = 513, 0, Unknown, "request is in no log";
    /// A message from a peer exceeds the maximum size.
    PeerMessageTooLarge = 601, 0, NotRun, "peer message too large";
    /// A peer uses a different protocol version.
    PeerVersionMismatch = 602, 0, NotRun, "peer speaks another version";
    /// A message from a peer cannot be decoded.
    PeerMessageUndecodable = 603, 0, NotRun, "peer message cannot be read";
    /// An entry of a configuration never matches a request or a caller.
    EntryNeverMatches = 701, 0, NotRun, "entry can never match";
    /// The host of a route is not written in lower case.
    HostInCapitals = 702, 0, NotRun, "host in capitals";
    /// No route sends requests to the service.
    ServiceUnused = 703, 0, NotRun, "service that no route uses";
    /// The timeout of a route is below its objective.
    TimeoutBelowObjective = 704, 0, NotRun, "timeout below the objective";
    /// A route allows no attempt.
    NoAttempts = 705, 0, NotRun, "no attempt allowed";
    /// All weights of a route are 0.
    AllWeightsZero = 706, 0, NotRun, "all weights are 0";
    /// A customer has a burst, but no rate.
    BurstWithoutRate = 707, 0, NotRun, "burst without a rate";
    /// The body limit is above the largest body that instances forward.
    BodyLimitTooLarge = 708, 0, NotRun, "body limit too large";
    /// Two customers have the same key.
    KeyHeldTwice = 709, 0, NotRun, "two customers with one key";
    /// A customer has no key that callers can send.
    CustomerWithoutKeys = 710, 0, NotRun, "customer without keys";
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{:03} {}", self.number(), self.phrase())
    }
}
