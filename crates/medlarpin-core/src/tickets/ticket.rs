use std::fmt;
use std::str::FromStr;

use displaydoc::Display;
use thiserror::Error;

use crate::ids::{Incarnation, VmName};

/// Number of hex digits of the random part.
const RANDOM_DIGITS: usize = 32;
/// Maximum length of the VM name in a ticket's text: the limit of a DNS name.
///
/// Bounds the memory that a forged ticket can take.
const MAX_VM_NAME_BYTES: usize = 253;

/// A single-use token that permits one run of a request, bound to the daemon that issued it.
///
/// Its text form is `<vm name>.<incarnation>.<32 hex digits>`. The VM name may contain dots, so the
/// text is split from the right. Parsing accepts only the canonical form.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    /// VM of the daemon that issued the ticket.
    pub issuer: VmName,
    /// Incarnation of that daemon; a later one has no record of the ticket.
    pub incarnation: Incarnation,
    /// Random part, which prevents guessing of tickets.
    pub random: u128,
}

/// Error of parsing a ticket's text form.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum ParseTicketError {
    /// the ticket does not have the form <vm name>.<incarnation>.<32 hex digits>
    MissingPart,
    /// the ticket's VM name is empty or too long
    InvalidVmName,
    /// the ticket's incarnation is not a number
    InvalidIncarnation,
    /// the ticket's random part is not 32 lowercase hex digits
    InvalidRandom,
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{}.{:032x}",
            self.issuer, self.incarnation.0, self.random
        )
    }
}

impl FromStr for Ticket {
    type Err = ParseTicketError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.rsplitn(3, '.');
        let random = parts.next().ok_or(ParseTicketError::MissingPart)?;
        let incarnation = parts.next().ok_or(ParseTicketError::MissingPart)?;
        let issuer = parts.next().ok_or(ParseTicketError::MissingPart)?;
        if issuer.is_empty() || issuer.len() > MAX_VM_NAME_BYTES {
            return Err(ParseTicketError::InvalidVmName);
        }
        Ok(Self {
            issuer: VmName::new(issuer),
            incarnation: parse_incarnation(incarnation)?,
            random: parse_random(random)?,
        })
    }
}

fn parse_incarnation(text: &str) -> Result<Incarnation, ParseTicketError> {
    let number: u64 = text
        .parse()
        .ok()
        .filter(|number: &u64| number.to_string() == text)
        .ok_or(ParseTicketError::InvalidIncarnation)?;
    Ok(Incarnation(number))
}

fn parse_random(text: &str) -> Result<u128, ParseTicketError> {
    let is_hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    if text.len() != RANDOM_DIGITS || !text.bytes().all(is_hex) {
        return Err(ParseTicketError::InvalidRandom);
    }
    u128::from_str_radix(text, 16)
        .ok()
        .ok_or(ParseTicketError::InvalidRandom)
}
