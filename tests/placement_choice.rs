//! Which upstream is chosen for a request, and which never.

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use primrosehoist::state::fleet::{Fleet, Lifecycle, Upstream};
use primrosehoist::state::map::Set;
use primrosehoist::state::name;
use primrosehoist::state::placement::{
    Ask, LONG_TOKENS, Policy, Refusal, choose, group, group_when_idle,
};
use primrosehoist::state::view::{Advert, Daemon, Holder, Member, View};

const MEMORY: u64 = 500_000;
const POLICIES: [Policy; 3] = [Policy::RoundRobin, Policy::LeastLoad, Policy::LongConfined];

fn upstream_name(raw: &str) -> name::Upstream {
    name::Upstream::try_from(raw).unwrap()
}

fn zone(raw: &str) -> name::Zone {
    name::Zone::try_from(raw).unwrap()
}

fn half(raw: &str) -> name::Half {
    name::Half::try_from(raw).unwrap()
}

fn service(raw: &str) -> name::Service {
    name::Service::try_from(raw).unwrap()
}

fn upstream(raw: &str, in_zone: &str) -> Upstream {
    Upstream {
        name: upstream_name(raw),
        service: service("s"),
        half: half("h"),
        zone: zone(in_zone),
        address: "127.0.0.1:1".parse().unwrap(),
        cold_requests: 2,
        warm_requests: 16,
        memory_tokens: MEMORY,
        fencing: true,
        state: Lifecycle::Live,
    }
}

fn advert(raw: &str) -> Advert {
    Advert {
        upstream: upstream_name(raw),
        epoch: 1,
        limit: 16,
        in_flight: 0,
        queued: 0,
        tokens: 0,
        long_tokens: 0,
        memory_free: MEMORY,
        prefill_rate: 20_000,
    }
}

fn member(in_zone: &str) -> Member {
    Member {
        host: name::Host::try_from(format!("host-{in_zone}")).unwrap(),
        zone: zone(in_zone),
        address: "127.0.0.1:2".to_owned(),
    }
}

fn ask(prompt_tokens: u64) -> Ask {
    Ask {
        service: service("s"),
        half: half("h"),
        zone: zone("z1"),
        prompt_tokens,
        answer_tokens: 100,
        prefix: None,
        suspect: false,
        excluded: Set::default(),
    }
}

/// A fleet with its view.
#[derive(Default)]
struct World {
    fleet: Fleet,
    view: View,
}

impl World {
    /// Two upstreams in each of three zones.
    fn new() -> Self {
        let mut world = Self::default();
        for index in 1..=6 {
            world.add(&format!("u{index}"), &format!("z{}", (index + 1) / 2));
        }
        world
    }

    fn add(&mut self, raw: &str, in_zone: &str) {
        let member = member(in_zone);
        let daemon = Daemon {
            member: member.clone(),
            version: 1,
            draining: false,
        };
        let advert = advert(raw);
        self.view.daemons.insert(member.host.clone(), daemon);
        self.view
            .holders
            .insert(upstream_name(raw), Holder { member, advert });
        self.fleet
            .upstreams
            .insert(upstream_name(raw), upstream(raw, in_zone));
    }

    fn advert(&mut self, raw: &str) -> &mut Advert {
        &mut self
            .view
            .holders
            .get_mut(&upstream_name(raw))
            .unwrap()
            .advert
    }

    fn choose(&self, ask: &Ask, dice: u64) -> Result<String, Refusal> {
        let chosen = choose(&self.fleet, &self.view, ask, Policy::LongConfined, dice)?;
        Ok(chosen.to_string())
    }

    /// Places a request and counts its tokens at the chosen upstream.
    fn place(&mut self, ask: &Ask, dice: u64) -> String {
        let chosen = self.choose(ask, dice).unwrap();
        let advert = self.advert(&chosen);
        advert.in_flight += 1;
        advert.tokens += ask.prompt_tokens;
        advert.long_tokens += ask.prompt_tokens;
        advert.memory_free -= ask.memory_tokens();
        chosen
    }
}

fn random_world(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<World> {
    let mut world = World::new();
    for index in 1..=6 {
        let raw = format!("u{index}");
        let upstream = world.fleet.upstreams.get_mut(&upstream_name(&raw)).unwrap();
        upstream.half = half(if u.ratio(1, 4)? { "g" } else { "h" });
        upstream.service = service(if u.ratio(1, 4)? { "t" } else { "s" });
        upstream.memory_tokens = u.int_in_range(0..=MEMORY)?;
        if u.ratio(1, 4)? {
            upstream.state = Lifecycle::Leaving;
        }
        let advert = world.advert(&raw);
        advert.in_flight = u.int_in_range(0..=20)?;
        advert.limit = u.int_in_range(0..=16)?;
        advert.tokens = u.arbitrary()?;
        advert.long_tokens = u.arbitrary()?;
        advert.memory_free = u.int_in_range(0..=MEMORY)?;
        advert.prefill_rate = u.int_in_range(0..=100_000)?;
        if u.ratio(1, 4)? {
            world.view.holders.remove(&upstream_name(&raw));
        }
    }
    for index in 1..=3 {
        let raw = format!("z{index}");
        if u.ratio(1, 4)? {
            world.fleet.zones_out.insert(zone(&raw));
        }
        let host = member(&raw).host;
        world.view.daemons.get_mut(&host).unwrap().draining = u.ratio(1, 4)?;
    }
    Ok(world)
}

/// The rules that hold for every choice, written down once more and plainly.
fn is_allowed(world: &World, ask: &Ask, raw: &name::Upstream) -> bool {
    let upstream = &world.fleet.upstreams[raw];
    let Some(holder) = world.view.holders.get(raw) else {
        return false;
    };
    upstream.half == ask.half
        && upstream.service == ask.service
        && upstream.state == Lifecycle::Live
        && !world.fleet.zones_out.contains(&upstream.zone)
        && !world.view.daemons[&holder.member.host].draining
        && !ask.excluded.contains(raw)
}

#[test]
fn no_choice_breaks_a_rule_and_none_is_missed() {
    arbtest(|u| {
        let world = random_world(u)?;
        let mut ask = ask(u.int_in_range(0..=MEMORY)?);
        ask.suspect = u.ratio(1, 4)?;
        ask.prefix = u.arbitrary()?;
        ask.excluded
            .insert(upstream_name(&format!("u{}", u.int_in_range(1..=6)?)));
        let dice = u.arbitrary()?;
        for policy in POLICIES {
            let allowed: Vec<&Upstream> = world
                .fleet
                .upstreams
                .values()
                .filter(|up| is_allowed(&world, &ask, &up.name))
                .collect();
            let fits =
                |up: &&Upstream| up.memory_tokens == 0 || ask.memory_tokens() <= up.memory_tokens;
            let free =
                |up: &&Upstream| !ask.suspect || world.view.holders[&up.name].advert.in_flight == 0;
            match choose(&world.fleet, &world.view, &ask, policy, dice) {
                Ok(raw) => {
                    assert!(
                        allowed
                            .iter()
                            .filter(|up| fits(up) && free(up))
                            .any(|up| up.name == raw)
                    );
                }
                Err(Refusal::Unavailable) => assert!(allowed.is_empty()),
                Err(Refusal::TooLong) => assert!(!allowed.iter().any(fits)),
                Err(Refusal::Busy) => assert!(!allowed.iter().any(|up| fits(up) && free(up))),
            }
        }
        Ok(())
    })
    .budget_ms(1_000);
}

#[test]
fn a_group_can_hold_the_request_in_equal_parts() {
    arbtest(|u| {
        let world = random_world(u)?;
        let ask = ask(u.int_in_range(0..=3 * MEMORY)?);
        let Ok(names) = group(&world.fleet, &world.view, &ask) else {
            return Ok(());
        };
        let part = ask.prompt_tokens.div_ceil(names.len() as u64) + ask.answer_tokens;
        assert!(names.is_sorted() && !names.is_empty());
        for raw in &names {
            assert!(is_allowed(&world, &ask, raw));
            assert!(world.view.holders[raw].advert.memory_free >= part);
        }
        Ok(())
    })
    .budget_ms(500);
}

#[test]
fn a_prompt_of_twice_the_memory_needs_a_group() {
    let mut world = World::new();
    let huge = ask(MEMORY * 2 + MEMORY / 5);
    assert_eq!(world.choose(&huge, 0), Err(Refusal::TooLong));
    assert_eq!(group(&world.fleet, &world.view, &huge).unwrap().len(), 3);
    for index in 1..=5 {
        world.advert(&format!("u{index}")).memory_free = MEMORY / 10;
    }
    assert_eq!(group(&world.fleet, &world.view, &huge), Err(Refusal::Busy));
    let idle = group_when_idle(&world.fleet, &world.view, &huge).unwrap();
    assert!(idle.len() == 3 && idle.is_sorted());
    let beyond = ask(MEMORY * 5);
    assert_eq!(
        group_when_idle(&world.fleet, &world.view, &beyond),
        Err(Refusal::TooLong)
    );
    assert_eq!(
        group(&world.fleet, &world.view, &beyond),
        Err(Refusal::TooLong)
    );
}

#[test]
fn short_prompts_stay_in_their_zone_until_another_saves_enough() {
    let mut world = World::new();
    for dice in 0..10 {
        assert!(["u1", "u2"].contains(&world.choose(&ask(1_000), dice).unwrap().as_str()));
    }
    for raw in ["u1", "u2"] {
        world.advert(raw).tokens = 20_000;
    }
    for dice in 0..10 {
        assert!(!["u1", "u2"].contains(&world.choose(&ask(1_000), dice).unwrap().as_str()));
    }
}

#[test]
fn short_prompts_avoid_long_ones() {
    let mut world = World::new();
    world.advert("u1").tokens = 200_000;
    world.advert("u1").long_tokens = 200_000;
    for dice in 0..10 {
        assert_eq!(world.choose(&ask(1_000), dice).unwrap(), "u2");
    }
}

#[test]
fn equal_upstreams_share_short_prompts() {
    let world = World::new();
    let chosen: Set<String> = (0..10)
        .map(|dice| world.choose(&ask(1_000), dice).unwrap())
        .collect();
    assert_eq!(chosen.len(), 2);
}

#[test]
fn a_prefix_returns_to_its_upstream_unless_that_is_loaded() {
    let mut world = World::new();
    let mut asked = ask(1_000);
    asked.prefix = Some(42);
    let home = world.choose(&asked, 0).unwrap();
    assert!((1..10).all(|dice| world.choose(&asked, dice).unwrap() == home));
    world.advert(&home).tokens = 20_000;
    assert_ne!(world.choose(&asked, 0).unwrap(), home);
}

#[test]
fn long_prompts_open_as_few_upstreams_as_they_need() {
    let mut world = World::new();
    let long = ask(LONG_TOKENS);
    let mut opened: Vec<usize> = Vec::new();
    let mut used: Set<String> = Set::default();
    for dice in 0..90 {
        used.insert(world.place(&long, dice));
        opened.push(used.len());
    }
    // Ten seconds of prefill at 20,000 tokens per second hold 13 such prompts; the limit of 16
    // requests is not reached before.
    assert_eq!(
        (opened[0], opened[12], opened[13], opened[27]),
        (1, 1, 2, 3)
    );
    // A part of the upstreams stays free of long prompts at any load.
    assert_eq!(opened[89], 5);
}

#[test]
fn a_long_prompt_skips_an_upstream_without_free_memory() {
    let mut world = World::new();
    let long = ask(100_000);
    let first = world.choose(&long, 0).unwrap();
    world.advert(&first).memory_free = 50_000;
    assert_ne!(world.choose(&long, 0).unwrap(), first);
    world.advert(&first).memory_free = MEMORY;
    assert_eq!(world.choose(&long, 1).unwrap(), first);
}

#[test]
fn the_baselines_do_as_named() {
    let mut world = World::new();
    let run = |world: &World, policy, dice| {
        choose(&world.fleet, &world.view, &ask(1_000), policy, dice).unwrap()
    };
    let turns: Set<name::Upstream> = (0..6)
        .map(|dice| run(&world, Policy::RoundRobin, dice))
        .collect();
    assert_eq!(turns.len(), 6);
    for index in 1..=5 {
        world.advert(&format!("u{index}")).in_flight = 3;
    }
    assert_eq!(run(&world, Policy::LeastLoad, 7).as_str(), "u6");
    assert!("long_confined".parse::<Policy>() == Ok(Policy::LongConfined));
}
