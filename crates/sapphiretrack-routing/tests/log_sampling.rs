//! Log sampling keeps all requests at usual rates and a bounded number of them at high rates.

use sapphiretrack_routing::LogSampling;

/// The number of requests kept in each second at a steady rate.
fn kept(per_s: u32, seconds: u64) -> Vec<usize> {
    let mut sampling = LogSampling::new(100);
    let kept_in_second = |second: u64, sampling: &mut LogSampling| {
        let steps = 0..u64::from(per_s);
        let kept = steps.filter(|step| {
            let now_ms = second * 1_000 + step * 1_000 / u64::from(per_s);
            sampling.is_sampled(&format!("{second}-{step}"), now_ms)
        });
        kept.count()
    };
    (0..seconds)
        .map(|second| kept_in_second(second, &mut sampling))
        .collect()
}

#[test]
fn all_requests_are_kept_at_usual_rates() {
    assert_eq!(kept(100, 5), [100; 5]);
}

#[test]
fn high_rates_are_sampled_from_their_first_second_on() {
    for per_s in [400, 1_600, 20_000] {
        for (second, kept) in kept(per_s, 5).into_iter().enumerate() {
            let max_kept = if second == 0 { 1_200 } else { 170 };
            assert!(
                (20..=max_kept).contains(&kept),
                "{kept} of {per_s} requests kept in second {second}"
            );
        }
    }
}

#[test]
fn all_routers_keep_the_same_request_ids() {
    let mut sampling_a = LogSampling::new(100);
    let mut sampling_b = LogSampling::new(100);
    for step in 0..1_000 {
        let id = format!("r{step}");
        assert_eq!(
            sampling_a.is_sampled(&id, 500),
            sampling_b.is_sampled(&id, 500)
        );
    }
}
