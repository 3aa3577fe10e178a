//! The log tells all requests at usual rates and a bounded part of a flood.

use sapphiretrack_routing::LogSampling;

fn kept(per_s: u32, seconds: u64) -> Vec<usize> {
    let mut sampling = LogSampling::new(100);
    let second = |second: u64, sampling: &mut LogSampling| {
        let steps = 0..u64::from(per_s);
        let kept = steps.filter(|step| {
            let now_ms = second * 1_000 + step * 1_000 / u64::from(per_s);
            sampling.keeps(&format!("{second}-{step}"), now_ms)
        });
        kept.count()
    };
    (0..seconds)
        .map(|number| second(number, &mut sampling))
        .collect()
}

#[test]
fn at_usual_rates_all_are_told() {
    assert_eq!(kept(100, 5), [100; 5]);
}

#[test]
fn a_flood_is_told_in_part_from_its_first_second_on() {
    for per_s in [400, 1_600, 20_000] {
        for (second, kept) in kept(per_s, 5).into_iter().enumerate() {
            let most = if second == 0 { 1_200 } else { 170 };
            assert!(
                (20..=most).contains(&kept),
                "{kept} of {per_s} in second {second}"
            );
        }
    }
}

#[test]
fn an_id_is_kept_or_not_whoever_asks() {
    let mut one = LogSampling::new(100);
    let mut other = LogSampling::new(100);
    for step in 0..1_000 {
        let id = format!("r{step}");
        assert_eq!(one.keeps(&id, 500), other.keeps(&id, 500));
    }
}
