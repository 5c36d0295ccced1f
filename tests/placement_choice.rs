//! Tests of which upstreams are chosen for a request and which are never chosen.

use primrosehoist::state::fleet::{Fleet, Lifecycle, Upstream};
use primrosehoist::state::map::Set;
use primrosehoist::state::name;
use primrosehoist::state::placement::{
    LONG_TOKENS, Policy, Refusal, Request, choose, choose_group, choose_group_by_capacity,
};
use primrosehoist::state::view::{Advert, Daemon, Holder, Member, View};
use primrosehoist_property::arbitrary::{self, Unstructured};
use primrosehoist_property::check;

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

fn request(prompt_tokens: u64) -> Request {
    Request {
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

/// A fleet and a view of it.
#[derive(Default)]
struct Cluster {
    fleet: Fleet,
    view: View,
}

impl Cluster {
    /// Creates a cluster with two upstreams in each of three zones.
    fn new() -> Self {
        let mut cluster = Self::default();
        for index in 1..=6 {
            cluster.add(&format!("u{index}"), &format!("z{}", (index + 1) / 2));
        }
        cluster
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

    fn choose(&self, request: &Request, random: u64) -> Result<String, Refusal> {
        let chosen = choose(
            &self.fleet,
            &self.view,
            request,
            Policy::LongConfined,
            random,
        )?;
        Ok(chosen.to_string())
    }

    /// Places a request and adds its load to the chosen upstream.
    fn place(&mut self, request: &Request, random: u64) -> String {
        let chosen = self.choose(request, random).unwrap();
        let advert = self.advert(&chosen);
        advert.in_flight += 1;
        advert.tokens += request.prompt_tokens;
        advert.long_tokens += request.prompt_tokens;
        advert.memory_free -= request.memory_tokens();
        chosen
    }
}

fn random_cluster(u: &mut Unstructured<'_>) -> arbitrary::Result<Cluster> {
    let mut cluster = Cluster::new();
    for index in 1..=6 {
        let raw = format!("u{index}");
        let upstream = cluster
            .fleet
            .upstreams
            .get_mut(&upstream_name(&raw))
            .unwrap();
        upstream.half = half(if u.ratio(1, 4)? { "g" } else { "h" });
        upstream.service = service(if u.ratio(1, 4)? { "t" } else { "s" });
        upstream.memory_tokens = u.int_in_range(0..=MEMORY)?;
        if u.ratio(1, 4)? {
            upstream.state = Lifecycle::Leaving;
        }
        let advert = cluster.advert(&raw);
        advert.in_flight = u.int_in_range(0..=20)?;
        advert.limit = u.int_in_range(0..=16)?;
        advert.tokens = u.arbitrary()?;
        advert.long_tokens = u.arbitrary()?;
        advert.memory_free = u.int_in_range(0..=MEMORY)?;
        advert.prefill_rate = u.int_in_range(0..=100_000)?;
        if u.ratio(1, 4)? {
            cluster.view.holders.remove(&upstream_name(&raw));
        }
    }
    for index in 1..=3 {
        let raw = format!("z{index}");
        if u.ratio(1, 4)? {
            cluster.fleet.zones_out.insert(zone(&raw));
        }
        let host = member(&raw).host;
        cluster.view.daemons.get_mut(&host).unwrap().draining = u.ratio(1, 4)?;
    }
    Ok(cluster)
}

/// An independent, straightforward implementation of the rules that hold for every choice.
fn is_allowed(cluster: &Cluster, request: &Request, raw: &name::Upstream) -> bool {
    let upstream = &cluster.fleet.upstreams[raw];
    let Some(holder) = cluster.view.holders.get(raw) else {
        return false;
    };
    upstream.half == request.half
        && upstream.service == request.service
        && upstream.state == Lifecycle::Live
        && !cluster.fleet.zones_out.contains(&upstream.zone)
        && !cluster.view.daemons[&holder.member.host].draining
        && !request.excluded.contains(raw)
}

#[test]
fn choices_follow_the_rules_and_refusals_are_justified() {
    check(14_000, |u| {
        let cluster = random_cluster(u)?;
        let mut request = request(u.int_in_range(0..=MEMORY)?);
        request.suspect = u.ratio(1, 4)?;
        request.prefix = u.arbitrary()?;
        request
            .excluded
            .insert(upstream_name(&format!("u{}", u.int_in_range(1..=6)?)));
        let random = u.arbitrary()?;
        for policy in POLICIES {
            let allowed: Vec<&Upstream> = cluster
                .fleet
                .upstreams
                .values()
                .filter(|up| is_allowed(&cluster, &request, &up.name))
                .collect();
            let fits = |up: &&Upstream| {
                up.memory_tokens == 0 || request.memory_tokens() <= up.memory_tokens
            };
            let free = |up: &&Upstream| {
                !request.suspect || cluster.view.holders[&up.name].advert.in_flight == 0
            };
            match choose(&cluster.fleet, &cluster.view, &request, policy, random) {
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
    });
}

#[test]
fn waits_beyond_the_longest_duration_do_not_panic() {
    for short in [true, false] {
        let mut cluster = Cluster::new();
        for index in 1..=6 {
            let advert = cluster.advert(&format!("u{index}"));
            advert.prefill_rate = 1;
            advert.in_flight = u32::MAX;
            advert.tokens = u64::MAX;
            advert.long_tokens = u64::MAX;
        }
        let idle = cluster.advert("u5");
        (idle.in_flight, idle.tokens, idle.long_tokens) = (0, 0, 0);
        let tokens = if short { 1_000 } else { LONG_TOKENS };
        let chosen = cluster.choose(&request(tokens), 0);
        assert_eq!(chosen.as_deref(), Ok("u5"), "{tokens} tokens");
    }
}

#[test]
fn a_group_holds_the_request_in_equal_parts() {
    check(5_500, |u| {
        let cluster = random_cluster(u)?;
        let request = request(u.int_in_range(0..=3 * MEMORY)?);
        let Ok(names) = choose_group(&cluster.fleet, &cluster.view, &request) else {
            return Ok(());
        };
        let part = request.prompt_tokens.div_ceil(names.len() as u64) + request.answer_tokens;
        assert!(names.is_sorted() && !names.is_empty());
        for raw in &names {
            assert!(is_allowed(&cluster, &request, raw));
            assert!(cluster.view.holders[raw].advert.memory_free >= part);
        }
        Ok(())
    });
}

#[test]
fn a_prompt_larger_than_one_upstream_needs_a_group() {
    let mut cluster = Cluster::new();
    let huge = request(MEMORY * 2 + MEMORY / 5);
    assert_eq!(cluster.choose(&huge, 0), Err(Refusal::TooLong));
    assert_eq!(
        choose_group(&cluster.fleet, &cluster.view, &huge)
            .unwrap()
            .len(),
        3
    );
    for index in 1..=5 {
        cluster.advert(&format!("u{index}")).memory_free = MEMORY / 10;
    }
    assert_eq!(
        choose_group(&cluster.fleet, &cluster.view, &huge),
        Err(Refusal::Busy)
    );
    let idle = choose_group_by_capacity(&cluster.fleet, &cluster.view, &huge).unwrap();
    assert!(idle.len() == 3 && idle.is_sorted());
    let beyond = request(MEMORY * 5);
    assert_eq!(
        choose_group_by_capacity(&cluster.fleet, &cluster.view, &beyond),
        Err(Refusal::TooLong)
    );
    assert_eq!(
        choose_group(&cluster.fleet, &cluster.view, &beyond),
        Err(Refusal::TooLong)
    );
}

#[test]
fn short_prompts_stay_in_their_zone_unless_another_zone_is_much_faster() {
    let mut cluster = Cluster::new();
    for random in 0..10 {
        assert!(["u1", "u2"].contains(&cluster.choose(&request(1_000), random).unwrap().as_str()));
    }
    for raw in ["u1", "u2"] {
        cluster.advert(raw).tokens = 20_000;
    }
    for random in 0..10 {
        assert!(!["u1", "u2"].contains(&cluster.choose(&request(1_000), random).unwrap().as_str()));
    }
}

#[test]
fn short_prompts_avoid_upstreams_with_long_ones() {
    let mut cluster = Cluster::new();
    cluster.advert("u1").tokens = 200_000;
    cluster.advert("u1").long_tokens = 200_000;
    for random in 0..10 {
        assert_eq!(cluster.choose(&request(1_000), random).unwrap(), "u2");
    }
}

#[test]
fn equal_upstreams_share_short_prompts() {
    let cluster = Cluster::new();
    let chosen: Set<String> = (0..10)
        .map(|random| cluster.choose(&request(1_000), random).unwrap())
        .collect();
    assert_eq!(chosen.len(), 2);
}

#[test]
fn a_prefix_sticks_to_its_upstream_unless_that_is_loaded() {
    let mut cluster = Cluster::new();
    let mut request_with_prefix = request(1_000);
    request_with_prefix.prefix = Some(42);
    let home = cluster.choose(&request_with_prefix, 0).unwrap();
    assert!((1..10).all(|random| cluster.choose(&request_with_prefix, random).unwrap() == home));
    cluster.advert(&home).tokens = 20_000;
    assert_ne!(cluster.choose(&request_with_prefix, 0).unwrap(), home);
}

#[test]
fn long_prompts_use_as_few_upstreams_as_needed() {
    let mut cluster = Cluster::new();
    let long = request(LONG_TOKENS);
    let mut used_counts: Vec<usize> = Vec::new();
    let mut used: Set<String> = Set::default();
    for random in 0..90 {
        used.insert(cluster.place(&long, random));
        used_counts.push(used.len());
    }
    // Ten seconds of prefill at 20,000 tokens per second cover 13 such prompts, so the limit of 16
    // requests is not reached first.
    assert_eq!(
        (
            used_counts[0],
            used_counts[12],
            used_counts[13],
            used_counts[27]
        ),
        (1, 1, 2, 3)
    );
    // Some upstreams stay free of long prompts at any load.
    assert_eq!(used_counts[89], 5);
}

#[test]
fn a_long_prompt_skips_an_upstream_without_free_memory() {
    let mut cluster = Cluster::new();
    let long = request(100_000);
    let first = cluster.choose(&long, 0).unwrap();
    cluster.advert(&first).memory_free = 50_000;
    assert_ne!(cluster.choose(&long, 0).unwrap(), first);
    cluster.advert(&first).memory_free = MEMORY;
    assert_eq!(cluster.choose(&long, 1).unwrap(), first);
}

#[test]
fn round_robin_and_least_load_behave_as_named() {
    let mut cluster = Cluster::new();
    let run = |cluster: &Cluster, policy, random| {
        choose(
            &cluster.fleet,
            &cluster.view,
            &request(1_000),
            policy,
            random,
        )
        .unwrap()
    };
    let turns: Set<name::Upstream> = (0..6)
        .map(|random| run(&cluster, Policy::RoundRobin, random))
        .collect();
    assert_eq!(turns.len(), 6);
    for index in 1..=5 {
        cluster.advert(&format!("u{index}")).in_flight = 3;
    }
    assert_eq!(run(&cluster, Policy::LeastLoad, 7).as_str(), "u6");
    assert!("long_confined".parse::<Policy>() == Ok(Policy::LongConfined));
}
