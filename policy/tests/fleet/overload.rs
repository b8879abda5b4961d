//! What callers get while few targets are left for the load of all.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::fleet::SECOND_US;
use crate::fleet::TARGETS;
use crate::overload_simulation::Account;
use crate::overload_simulation::Crowd;
use crate::overload_simulation::Scenario;
use crate::overload_simulation::Spell;
use crate::overload_simulation::Story;

const SEEDS: u64 = 8;
/// From when the crowded state is judged.
const JUDGED_FROM_US: u64 = 23 * SECOND_US;
const END_US: u64 = 33 * SECOND_US;

/// Days drawn in CI; `CROWD_DAYS` asks for others, `CROWD_FROM` for the first seed.
const DAYS: u64 = 60;
/// Time in which the fleet learns of a change.
const LEARNING_US: u64 = SECOND_US;
/// Requests on added routes from which the users' rule holds.
const ENOUGH: u32 = 20;
/// The users' objective.
const OBJECTIVE_US: u64 = 2 * SECOND_US;
const LATE_WORTH: f64 = 0.3;

/// Callers by the time that they have.
#[derive(Clone, Copy, Debug, Default)]
struct Callers {
    asked: u32,
    served: u32,
}

impl Callers {
    fn of<'a>(stories: impl Iterator<Item = &'a Story>) -> Self {
        let mut callers = Self::default();
        for story in stories.filter(|story| !story.is_lost) {
            callers.asked += 1;
            callers.served += u32::from(story.served_us.is_some());
        }
        callers
    }

    fn share(self) -> f64 {
        f64::from(self.served) / f64::from(self.asked.max(1))
    }
}

/// The hurried and the patient callers that came first within some spans.
fn callers(account: &Account, spans: &[(u64, u64)]) -> (Callers, Callers) {
    let within = |story: &&Story| {
        let mut spans = spans.iter();
        spans.any(|(from_us, until_us)| (*from_us..*until_us).contains(&story.first_us))
    };
    let stories = || account.stories.iter().filter(within);
    let hurried = Callers::of(stories().filter(|story| story.is_hurried));
    let patient = Callers::of(stories().filter(|story| !story.is_hurried));
    (hurried, patient)
}

/// Ten of twelve targets reset all that they get.
fn two_targets_left() -> Scenario {
    Scenario {
        targets: TARGETS,
        spells: vec![Spell {
            from_us: 20 * SECOND_US,
            until_us: 50 * SECOND_US,
            sound: 2,
        }],
        reset: 1.0,
        restart_us: None,
        calm_per_s: 40.0,
        spell_per_s: 47.0,
        hurried: 0.1,
        hurried_us: 900_000,
        hurried_return: true,
        work_us: 630_000.0,
        end_us: END_US,
    }
}

#[test]
fn callers_with_little_time_are_not_starved_by_those_with_much() {
    for seed in 0..SEEDS {
        let account = Crowd::new(seed, two_targets_left()).play();
        let (hurried, patient) = callers(&account, &[(JUDGED_FROM_US, END_US)]);
        assert!(
            hurried.share() > patient.share() / 4.0,
            "seed {seed}: {hurried:?} {patient:?}"
        );
    }
}

#[test]
fn a_crowd_at_few_targets_is_served_as_far_as_they_can() {
    let scenario = two_targets_left();
    let can_per_s = scenario.can_per_s(2);
    for seed in 0..SEEDS {
        let account = Crowd::new(seed, scenario.clone()).play();
        let (hurried, patient) = callers(&account, &[(JUDGED_FROM_US, END_US)]);
        let served = f64::from(hurried.served + patient.served);
        let span_s = (END_US - JUDGED_FROM_US) as f64 / 1e6;
        assert!(
            served > 0.8 * can_per_s * span_s,
            "seed {seed}: {hurried:?} {patient:?}"
        );
    }
}

/// What broke on a drawn day, and what it was worth.
#[derive(Debug, Default)]
struct Verdict {
    /// Hurried callers served less than a quarter as often as the others.
    starves: bool,
    /// Hurried callers served less than half as often as the others in a spell, and fewer
    /// than half of what the sound targets could finish.
    neglects: bool,
    /// Under 0.8 of what the sound targets can finish, or of what was asked, is served.
    wastes: bool,
    /// Sends to sound targets in spells, and those known to be in vain.
    sends: u32,
    vain: u32,
    worth: f64,
    hurried: Callers,
    patient: Callers,
}

impl Verdict {
    fn of(scenario: &Scenario, account: &Account) -> Self {
        let mut verdict = Self::default();
        let mut crowded = Vec::new();
        for spell in scenario.spells.iter().filter(|spell| spell.sound > 0) {
            let spans = learned_spans(scenario, spell);
            let (hurried, patient) = callers(account, &spans);
            let span_us: u64 = spans
                .iter()
                .map(|(from_us, until_us)| until_us - from_us)
                .sum();
            let span_s = span_us as f64 / 1e6;
            let can = scenario.can_per_s(spell.sound) * span_s;
            let enough = hurried.asked >= ENOUGH && patient.asked >= ENOUGH;
            verdict.neglects |= enough
                && hurried.share() < patient.share() / 2.0
                && f64::from(hurried.served) < can / 2.0;
            let served = f64::from(hurried.served + patient.served);
            let asked = f64::from(hurried.asked + patient.asked);
            verdict.wastes |= enough && served < 0.8 * can.min(asked);
            crowded.extend(spans);
        }
        (verdict.hurried, verdict.patient) = callers(account, &crowded);
        verdict.starves = verdict.hurried.asked >= ENOUGH
            && verdict.hurried.share() < verdict.patient.share() / 4.0;
        for (first_us, in_vain) in &account.sends {
            let is_crowded = |span: &(u64, u64)| (span.0..span.1).contains(first_us);
            if crowded.iter().any(is_crowded) {
                verdict.sends += 1;
                verdict.vain += u32::from(*in_vain);
            }
        }
        let patient = account.stories.iter().filter(|story| !story.is_hurried);
        let (earned, owed) = patient.fold((0.0, 0.0), |(earned, owed), story| {
            let worth = story.served_us.map_or(0.0, |served_us| {
                match served_us - story.first_us <= OBJECTIVE_US {
                    true => 1.0,
                    false => LATE_WORTH,
                }
            });
            (earned + worth, owed + 1.0)
        });
        verdict.worth = earned / owed;
        verdict
    }
}

/// The parts of a spell in which the fleet has had time to learn of it, and of itself
/// after a restart.
fn learned_spans(scenario: &Scenario, spell: &Spell) -> Vec<(u64, u64)> {
    let from_us = spell.from_us + LEARNING_US;
    let split = scenario.restart_us;
    let split = split.filter(|at_us| (spell.from_us..spell.until_us).contains(at_us));
    let spans = match split {
        Some(at_us) => vec![(from_us, at_us), (at_us + LEARNING_US, spell.until_us)],
        None => vec![(from_us, spell.until_us)],
    };
    spans
        .into_iter()
        .filter(|(from, until)| from < until)
        .collect()
}

fn number(variable: &str, default: u64) -> u64 {
    let text = std::env::var(variable).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Plays drawn days on some threads.
fn drawn_days() -> Vec<(u64, Verdict)> {
    let (first, count) = (number("CROWD_FROM", 0), number("CROWD_DAYS", DAYS));
    let next = AtomicU64::new(first);
    let play = || {
        let mut verdicts = Vec::new();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= first + count {
                return verdicts;
            }
            let scenario = Scenario::drawn(seed);
            let account = Crowd::new(seed, scenario.clone()).play();
            verdicts.push((seed, Verdict::of(&scenario, &account)));
        }
    };
    let mut verdicts: Vec<(u64, Verdict)> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..4).map(|_| scope.spawn(play)).collect();
        let ended = threads.into_iter().map(|thread| thread.join());
        ended
            .flat_map(|verdicts| verdicts.expect("it plays"))
            .collect()
    });
    verdicts.sort_by_key(|(seed, _)| *seed);
    verdicts
}

#[test]
fn no_crowd_at_few_targets_starves_callers_with_little_time_or_wastes_what_they_can_do() {
    let days = drawn_days();
    let seeds = |broken: fn(&Verdict) -> bool| -> Vec<u64> {
        let days = days.iter().filter(|(_, verdict)| broken(verdict));
        days.map(|(seed, _)| *seed).collect()
    };
    let mean = |figure: fn(&Verdict) -> f64| {
        days.iter().map(|(_, verdict)| figure(verdict)).sum::<f64>() / days.len() as f64
    };
    let sum =
        |figure: fn(&Verdict) -> u32| days.iter().map(|(_, verdict)| figure(verdict)).sum::<u32>();
    let (starves, neglects) = (seeds(|day| day.starves), seeds(|day| day.neglects));
    let wastes = seeds(|day| day.wastes);
    let broken = seeds(|day| day.starves || day.neglects || day.wastes);
    println!(
        "days {} broken {} starves {} neglects {} wastes {} sends {} in vain {} worth {:.4} hurried {:.4} patient {:.4}",
        days.len(),
        broken.len(),
        starves.len(),
        neglects.len(),
        wastes.len(),
        sum(|day| day.sends),
        sum(|day| day.vain),
        mean(|day| day.worth),
        mean(|day| day.hurried.share()),
        mean(|day| day.patient.share()),
    );
    let first = |seeds: &[u64]| seeds.iter().take(8).copied().collect::<Vec<_>>();
    assert!(
        broken.is_empty(),
        "{} of {} days; starves {:?} neglects {:?} wastes {:?}",
        broken.len(),
        days.len(),
        first(&starves),
        first(&neglects),
        first(&wastes),
    );
}
