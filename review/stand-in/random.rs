//! Seeded random numbers (SplitMix64).

use std::sync::Mutex;

pub struct Random(Mutex<u64>);

impl Random {
    /// Creates a generator. The seed is the environment variable `SEED`, 1 by default, and `name`.
    pub fn new(name: &str) -> Self {
        let seed = std::env::var("SEED")
            .ok()
            .and_then(|text| text.parse::<u64>().ok());
        Self(Mutex::new(
            seed.unwrap_or(1) ^ crate::backend::hash(name.as_bytes()),
        ))
    }

    /// Returns `true` with this probability.
    pub fn is_hit(&self, share: f64) -> bool {
        share > 0.0 && (self.next() >> 11) as f64 / (1_u64 << 53) as f64 <= share
    }

    fn next(&self) -> u64 {
        let mut state = self.0.lock().expect("no thread panics");
        *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut value = *state;
        value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        value ^ (value >> 31)
    }
}
