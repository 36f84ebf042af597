//! Time-ordered idempotency keys: UUID version 7 (RFC 9562).

use crate::identity::IdempotencyKey;
use crate::timestamp::Timestamp;

const UUID_TEXT_LENGTH: usize = 36;
const UUID_HYPHENS: [usize; 4] = [8, 13, 18, 23];
const TIME_SHIFT: u32 = 80;
const VERSION_SHIFT: u32 = 76;
const VERSION_MASK: u128 = 0xf << VERSION_SHIFT;
const VERSION_7: u128 = 7 << VERSION_SHIFT;
const VARIANT_SHIFT: u32 = 62;
const VARIANT_MASK: u128 = 0b11 << VARIANT_SHIFT;
const VARIANT_RFC: u128 = 0b10 << VARIANT_SHIFT;
const RANDOM_MASK: u128 = (1 << TIME_SHIFT) - 1;

/// Issue time of a key. Only a UUID version 7 contains one; any other key is opaque and gives
/// `None`.
pub fn issued_at(key: &IdempotencyKey) -> Option<Timestamp> {
    let uuid = parse_uuid(key.as_str())?;
    let time_ordered = uuid & VERSION_MASK == VERSION_7 && uuid & VARIANT_MASK == VARIANT_RFC;
    let millis = u64::try_from(uuid >> TIME_SHIFT).ok()?;
    time_ordered.then(|| Timestamp::from_millis(millis))
}

/// Creates a time-ordered key for a request whose caller sent no key.
pub fn time_ordered_key(now: Timestamp, random: u128) -> IdempotencyKey {
    let time = u128::from(now.as_millis()) << TIME_SHIFT;
    let free = random & RANDOM_MASK & !VERSION_MASK & !VARIANT_MASK;
    let hex = format!("{:032x}", time | VERSION_7 | VARIANT_RFC | free);
    let text = format!(
        "{}-{}-{}-{}-{}",
        &hex[0..8],
        &hex[8..12],
        &hex[12..16],
        &hex[16..20],
        &hex[20..32]
    );
    IdempotencyKey::new(text)
}

fn parse_uuid(text: &str) -> Option<u128> {
    let hyphenated = text.len() == UUID_TEXT_LENGTH
        && text
            .bytes()
            .enumerate()
            .all(|(index, byte)| (byte == b'-') == UUID_HYPHENS.contains(&index));
    if !hyphenated {
        return None;
    }
    let hex: String = text.chars().filter(|character| *character != '-').collect();
    let all_hex = hex.bytes().all(|byte| byte.is_ascii_hexdigit());
    all_hex.then(|| u128::from_str_radix(&hex, 16).ok())?
}
