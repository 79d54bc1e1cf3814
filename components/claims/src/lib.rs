//! Who owns a submission.
//!
//! An entry must know that a submission is new before its first task starts. It asks three agents
//! in different racks, chosen by rendezvous hashing over the claim view; the first claim to reach
//! an agent holds there, and two of three make the entry the owner. The design and what was
//! weighed against it stand in `docs/design/never-twice.md`.

mod register;
mod round;
mod view;
mod window;

pub use register::{Claim, ClaimReply, ClaimRequest, LookupReply, Register, Silence};
pub use round::{Round, RoundState, Vote};
pub use view::{HOLDERS, InvalidMember, Member, View, Views};
pub use window::{Age, Window};
