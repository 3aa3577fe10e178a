//! Flap damping: a VM that fails repeatedly is held back longer after each return.

/// Times for flap damping.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Damping {
    /// How long a VM is held back after its second counted failure; doubles with each further one.
    pub hold_ms: u64,
    /// Maximum time to hold a VM back.
    pub max_hold_ms: u64,
    /// Earlier failures are no longer counted after the VM was up for this long.
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

/// The failures of one VM. After a single failure the VM is used again at once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FlapHistory {
    failures: u32,
    is_down: bool,
    up_since_ms: u64,
}

impl FlapHistory {
    /// Records whether the VM is up now.
    pub fn record(&mut self, up: bool, damping: &Damping, now_ms: u64) {
        if up && self.is_down {
            self.up_since_ms = now_ms;
        }
        if up && self.up_for_ms(now_ms) >= damping.forget_after_ms {
            self.failures = 0;
        }
        if !up && !self.is_down {
            self.failures = self.failures.saturating_add(1);
        }
        self.is_down = !up;
    }

    /// Whether the VM is up and not held back.
    pub fn is_usable(&self, damping: &Damping, now_ms: u64) -> bool {
        !self.is_down && self.up_for_ms(now_ms) >= self.hold_ms(damping)
    }

    /// How long the VM has to stay up before it is used again.
    pub fn hold_ms(&self, damping: &Damping) -> u64 {
        const MAX_DOUBLINGS: u32 = 20;
        if self.failures < 2 {
            return 0;
        }
        let doublings = (self.failures - 2).min(MAX_DOUBLINGS);
        (damping.hold_ms << doublings).min(damping.max_hold_ms)
    }

    fn up_for_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.up_since_ms)
    }
}
