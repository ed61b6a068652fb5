use super::*;

/// Unit in which ages are sent.
const UNIT: Duration = Duration::from_millis(20);

/// Time since a sign of activity or a departure, as sent between instances: in units of 20 ms, rounded up, so that
/// passing it on never makes it younger. The highest value stands for all longer times.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SignAge(u8);

impl SignAge {
    /// Age of a sign of activity that the sender itself gives.
    pub const ZERO: Self = Self(0);
    /// Age of a sign that is too old to count.
    pub const MAX: Self = Self(u8::MAX);

    /// Time that this age stands for, which is not shorter than the actual one except for `MAX`.
    #[must_use]
    pub fn duration(self) -> Duration {
        UNIT * u32::from(self.0)
    }
}

impl From<Duration> for SignAge {
    fn from(age: Duration) -> Self {
        let units = age.as_nanos().div_ceil(UNIT.as_nanos());
        Self(u8::try_from(units).unwrap_or(u8::MAX))
    }
}
