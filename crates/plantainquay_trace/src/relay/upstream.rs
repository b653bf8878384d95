//! An upstream that returns what it doesn't hold.

use std::collections::BTreeSet;

use super::codec::Wire;

/// What an upstream holds; a restart empties it.
#[derive(Debug, Default)]
pub(super) struct Upstream {
    pub(super) is_down: bool,
    pub(super) refuses: bool,
    pub(super) life: u16,
    half_open: BTreeSet<u16>,
    open: BTreeSet<u16>,
}

/// What an upstream does with a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reaction {
    Accept,
    Answer,
    Return,
    Silence,
}

impl Upstream {
    pub(super) fn take(&mut self, own: u16, packet: Wire) -> Reaction {
        if self.is_down {
            return Reaction::Silence;
        }
        if packet.is_opening() {
            return self.accept(packet.flow);
        }
        if self.half_open.contains(&packet.flow)
            && (packet.upstream, packet.life) == (own, self.life)
        {
            self.half_open.remove(&packet.flow);
            self.open.insert(packet.flow);
        }
        if self.open.contains(&packet.flow) {
            Reaction::Answer
        } else {
            Reaction::Return
        }
    }

    pub(super) fn holds(&self, flow: u16) -> bool {
        !self.is_down && self.open.contains(&flow)
    }

    pub(super) fn crash(&mut self) {
        self.life += 1;
        self.half_open.clear();
        self.open.clear();
    }

    fn accept(&mut self, flow: u16) -> Reaction {
        if self.refuses {
            return Reaction::Return;
        }
        if !self.open.contains(&flow) {
            self.half_open.insert(flow);
        }
        Reaction::Accept
    }
}
