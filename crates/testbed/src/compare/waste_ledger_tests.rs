//! Tests of the accounts of recomputed tokens.

use ryerouter_core::prompt::BlockHash;

use super::waste_ledger::WasteLedger;

const BLOCK: BlockHash = BlockHash(1);

#[test]
fn recomputation_is_sorted_by_cause() {
    let mut ledger = WasteLedger::default();
    ledger.computed(BLOCK, 10, true);
    ledger.stored(BLOCK);
    ledger.computed(BLOCK, 10, true);
    ledger.stored(BLOCK);
    ledger.evicted(BLOCK);
    ledger.evicted(BLOCK);
    ledger.computed(BLOCK, 10, true);
    ledger.stored(BLOCK);
    ledger.crashed(BLOCK);
    ledger.computed(BLOCK, 10, true);
    let tokens = ledger.tokens();
    assert_eq!(tokens.first, 10);
    assert_eq!(tokens.cached_elsewhere, 10);
    assert_eq!(tokens.evicted, 10);
    assert_eq!(tokens.crashed, 10);
    assert_eq!(tokens.wasted(), 30);
}

#[test]
fn warm_up_is_followed_but_not_counted() {
    let mut ledger = WasteLedger::default();
    ledger.computed(BLOCK, 10, false);
    ledger.stored(BLOCK);
    ledger.computed(BLOCK, 10, true);
    assert_eq!(ledger.tokens().first, 0);
    assert_eq!(ledger.tokens().cached_elsewhere, 10);
}
