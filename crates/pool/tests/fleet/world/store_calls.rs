//! Simulation of the proxies' calls to the store.

use super::*;

impl World {
    pub(super) fn store_received(
        &mut self,
        proxy: usize,
        incarnation: u64,
        call: StoreCall,
        sent_us: u64,
    ) {
        if self.is_store_down || self.cut_store[proxy] {
            return;
        }
        self.store.expire(self.now_us);
        match self.store.call(&call, self.now_us) {
            Some(outcome) => {
                self.answer_store(proxy, incarnation, call, sent_us, outcome, LATENCY_US)
            }
            None => {
                let StoreCall::Watch { after_revision, wait_ms } = call else { return };
                let until_us = self.now_us + u64::from(wait_ms) * 1000;
                self.store.watches.push(Watch { proxy, call, sent_us, after_revision, until_us });
            }
        }
        self.answer_watches();
    }

    pub(super) fn answer_watches(&mut self) {
        let watches = core::mem::take(&mut self.store.watches);
        for watch in watches {
            if self.cut_store[watch.proxy] {
                continue;
            }
            let outcome = match self.store.changes(watch.after_revision) {
                None if self.now_us >= watch.until_us => {
                    Some(StoreOutcome::Changes { items: Vec::new(), as_of: self.store.revision() })
                }
                outcome => outcome,
            };
            let incarnation = self.proxies[watch.proxy].incarnation;
            match outcome {
                Some(outcome) => self.answer_store(
                    watch.proxy,
                    incarnation,
                    watch.call,
                    watch.sent_us,
                    outcome,
                    LATENCY_US,
                ),
                None => self.store.watches.push(watch),
            }
        }
    }

    pub(super) fn answer_store(
        &mut self,
        index: usize,
        incarnation: u64,
        call: StoreCall,
        sent_us: u64,
        outcome: StoreOutcome,
        delay_us: u64,
    ) {
        if !self.is_alive(index, incarnation) {
            return;
        }
        let calls = &mut self.proxies[index].calls;
        let Some(found) = calls.iter().position(|row| *row == (call.clone(), sent_us)) else {
            return;
        };
        calls.remove(found);
        let event =
            Box::new(ControlEvent::Store(Box::new(StoreResponse { call, sent_us, outcome })));
        self.schedule(delay_us, Scheduled::ToProxy { proxy: index, incarnation, event });
    }
}
