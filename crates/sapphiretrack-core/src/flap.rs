//! Flap damping: what goes down again and again is used later after each return.

/// Times that rule the damping.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Damping {
    /// How long the second return within the memory is held back; it doubles with each more.
    pub hold_ms: u64,
    /// The longest hold.
    pub max_hold_ms: u64,
    /// Downs are forgotten after so long a time up.
    pub forget_after_ms: u64,
}

impl Default for Damping {
    fn default() -> Self {
        Self {
            hold_ms: 2_000,
            max_hold_ms: 30_000,
            forget_after_ms: 60_000,
        }
    }
}

/// The ups and downs of one VM. A single down costs nothing beyond itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Flaps {
    downs: u32,
    down: bool,
    up_since_ms: u64,
}

impl Flaps {
    /// Takes in whether the VM is up now.
    pub fn note(&mut self, up: bool, damping: &Damping, now_ms: u64) {
        if up && self.down {
            self.up_since_ms = now_ms;
        }
        if up && self.up_for_ms(now_ms) >= damping.forget_after_ms {
            self.downs = 0;
        }
        if !up && !self.down {
            self.downs = self.downs.saturating_add(1);
        }
        self.down = !up;
    }

    /// Whether the VM is up and no longer held back.
    pub fn is_usable(&self, damping: &Damping, now_ms: u64) -> bool {
        !self.down && self.up_for_ms(now_ms) >= self.hold_ms(damping)
    }

    /// How long the VM has to stay up before it is used again.
    pub fn hold_ms(&self, damping: &Damping) -> u64 {
        const MAX_DOUBLINGS: u32 = 20;
        if self.downs < 2 {
            return 0;
        }
        let doublings = (self.downs - 2).min(MAX_DOUBLINGS);
        (damping.hold_ms << doublings).min(damping.max_hold_ms)
    }

    fn up_for_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.up_since_ms)
    }
}
