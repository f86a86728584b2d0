package crash_test

import (
	"fmt"
	"testing"
	"time"

	"rhubarbspread/core/crash"
)

// BenchmarkVerdict measures a verdict on a part that was at half of the deaths, among many suspects.
func BenchmarkVerdict(b *testing.B) {
	for _, deaths := range []int{1, 40, 500} {
		b.Run(fmt.Sprint(deaths, " deaths"), func(b *testing.B) {
			stamp := uint64(0)
			now := time.Unix(1000, 0)
			r := crash.NewRegistry(func() time.Time { return now }, func() uint64 { stamp++; return stamp }, time.Hour)
			shared := crash.NewPartFingerprint("s", "shared")
			for i := range deaths {
				now = now.Add(time.Second)
				for j := range 20 {
					r.RecordDeath(crash.Fingerprint(fmt.Sprint(i, "-", j)), fmt.Sprint("u", i), "dc", crash.BrokeBeforeFirstToken)
				}
				if i%2 == 0 {
					r.RecordDeath(shared, fmt.Sprint("u", i), "dc", crash.BrokeBeforeFirstToken)
				}
			}
			now = now.Add(time.Second)
			for b.Loop() {
				r.Verdict(shared)
			}
		})
	}
}

// BenchmarkEvidence measures what each period of gossip asks of the registry.
func BenchmarkEvidence(b *testing.B) {
	stamp := uint64(0)
	now := time.Unix(1000, 0)
	r := crash.NewRegistry(func() time.Time { return now }, func() uint64 { stamp++; return stamp }, time.Hour)
	for i := range 200 {
		now = now.Add(time.Second)
		for j := range 20 {
			r.RecordDeath(crash.Fingerprint(fmt.Sprint(i, "-", j)), fmt.Sprint("u", i), "dc", crash.BrokeBeforeFirstToken)
		}
	}
	for b.Loop() {
		r.Evidence()
		r.Acquittals()
	}
}

// BenchmarkVerdictOnTrustedPart measures a verdict on a part that was answered of late, among deaths of many such parts.
func BenchmarkVerdictOnTrustedPart(b *testing.B) {
	const deaths, requests = 50, 15
	stamp := uint64(0)
	now := time.Unix(1000, 0)
	r := crash.NewRegistry(func() time.Time { return now }, func() uint64 { stamp++; return stamp }, time.Hour)
	var parts []crash.Fingerprint
	for i := range 6 {
		parts = append(parts, crash.NewPartFingerprint("s", fmt.Sprint("part-", i)))
	}
	r.Answered(parts, r.Stamp(), time.Second)
	for i := range deaths {
		now = now.Add(50 * time.Millisecond)
		for j := range requests {
			r.RecordDeath(crash.Fingerprint(fmt.Sprint(i, "-", j)), fmt.Sprint("u", i), "dc", crash.BrokeBeforeFirstToken)
		}
		for _, part := range parts {
			r.RecordDeath(part, fmt.Sprint("u", i), "dc", crash.BrokeBeforeFirstToken)
		}
	}
	now = now.Add(time.Second)
	for b.Loop() {
		r.Verdict(parts[0])
	}
}
