//! Numbered result codes and the possible outcomes of a request.

mod outcome;
mod result_code;

pub use outcome::Outcome;
pub use result_code::ResultCode;
