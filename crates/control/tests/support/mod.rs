//! Shared builders, simulated table and bounded search of the tests.
#![allow(dead_code, reason = "each test file uses a part of the shared support")]

pub mod faulty;
pub mod mesh;
pub mod orders;
pub mod records;
pub mod search;
pub mod table;

use {
    control::{Command, Context, Identity, MemberSettings, Members, OwnState},
    rand_chacha::{ChaCha8Rng, rand_core::SeedableRng},
    std::{
        sync::Arc,
        time::{Duration, SystemTime},
    },
    types::{Heartbeat, Listing, ListingRole},
};

pub fn context(seed: u64) -> Context {
    let wall = SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000);
    Context::new(ChaCha8Rng::seed_from_u64(seed), wall)
}

pub fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

pub fn identity(name: &str, incarnation: u64) -> Identity {
    Identity {
        address: "127.0.0.1:1000".parse().unwrap(),
        failure_domain: "a".into(),
        incarnation,
        instance: name.into(),
        peer_address: "127.0.0.1:2000".parse().unwrap(),
        region: "r".into(),
    }
}

pub fn peer_listing(name: &str) -> Listing {
    Listing {
        address: "127.0.0.1:1000".parse().unwrap(),
        failure_domain: "a".into(),
        id: name.into(),
        incarnation: 1,
        leaving: false,
        region: "r".into(),
        role: ListingRole::Entry {
            peer_address: "127.0.0.1:2000".parse().unwrap(),
        },
    }
}

pub fn engine_listing(name: &str, domain: &str) -> Listing {
    Listing {
        failure_domain: domain.into(),
        role: ListingRole::Engine {
            accelerator: "x".into(),
            checks_fence: false,
        },
        ..peer_listing(name)
    }
}

pub fn heartbeat(name: &str) -> Heartbeat {
    Heartbeat {
        config_version: 0,
        confirmed_age_ms: 0,
        crashes: Vec::new(),
        demands: Vec::new(),
        departures: Vec::new(),
        digests: Vec::new(),
        incarnation: 1,
        leaving: false,
        ready: true,
        sender: name.into(),
        spare_count: 10,
    }
}

/// Members that `own` sees at time zero: the listed peers, of which those in `heard` are live.
pub fn members(own: &str, listed: &[&str], heard: &[&str]) -> Members {
    let mut context = context(0);
    let mut members = Members::new(identity(own, 1), MemberSettings::default());
    let listings = listed.iter().map(|name| peer_listing(name)).collect();
    members.listing_read(&mut context, listings);
    for name in heard {
        members.heartbeat_received(&mut context, &heartbeat(name));
    }
    members
}

/// Ticks every 50 ms up to `until`, with a call of `before_tick` before each tick.
pub fn run(
    members: &mut Members,
    context: &mut Context,
    until: Duration,
    mut before_tick: impl FnMut(&mut Members, &mut Context),
) -> Vec<Command> {
    let mut commands = Vec::new();
    while context.now < until {
        context.now += ms(50);
        before_tick(members, context);
        members.tick(context, &OwnState::default());
        commands.append(&mut context.commands);
    }
    commands
}

pub fn text(value: &str) -> Arc<str> {
    value.into()
}
