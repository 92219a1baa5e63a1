//! What single decisions cost against the members, the backend servers and the records, without
//! sockets and tasks.
//!
//! `cargo run --release --example decisions`. Times are medians of several rounds in one thread;
//! memory is the growth of this process's resident memory over many equal tables.

use monsoonring_configuration::document::Capacity;
use monsoonring_configuration::section::{self, Index};
use monsoonring_configuration::{Document, check};
use monsoonring_decision::configuration::is_reader;
use monsoonring_decision::idempotency::{Decision, Fence, Key, Ledger, Limits, Request, Secret};
use monsoonring_decision::member::{
    Action, Change, Event, Incarnation, MemberId, Page, Settings, State, Table,
};
use monsoonring_decision::outcome::Reason;
use monsoonring_decision::placement::{self, Difference, Member};
use monsoonring_decision::{Time, fact};
use monsoonring_experiment::{document, memory};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use std::error::Error;
use std::hint::black_box;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

const MEMBERS: [usize; 5] = [8, 64, 512, 1_024, 3_800];
const SERVERS: [usize; 4] = [1_000, 5_000, 15_000, 130_000];
const DATA_CENTRES: usize = 21;
const HOMES: usize = 10;
const ROUNDS: usize = 15;
const TICK: Duration = Duration::from_millis(50);
const SIMULATED: Duration = Duration::from_secs(120);
const MICROS: f64 = 1e6;
const MILLIS: f64 = 1e3;
/// Tables held at once, so that the growth of resident memory exceeds its grain.
const TABLES: usize = 40;
const RECORDS: usize = 50_000;
const FACTS: usize = 16_000;
const LIFE: Duration = Duration::from_secs(600);
const CAPACITY: Capacity = Capacity {
    slots: 3,
    connections: 30,
    connect_ms: 6,
};

type Outcome<T> = Result<T, Box<dyn Error>>;

fn main() -> Outcome<()> {
    let member = member_bytes()?;
    let fact = fact_bytes()?;
    let ledger = ledger_bytes()?;
    println!(
        "| members | select a route's homes us | am I a reader us | list members us \
         | look at each member us | look at the suspects us | compare members us \
         | does it concern a route us | table us per member-second |"
    );
    println!("|{}", " --- |".repeat(9));
    for count in MEMBERS {
        println!("{}", members_row(count));
    }
    println!("\n| backend servers | bytes | parse and check ms | index ms | host list bytes |");
    println!("|{}", " --- |".repeat(5));
    for count in SERVERS {
        println!("{}", document_row(count)?);
    }
    println!("\nmember record, table alone: {member:.0} bytes");
    println!("fact: {fact:.0} bytes");
    println!("ledger record of a short outcome: {ledger:.0} bytes");
    Ok(())
}

fn id(number: usize) -> MemberId {
    let host = 0x0a00_0000 + u32::try_from(number).unwrap_or(u32::MAX >> 8);
    MemberId::from((Ipv4Addr::from(host), 7_000))
}

fn member(number: usize) -> Member {
    Member {
        id: id(number),
        data_centre: format!("data-centre-{}", number % DATA_CENTRES).into(),
    }
}

fn table(count: usize) -> Table {
    let rng = ChaCha8Rng::seed_from_u64(1);
    let mut table = Table::new(member(0), 1, Settings::default(), Time::ZERO, rng);
    let changes = (1..count).map(|number| Change {
        id: id(number),
        incarnation: Incarnation {
            start: 1,
            refutation: 0,
        },
        state: State::Alive,
        data_centre: member(number).data_centre,
    });
    let page = Page {
        changes: changes.collect(),
        rest: None,
    };
    let _ = table.handle(Event::Pulled(id(1), page), Time::ZERO);
    table
}

fn members_row(count: usize) -> String {
    let members: Vec<Member> = (0..count).map(member).collect();
    let mut table = table(count);
    let select = median(|| {
        black_box(placement::select("route", &members, HOMES.min(count)));
    });
    let reader = median(|| {
        black_box(is_reader(&members[0], &members));
    });
    let list = median(|| {
        black_box(table.members());
    });
    let look = median(|| {
        let suspects = members.iter().filter(|member| {
            let change = table.get(member.id);
            change.is_some_and(|change| change.state == State::Suspect)
        });
        black_box(suspects.count());
    });
    let suspects = median(|| {
        black_box(table.suspects().count());
    });
    let compare = median(|| {
        black_box(Difference::between(&members, &members[1..]));
    });
    let difference = Difference::between(&members, &members[1..]);
    let homes = placement::select("route", &members[1..], HOMES);
    let concern = median(|| {
        black_box(difference.may_affect("route", &homes));
    });
    let second = member_second(&mut table);
    let micros = [
        select, reader, list, look, suspects, compare, concern, second,
    ]
    .map(|time| time * MICROS);
    let cells = micros.map(|micros| format!("{micros:.2}"));
    format!("| {count} | {} |", cells.join(" | "))
}

/// Processor seconds that the table takes a second while each probe is answered and as many
/// probes of others are answered.
fn member_second(table: &mut Table) -> f64 {
    let mut now = Time::ZERO;
    let began = Instant::now();
    while now < SIMULATED {
        now += TICK;
        let actions = table.handle(Event::Tick, now);
        for action in actions {
            if let Action::Probe {
                probe,
                to,
                mut message,
                ..
            } = action
            {
                message.from = to;
                message.data_centre = table
                    .get(to)
                    .map_or(message.data_centre, |change| change.data_centre.clone());
                let _ = black_box(table.handle(Event::Probed(message.clone()), now));
                let _ = black_box(table.handle(Event::Acked(probe, message), now));
            }
        }
    }
    began.elapsed().as_secs_f64() / SIMULATED.as_secs_f64()
}

fn document_row(servers: usize) -> Outcome<String> {
    let document = document::sized(servers, document::GROUPS, CAPACITY);
    let text = serde_json::to_vec(&document)?;
    let parse = median(|| {
        let read: Result<Document, _> = serde_json::from_slice(&text);
        black_box(read.is_ok_and(|document| check::document(&document).is_ok()));
    });
    let index = median(|| {
        let sections = section::split(&document).unwrap_or_default();
        black_box(Index::of(&sections));
    });
    let hosts = document.routes.iter().flat_map(|route| &route.groups);
    let hosts = hosts.flat_map(|group| &group.backend_servers);
    let hosts: Vec<_> = hosts
        .map(|server| serde_json::json!({ "address": server, "state": "live" }))
        .collect();
    Ok(format!(
        "| {servers} | {} | {:.2} | {:.2} | {} |",
        text.len(),
        parse * MILLIS,
        index * MILLIS,
        serde_json::to_vec(&hosts)?.len(),
    ))
}

fn member_bytes() -> Outcome<f64> {
    let count = MEMBERS[MEMBERS.len() - 1];
    let before = memory::resident(None)?;
    let tables: Vec<Table> = (0..TABLES).map(|_| table(count)).collect();
    let grown = memory::resident(None)?.saturating_sub(before);
    keep(tables);
    Ok(grown as f64 / (TABLES * count) as f64)
}

fn fact_bytes() -> Outcome<f64> {
    let before = memory::resident(None)?;
    let tables: Vec<fact::Table> = (0..TABLES).map(|_| facts()).collect();
    let grown = memory::resident(None)?.saturating_sub(before);
    keep(tables);
    Ok(grown as f64 / (TABLES * FACTS) as f64)
}

fn facts() -> fact::Table {
    let mut table = fact::Table::default();
    for number in 0..FACTS {
        let _ = table.learn(fact::Key::Leaving(id(number)), 1, LIFE, Time::ZERO);
    }
    table
}

fn ledger_bytes() -> Outcome<f64> {
    let before = memory::resident(None)?;
    let ledgers: Outcome<Vec<Ledger>> = (0..3).map(|_| ledger()).collect();
    let ledgers = ledgers?;
    let grown = memory::resident(None)?.saturating_sub(before);
    let records = ledgers.len() * RECORDS;
    keep(ledgers);
    Ok(grown as f64 / records as f64)
}

fn ledger() -> Outcome<Ledger> {
    let fence = Fence {
        member: id(0),
        start: 1,
    };
    let secret = Secret::from([7; 32]);
    let mut ledger = Ledger::new(fence, secret, Limits::default());
    let (caller, route) = ("inspector".into(), "repair_tickets".into());
    for number in 0..RECORDS as u64 {
        let key = ledger.mint(&caller, &route, Time::ZERO);
        let key: Key = key.map_err(|refusal| format!("no key: {refusal:?}"))?;
        let request = Request {
            id: number.into(),
            caller: caller.clone(),
            route: route.clone(),
            fingerprint: number,
            deadline: Time::from_secs(1),
            send: None,
            passed_on: false,
        };
        if let Decision::Run(permit) = ledger.begin(&key, &request, Time::ZERO) {
            let _ = ledger.release(permit, Reason::Overload, None, Time::ZERO);
        }
    }
    Ok(ledger)
}

/// Keeps values for good: the next table would be built in memory that they give back, and would
/// seem to need none.
fn keep<T>(values: Vec<T>) {
    std::mem::forget(values);
}

/// Median seconds of one call.
fn median(mut call: impl FnMut()) -> f64 {
    let times = (0..ROUNDS).map(|_| {
        let began = Instant::now();
        call();
        began.elapsed().as_secs_f64()
    });
    let mut times: Vec<f64> = times.collect();
    times.sort_by(f64::total_cmp);
    times[ROUNDS / 2]
}
