//! A concurrent run under faults, and a check of what ran against what callers were told.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sapphiretrack_caller::{CallerClient, ClientError, ReadAnswer, RequestOptions};
use sapphiretrack_core::PoolKind;
use sapphiretrack_fakes::{EngineFaults, PlatformFaults, RunCount, ServiceFaults, expected_answer};
use sapphiretrack_tests::{CALLER_KEY, Fleet, FleetSettings, Member, contract_toml, get_text};

const SEED: u64 = 6;
const REQUESTS: usize = 1_200;
const WORKERS: usize = 16;
const ANSWER_TOKENS: u32 = 8;
/// A guard against a hang, not a measure.
const TIME_LIMIT: Duration = Duration::from_secs(240);

/// A kind of request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    Label,
    Lookup,
    Chat,
    OrderChat,
}

/// What a caller was told about one try.
#[derive(Clone, Debug)]
enum Told {
    Answer(ReadAnswer),
    NotReached,
    /// The router at this URL cut the connection.
    Broken(String),
}

/// One request with all its tries.
#[derive(Clone, Debug)]
struct Record {
    kind: Kind,
    order: String,
    body: Bytes,
    tries: Vec<Told>,
}

/// What callers and the faults share.
struct Shared {
    urls: Mutex<Vec<String>>,
    killed: Mutex<Vec<String>>,
    next: AtomicUsize,
    done: AtomicBool,
    records: Mutex<Vec<Record>>,
}

impl Shared {
    fn pick(&self, random: &mut ChaCha8Rng) -> String {
        let urls = self.urls.lock().expect("no panic");
        urls[random.random_range(0..urls.len())].clone()
    }
}

fn contract() -> String {
    let rule = "[[non_idempotent]]\npool = \"dispatch\"\n";
    let text = contract_toml(100_000) + "\n" + rule;
    text.replace("[\"assistant\",", "[\"dispatch\", \"assistant\",")
        .replace("deadline_ms = 20000", "deadline_ms = 6000")
}

fn chat_body(model: &str, order: &str) -> Bytes {
    let body = serde_json::json!({
        "model": model,
        "stream": true,
        "max_tokens": ANSWER_TOKENS,
        "messages": [{ "role": "user", "content": order }],
    });
    Bytes::from(body.to_string())
}

/// The messages as the engine counts them, and the words of the whole answer.
fn expected_chat(order: &str) -> (String, Vec<String>) {
    let messages = serde_json::json!([{ "role": "user", "content": order }]);
    let answer = expected_answer(&messages, ANSWER_TOKENS);
    let words = answer.split_whitespace().map(str::to_owned);
    (messages.to_string(), words.collect())
}

impl Record {
    fn new(number: usize, random: &mut ChaCha8Rng) -> Self {
        let kind = match random.random_range(0..100) {
            0..40 => Kind::Label,
            40..55 => Kind::Lookup,
            55..80 => Kind::Chat,
            _ => Kind::OrderChat,
        };
        let order = format!("order {number}");
        let body = match kind {
            Kind::Label | Kind::Lookup => Bytes::from(order.clone()),
            Kind::Chat => chat_body("assistant", &order),
            Kind::OrderChat => chat_body("dispatch", &order),
        };
        Self {
            kind,
            order,
            body,
            tries: Vec::new(),
        }
    }

    fn once(&self) -> bool {
        matches!(self.kind, Kind::Label | Kind::OrderChat)
    }

    async fn send(&self, url: &str) -> Told {
        let options = RequestOptions {
            key: CALLER_KEY.to_owned(),
            chat: Some(self.order.clone()),
            idempotency_key: self.once().then(|| self.order.clone()),
            ..RequestOptions::default()
        };
        // A connection of its own: a kept one may be closed while the next request is on its way.
        let client = CallerClient::new();
        let body = self.body.clone();
        let answer = match self.kind {
            Kind::Chat | Kind::OrderChat => client.chat(url, body, &options, |_| {}).await,
            Kind::Label | Kind::Lookup => {
                let path = match self.kind {
                    Kind::Label => "plant/labels/print",
                    _ => "plant/pallets",
                };
                client
                    .service(url, http::Method::POST, path, body, &options)
                    .await
            }
        };
        match answer {
            Ok(answer) => Told::Answer(answer),
            Err(ClientError::Unreachable { .. }) => Told::NotReached,
            Err(ClientError::Broken { url, .. }) => Told::Broken(url),
        }
    }

    /// Sends up to three times; some keys at two routers at once.
    async fn run(&mut self, shared: &Shared, random: &mut ChaCha8Rng) {
        if random.random_bool(0.25) {
            let (first, second) = (shared.pick(random), shared.pick(random));
            let (one, other) = tokio::join!(self.send(&first), self.send(&second));
            self.tries.extend([one, other]);
        }
        for _ in 0..3 {
            let url = shared.pick(random);
            let told = self.send(&url).await;
            let complete = matches!(&told, Told::Answer(answer) if answer.outcome == "complete");
            self.tries.push(told);
            if complete && random.random_bool(0.8) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(random.random_range(0..200))).await;
        }
    }

    /// Checks what was told against how often it ran; returns flaws.
    fn check(&self, runs: &BTreeMap<String, u32>, killed: &[String]) -> Vec<String> {
        let mut flaws = Vec::new();
        for told in &self.tries {
            if let Told::Broken(url) = told
                && !killed.contains(url)
            {
                flaws.push(format!("cut by {url}, which was not killed"));
            }
        }
        let ran = runs.get(&self.run_key()).copied().unwrap_or(0);
        if self.once() && ran > 1 {
            flaws.push(format!("ran {ran} times"));
        }
        let all_not_run = self.tries.iter().all(|told| match told {
            Told::NotReached => true,
            Told::Broken(_) => false,
            Told::Answer(answer) => answer.outcome == "not-run",
        });
        if all_not_run && ran > 0 {
            flaws.push(format!("told not-run and ran {ran} times"));
        }
        for told in &self.tries {
            let Told::Answer(answer) = told else { continue };
            if answer.outcome == "complete" && ran == 0 {
                flaws.push(String::from("told complete and never ran"));
            }
            flaws.extend(self.check_answer(answer));
        }
        flaws
    }

    fn check_answer(&self, answer: &ReadAnswer) -> Option<String> {
        let complete = answer.outcome == "complete";
        let right = match self.kind {
            Kind::Label | Kind::Lookup => {
                let value: serde_json::Value = serde_json::from_str(&answer.body).ok()?;
                let order = value["order"].as_str().unwrap_or_default();
                !complete || order.ends_with(&format!(" {}", self.order))
            }
            Kind::Chat | Kind::OrderChat if answer.status == 200 => {
                let (_, words) = expected_chat(&self.order);
                let got: Vec<&str> = answer.body.split_whitespace().collect();
                words
                    .iter()
                    .map(String::as_str)
                    .take(got.len())
                    .eq(got.iter().copied())
                    && (!complete || got.len() == words.len())
            }
            _ => true,
        };
        (!right).then(|| format!("a wrong answer: {answer:?}"))
    }

    fn run_key(&self) -> String {
        match self.kind {
            Kind::Label => format!("POST /labels/print {}", self.order),
            Kind::Lookup => format!("POST /pallets {}", self.order),
            Kind::Chat | Kind::OrderChat => expected_chat(&self.order).0,
        }
    }
}

async fn work(shared: Arc<Shared>, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    loop {
        let number = shared.next.fetch_add(1, Ordering::Relaxed);
        if number >= REQUESTS {
            return;
        }
        let mut record = Record::new(number, &mut random);
        record.run(&shared, &mut random).await;
        shared.records.lock().expect("no panic").push(record);
    }
}

/// Sets faults of one stand-in, drawn at random.
async fn trouble(fleet: &Fleet, random: &mut ChaCha8Rng) {
    let count = random.random_range(1..4);
    let servers: Vec<(SocketAddr, bool)> = fleet
        .servers
        .iter()
        .map(|member| (member.vm.address, member.vm.name.starts_with("engine")))
        .collect();
    let (address, is_engine) = servers[random.random_range(0..servers.len())];
    if random.random_bool(0.3) {
        let faults = match random.random_range(0..4) {
            0 => PlatformFaults {
                lose_replies: count,
                ..Default::default()
            },
            1 => PlatformFaults {
                lose_requests: count,
                ..Default::default()
            },
            2 => PlatformFaults {
                delay_ms: 150,
                ..Default::default()
            },
            _ => PlatformFaults {
                down: true,
                ..Default::default()
            },
        };
        fleet.set_faults(fleet.platform_address, &faults).await;
    } else if is_engine {
        let base = EngineFaults {
            cut_after_tokens: random.random_range(0..ANSWER_TOKENS),
            stall_ms: 1_500,
            ..EngineFaults::default()
        };
        let faults = match random.random_range(0..5) {
            0 => EngineFaults {
                cut_streams: count,
                ..base
            },
            1 => EngineFaults {
                crossed: count,
                ..base
            },
            2 => EngineFaults {
                refuse: count,
                ..base
            },
            3 => EngineFaults {
                crossed_pieces: count,
                ..base
            },
            _ => EngineFaults {
                stalled_streams: count,
                ..base
            },
        };
        fleet.set_faults(address, &faults).await;
    } else {
        let faults = match random.random_range(0..4) {
            0 => ServiceFaults {
                refuse: count,
                ..Default::default()
            },
            1 => ServiceFaults {
                lose_replies: count,
                ..Default::default()
            },
            2 => ServiceFaults {
                crossed: count,
                ..Default::default()
            },
            _ => ServiceFaults {
                late_replies: count,
                late_ms: 500,
                ..Default::default()
            },
        };
        fleet.set_faults(address, &faults).await;
    }
    tokio::time::sleep(Duration::from_millis(random.random_range(20..120))).await;
    fleet
        .set_faults(fleet.platform_address, &PlatformFaults::default())
        .await;
}

/// Kills, pauses and replaces routers, and troubles the stand-ins, until the callers are done.
async fn make_trouble(fleet: &mut Fleet, shared: &Shared) {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mut rounds: u32 = 0;
    let mut stopping = None;
    while !shared.done.load(Ordering::Relaxed) {
        rounds += 1;
        trouble(fleet, &mut random).await;
        let victim = random.random_range(1..fleet.routers.len());
        if rounds.is_multiple_of(7) {
            fleet.routers[victim].process.signal("STOP").await;
            let pause = Duration::from_millis(random.next_u64() % 600);
            tokio::time::sleep(pause).await;
            fleet.routers[victim].process.signal("CONT").await;
        }
        if rounds.is_multiple_of(25) && shared.next.load(Ordering::Relaxed) < REQUESTS {
            let url = fleet.caller_url(victim);
            shared.killed.lock().expect("no panic").push(url);
            fleet.routers[victim].process.kill().await;
            drop(replace_router(fleet, shared, victim, rounds).await);
        }
        if rounds == 30 {
            // The first router is never killed or paused: its stop is a planned one.
            fleet.routers[0].process.signal("TERM").await;
            let mut member = replace_router(fleet, shared, 0, rounds).await;
            stopping = Some(tokio::spawn(async move { member.process.wait().await }));
        }
    }
    let code = stopping.expect("the run is long enough for a stop").await;
    assert_eq!(
        code.expect("no panic"),
        Some(0),
        "the planned stop is clean"
    );
}

/// Takes a router out of what callers use and starts another one in its place.
async fn replace_router(fleet: &mut Fleet, shared: &Shared, index: usize, round: u32) -> Member {
    let gone = fleet.routers.remove(index);
    let name = format!("router-new-{round}-{index}");
    fleet.add_router(&name, index).await;
    fleet.publish().await;
    let urls = (0..fleet.routers.len()).map(|router| fleet.caller_url(router));
    *shared.urls.lock().expect("no panic") = urls.collect();
    gone
}

async fn runs_of(address: SocketAddr) -> Vec<RunCount> {
    let text = get_text(&format!("http://{address}/fake/runs")).await;
    serde_json::from_str(&text).expect("run counts")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_request_runs_twice_and_no_refusal_lies_under_concurrent_faults() {
    let mut fleet = Fleet::start(FleetSettings {
        services: 2,
        router_flags: vec![String::from("--platform-timeout-ms=400")],
        // No caller may be so slow between its choice of a router and its request.
        entry_ttl_ms: 5_000,
        ..FleetSettings::default()
    })
    .await;
    fleet
        .add_server("engine", "dispatch", PoolKind::Engine, 2)
        .await;
    fleet.publish().await;
    fleet.wait_settled().await;
    fleet.apply_contract(&contract(), 0).await;
    let shared = Arc::new(Shared {
        urls: Mutex::new((0..3).map(|router| fleet.caller_url(router)).collect()),
        killed: Mutex::default(),
        next: AtomicUsize::new(0),
        done: AtomicBool::new(false),
        records: Mutex::default(),
    });
    let workers: Vec<_> = (0..WORKERS as u64)
        .map(|worker| tokio::spawn(work(shared.clone(), SEED * 1_000 + worker)))
        .collect();
    let finished = shared.clone();
    let callers = tokio::spawn(async move {
        for worker in workers {
            worker.await.expect("a worker ends well");
        }
        finished.done.store(true, Ordering::Relaxed);
    });
    let troubled = make_trouble(&mut fleet, &shared);
    assert!(
        tokio::time::timeout(TIME_LIMIT, troubled).await.is_ok(),
        "the run hangs"
    );
    callers.await.expect("the callers end well");

    // The streams and late calls of callers that are gone may still be under way: they can only
    // add runs, so wait until nothing is left of them.
    fleet
        .wait_status("all requests ended", |status| status.in_flight == 0)
        .await;
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for member in &fleet.servers {
        for count in runs_of(member.vm.address).await {
            *runs.entry(count.order).or_default() += count.runs;
        }
    }
    let records = shared.records.lock().expect("no panic").clone();
    assert_eq!(records.len(), REQUESTS);
    let mut told: BTreeMap<String, usize> = BTreeMap::new();
    for record in &records {
        for one in &record.tries {
            let name = match one {
                Told::Answer(answer) => {
                    let code = answer.error.as_ref().map_or("", |body| &body.error.code);
                    format!("{:?} {} {code}", record.kind, answer.outcome)
                }
                Told::NotReached => format!("{:?} not reached", record.kind),
                Told::Broken(_) => format!("{:?} broken", record.kind),
            };
            *told.entry(name).or_default() += 1;
        }
    }
    println!("{told:#?}");
    let killed = shared.killed.lock().expect("no panic").clone();
    let flaws: Vec<String> = records
        .iter()
        .flat_map(|record| {
            let flaws = record.check(&runs, &killed);
            flaws.into_iter().map(move |flaw| {
                format!(
                    "{:?} {}: {flaw}: {:?}",
                    record.kind, record.order, record.tries
                )
            })
        })
        .collect();
    assert!(
        flaws.is_empty(),
        "{} flaws:\n{}",
        flaws.len(),
        flaws.join("\n")
    );
    let complete = told.iter().filter(|(name, _)| name.contains("complete"));
    assert!(complete.map(|(_, count)| count).sum::<usize>() > REQUESTS / 2);
}
