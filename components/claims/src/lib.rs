//! Ownership of submissions, decided by a quorum of claim holders.
//!
//! Before an entry starts the first task of a submission, it must own the submission. It claims it
//! at a few agents in different racks, the holders, which are chosen by rendezvous hashing over the
//! claim view. A holder keeps the first claim that it receives, and the entry that gets a majority
//! of the holders is the owner.

mod register;
mod round;
mod view;
mod window;

pub use register::{AbstainReason, Claim, ClaimReply, ClaimRequest, LookupReply, Register};
pub use round::{Round, RoundState, Vote};
pub use view::{HOLDERS, InvalidMember, Member, View, Views};
pub use window::{Age, Window};
