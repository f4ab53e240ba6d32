use curranttrestle::coordination::gateway::endpoint_load::EndpointKey;
use curranttrestle::coordination::gateway::prompt_cache::{
    MAX_LOGGED_USES, PromptUse, PromptUseLog,
};

use super::support::at;

/// A relay that sent no sums kept the uses of its members for good.
#[test]
fn uses_that_are_never_sent_do_not_fill_the_memory() {
    let mut log = PromptUseLog::default();
    let prompt_use = PromptUse {
        endpoint: EndpointKey::of(&"engine".into()),
        chains: vec![1, 2],
        added_tokens: 3,
    };
    for _ in 0..MAX_LOGGED_USES + 100 {
        log.push(prompt_use.clone(), at(0));
    }
    let batch = log.batch(1_000, at(0));
    assert_eq!(batch.uses.len(), MAX_LOGGED_USES);
    assert_eq!(batch.first, 100);
}

#[test]
fn batch_has_the_uses_of_its_time_with_their_numbers() {
    let mut log = PromptUseLog::default();
    for number in 0..5 {
        let prompt_use = PromptUse {
            endpoint: EndpointKey::of(&"engine".into()),
            chains: vec![number],
            added_tokens: 0,
        };
        log.push(prompt_use, at(u64::from(number) * 100));
    }
    log.remove_older(300, at(400));
    let batch = log.batch(150, at(400));
    assert_eq!((batch.first, batch.uses.len()), (3, 2));
    assert_eq!(batch.uses[0].chains, [3]);
    assert_eq!(log.batch(1_000, at(400)).first, 1);
}
