//! What callers get on simulated days, and whether the model is one.

use monsoonring_decision::policy::Policy;
use monsoonring_experiment::simulation::compare::{Variant, compare};
use monsoonring_experiment::simulation::{Day, Site, Statistics, page, run};
use test_case::test_case;

const SEEDS: u64 = 3;

fn production(site: &Site, day: &Day, figure: impl Fn(&Statistics) -> f64) -> f64 {
    compare(site, day, &Variant::all()[..1], SEEDS)[0]
        .mean(figure)
        .0
}

// A day is the same whenever it is played, or a difference between two policies would be chance.
#[test]
fn run_twice_gives_the_same_day() {
    let (site, day) = (Site::beet(), Day::failing());
    let figures = |statistics: Statistics| {
        (
            statistics.windows,
            statistics.refused,
            statistics.rejected_connections,
        )
    };
    let first = figures(run(&site, &day, Policy::default(), 7));
    let second = figures(run(&site, &day, Policy::default(), 7));
    assert_eq!(first, second);
}

// Symptom: while most servers fail half of what they work on, hardly a third of the worth is earned.
// Events: each search loses four of ten shards or so; attempts beyond a fifth of the first ones are not
// allowed.
// Cause: further attempts went to whoever failed first. Worth of the two worst windows: hydrant 0.288
// before and 0.36 after, beet 0.307 and 0.41 (eight seeds).
#[test_case(&Site::hydrant(), 0.32 ; "hydrant")]
#[test_case(&Site::beet(), 0.36 ; "beet")]
fn erring_servers_leave_answers(site: &Site, least: f64) {
    let worst = production(site, &Day::erring(), Statistics::worst_worth);
    assert!(worst >= least, "{worst:.3}");
}

// Symptom: while callers ask for a fifth more than servers can do, half of the answers are late.
// Events: four and a half times the usual callers for ten seconds.
// Cause: the limit on requests in flight shrinks by a tenth a round and grows again between: what is in
// flight waits for longer than its objective. Worth of the two worst windows 0.33 before and 0.46 after.
#[test]
fn surge_leaves_answers_in_time() {
    let site = Site::hydrant();
    let worst = production(&site, &Day::surge(), Statistics::worst_worth);
    assert!(worst >= 0.41, "{worst:.3}");
}

// The further attempts stay within what the owners of the servers allow, whoever gets them.
#[test_case(&Day::erring() ; "erring")]
#[test_case(&Day::heavy() ; "heavy")]
fn repeats_stay_within_the_owners_bound(day: &Day) {
    let site = Site::hydrant();
    let statistics = run(&site, day, Policy::default(), 11);
    // Ten seconds are five windows.
    for span in statistics.windows.windows(5) {
        let firsts: u64 = span.iter().map(|window| window.first_attempts).sum();
        let extras: u64 = span.iter().map(|window| window.extra_attempts).sum();
        let shards = site.pools[0].shards as f64;
        let allowed = 0.2 * firsts as f64 + site.slack * shards;
        assert!(extras as f64 <= allowed, "{extras} of {allowed}");
    }
}

// The choice between replicas is what a calm day rests on: at random, the two worst windows are worth
// a fifth less.
#[test]
fn random_choice_costs_a_calm_day() {
    let (site, day) = (Site::hydrant(), Day::calm());
    let series = compare(&site, &day, &Variant::all()[..2], SEEDS);
    let worst: Vec<f64> = series
        .iter()
        .map(|of| of.mean(Statistics::worst_worth).0)
        .collect();
    assert!(worst[0] > worst[1] + 0.1, "{worst:?}");
    assert!(worst[0] > 0.95, "{worst:?}");
}

// Beyond the connections that a server accepts, hosts that are all homes end in the cold.
#[test]
fn grown_hosts_within_the_limit_are_served() {
    let site = Site::grown(61);
    let statistics = run(&site, &Day::calm(), Policy::default(), 1);
    assert!(
        statistics.day().served() > 0.99,
        "{}",
        statistics.day().served()
    );
}

#[test]
fn write_report_has_its_pictures() {
    let folder = std::env::temp_dir().join(format!("monsoonring-days-{}", std::process::id()));
    let mut site = Site::beet();
    site.kinds
        .iter_mut()
        .for_each(|kind| kind.per_second /= 8.0);
    let text = page::write(&[site], 1, &folder).expect("the folder can be written");
    for picture in text.lines().filter_map(picture) {
        assert!(folder.join(picture).is_file(), "{picture}");
    }
    assert_eq!(text.matches("| production |").count(), Day::all().len());
    std::fs::remove_dir_all(&folder).expect("the folder is there");
}

fn picture(line: &str) -> Option<&str> {
    line.strip_prefix("![")?
        .split_once('(')?
        .1
        .strip_suffix(')')
}
