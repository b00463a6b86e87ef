//! The loads that are played.

/// From when on requests count; before, no totals are known.
const TOTALS_KNOWN_MICROS: u64 = 4_000_000;
/// When the load shifts, in microseconds.
const SHIFT_MICROS: (u64, u64) = (20_000_000, 28_000_000);

/// The load that is played.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Number of routers, which are divided among three data centres.
    pub routers: usize,
    /// Number of upstreams, which are divided among the same data centres.
    pub upstreams: usize,
    /// Requests per second; the rate changes every two seconds.
    pub per_second: (f64, f64),
    /// How long an upstream works on a request on average, in milliseconds.
    pub work_ms: f64,
    /// How long all work takes relative to the usual.
    pub slowdown: f64,
    /// How long work takes at the first upstream relative to the others.
    pub first_slowdown: f64,
    /// Whether upstreams are slow at times.
    pub has_slow_phases: bool,
    /// One-way latency within a data centre and between two, in microseconds.
    pub latency_micros: (u64, u64),
    /// Whether one upstream is lost.
    pub loses_one: bool,
    /// Requests in addition to the usual ones.
    pub burst: Option<Burst>,
    /// When the upstreams of the second data centre are drained, in microseconds.
    pub drain_micros: Option<(u64, u64)>,
    /// From when on requests count, in microseconds.
    pub counted_from_micros: u64,
}

/// Requests in addition to the usual ones.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// When, in microseconds.
    pub micros: (u64, u64),
    /// Requests per second.
    pub per_second: f64,
    /// Whether only the routers of the first data centre receive them.
    pub is_local: bool,
}

/// The load of three upstreams behind 88 routers.
pub const USUAL: Load = Load {
    routers: 88,
    upstreams: 3,
    per_second: (60.0, 120.0),
    work_ms: 30.0,
    slowdown: 1.0,
    first_slowdown: 1.0,
    has_slow_phases: true,
    latency_micros: (300, 3_500),
    loses_one: false,
    burst: None,
    drain_micros: None,
    counted_from_micros: TOTALS_KNOWN_MICROS,
};

/// The load of six upstreams behind 65 routers, of which the first requests count, too.
pub const BUSY: Load = Load {
    routers: 65,
    upstreams: 6,
    per_second: (200.0, 260.0),
    work_ms: 60.0,
    has_slow_phases: false,
    latency_micros: (200, 500),
    counted_from_micros: 0,
    ..USUAL
};

const BURST: Burst = Burst { micros: SHIFT_MICROS, per_second: 230.0, is_local: false };

/// The loads that were compared.
pub const LOADS: [(&str, Load); 7] = [
    ("88 routers", USUAL),
    ("88, two upstreams", Load { upstreams: 2, ..USUAL }),
    ("88, one of three lost", Load { loses_one: true, ..USUAL }),
    ("88, all 1.5 times as slow", Load { slowdown: 1.5, ..USUAL }),
    ("88, one always 3 times as slow", Load { first_slowdown: 3.0, ..USUAL }),
    ("88, four times the demand", Load { per_second: (240.0, 480.0), ..USUAL }),
    ("9 routers", Load { routers: 9, ..USUAL }),
];

/// Loads that take upstreams close to the load limit.
pub const SHIFTS: [(&str, Load); 7] = [
    ("usual", BUSY),
    ("twice the demand", Load { burst: Some(BURST), ..BUSY }),
    (
        "twice the demand from the start",
        Load { burst: Some(Burst { micros: (0, 6_000_000), ..BURST }), ..BUSY },
    ),
    ("twice the demand, in one data centre", Load { burst: Some(Burst { is_local: true, ..BURST }), ..BUSY }),
    ("a data centre drained", Load { drain_micros: Some(SHIFT_MICROS), ..BUSY }),
    ("a data centre drained, 1.4 times the demand", DRAINED_IN_BURST),
    ("upstreams slow at times", SLOW_AT_TIMES),
];

/// The upstreams that are not drained are used to 0.9.
pub const DRAINED_IN_BURST: Load =
    Load { drain_micros: Some(SHIFT_MICROS), burst: Some(Burst { per_second: 100.0, ..BURST }), ..BUSY };

/// A slow upstream cannot serve its share of the requests.
pub const SLOW_AT_TIMES: Load = Load { has_slow_phases: true, ..BUSY };
