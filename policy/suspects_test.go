package policy_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/guavagauge/guavagauge/policy"
)

// Requests are refused because of a part that was in each crash, and not because
// of parts that a sound request can have as well.
func TestSuspectsQuarantine(t *testing.T) {
	now := time.Unix(0, 0)
	for name, c := range map[string]struct {
		crashes [][]string // parts of the suspects of each crash
		cleared []string   // parts on which a response begins afterwards
		refused [][]string
		served  [][]string
	}{
		"below the limit": {
			crashes: [][]string{{"a", "x"}, {"b", "x"}},
			served:  [][]string{{"a", "x"}, {"x"}},
		},
		"one part in common": {
			crashes: [][]string{{"a", "x"}, {"b", "x"}, {"c", "x"}},
			refused: [][]string{{"a", "x"}, {"d", "x"}},
			served:  [][]string{{"a"}, {"b"}},
		},
		"always beside another part": {
			crashes: [][]string{{"a", "x"}, {"a", "x"}, {"a", "x"}},
			refused: [][]string{{"a", "x"}},
			served:  [][]string{{"a"}, {"b", "x"}},
		},
		"the other part is cleared": {
			crashes: [][]string{{"a", "x"}, {"a", "x"}, {"a", "x"}},
			cleared: []string{"a"},
			refused: [][]string{{"a", "x"}, {"b", "x"}},
			served:  [][]string{{"a"}},
		},
		"the other part was in one crash more": {
			crashes: [][]string{{"a", "x"}, {"a", "x"}, {"a", "x"}, {"a"}},
			refused: [][]string{{"a", "x"}},
			served:  [][]string{{"a"}},
		},
		"two others, each in some crashes": {
			crashes: [][]string{{"a", "x"}, {"a", "x"}, {"a", "x"}, {"b", "x"}, {"b", "x"}, {"b", "x"}},
			refused: [][]string{{"c", "x"}},
			served:  [][]string{{"a"}, {"b"}},
		},
		"many upstreams lost at once": {
			crashes: [][]string{{"a", "b", "c"}, {"a", "b", "c"}, {"a", "b", "c"}},
			served:  [][]string{{"a"}, {"a", "b"}, {"c", "d"}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := policy.NewSuspects(policy.SuspectOptions{})
			for i, parts := range c.crashes {
				for _, part := range parts {
					s.Report(policy.Accusation{Part: part, Crash: fmt.Sprint(i)}, now)
				}
			}
			for _, part := range c.cleared {
				for _, crash := range s.Open(part, now) {
					s.Report(policy.Accusation{Part: part, Crash: crash, Cleared: true}, now)
				}
			}
			for _, parts := range c.refused {
				if _, _, ok := s.Quarantined(parts, now); !ok {
					t.Errorf("a request with %v is served", parts)
				}
			}
			for _, parts := range c.served {
				if part, _, ok := s.Quarantined(parts, now); ok {
					t.Errorf("a request with %v is refused because of %s", parts, part)
				}
			}
		})
	}
}

// A quarantine ends, and a node that learned of it late doesn't announce it for
// longer than it lasts.
func TestSuspectsExpire(t *testing.T) {
	now := time.Unix(0, 0)
	options := policy.SuspectOptions{TTL: time.Minute, QuarantineTTL: 10 * time.Minute}
	s, late := policy.NewSuspects(options), policy.NewSuspects(options)
	for i := range 3 {
		s.Report(policy.Accusation{Part: "x", Crash: fmt.Sprint(i)}, now)
	}
	s.Report(policy.Accusation{Part: "once", Crash: "0"}, now)
	now = now.Add(3 * time.Minute)
	for _, a := range s.Announcements(now) {
		late.Report(a, now)
	}
	if _, _, ok := late.Quarantined([]string{"x"}, now); !ok || len(late.Open("once", now)) > 0 {
		t.Error("the late node doesn't quarantine x, or knows of an expired record")
	}
	now = now.Add(7*time.Minute + time.Second)
	if _, _, ok := s.Quarantined([]string{"x"}, now); ok {
		t.Error("x is quarantined after QuarantineTTL")
	}
	if a := append(s.Announcements(now), late.Announcements(now)...); len(a) > 0 {
		t.Errorf("announced after QuarantineTTL: %v", a)
	}
}

// Nodes that get the same reports in any order, some of them repeatedly, refuse
// the same requests.
func TestSuspectsAgreeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		part := rapid.SampledFrom([]string{"a", "b", "c", "x"})
		crash := rapid.SampledFrom([]string{"1", "2", "3", "4", "5"})
		report := rapid.Custom(func(t *rapid.T) policy.Accusation {
			return policy.Accusation{Part: part.Draw(t, "part"), Crash: crash.Draw(t, "crash"), Cleared: rapid.IntRange(0, 5).Draw(t, "cleared") == 0}
		})
		reports := rapid.SliceOfN(report, 0, 40).Draw(t, "reports")
		first, second := policy.NewSuspects(policy.SuspectOptions{}), policy.NewSuspects(policy.SuspectOptions{})
		for _, a := range reports {
			first.Report(a, now)
		}
		for _, a := range append(rapid.Permutation(reports).Draw(t, "order"), reports...) {
			second.Report(a, now)
		}
		for _, parts := range [][]string{{"a"}, {"x"}, {"a", "x"}, {"a", "b", "c", "x"}} {
			_, _, one := first.Quarantined(parts, now)
			if _, _, other := second.Quarantined(parts, now); one != other {
				t.Fatalf("requests with %v are refused by one node only", parts)
			}
		}
	})
}

// Guards against a quarantine that ends although requests still come, that a node
// which learnt of it late keeps for longer than it lasts, or that has no end.
func TestHeldPartsExpire(t *testing.T) {
	const quarantine = 10 * time.Minute
	now := time.Unix(0, 0)
	options := policy.SuspectOptions{TTL: time.Minute, QuarantineTTL: quarantine}
	s, late := policy.NewSuspects(options), policy.NewSuspects(options)
	for i := range 3 {
		s.Report(policy.Accusation{Part: "x", Crash: fmt.Sprint(i)}, now)
	}
	s.Report(policy.Accusation{Part: "below", Crash: "0"}, now)
	s.Extend("below", now)
	s.Extend("unknown", now)
	for range 4 { // the request comes each five minutes
		now = now.Add(quarantine / 2)
		if _, ok := s.Held("x", now); !ok {
			t.Fatal("x isn't held though it was extended")
		}
		s.Extend("x", now)
	}
	now = now.Add(quarantine / 4)
	if held := s.HeldParts(now); len(held) != 1 || held[0] != (policy.HeldPart{Part: "x", Remaining: quarantine * 3 / 4}) {
		t.Fatalf("held: %v, want x alone for %s", held, quarantine*3/4)
	}
	for i, remaining := range []time.Duration{quarantine * 3 / 4, time.Minute, 0, -time.Minute} {
		if begun := late.Hold("x", remaining, now); begun != (i == 0) {
			t.Errorf("report %d: began a quarantine: %t", i, begun)
		}
	}
	late.Hold("odd", 1000*quarantine, now)
	late.Hold("odd2", -time.Second, now)
	for _, c := range []struct {
		after       time.Duration
		x, odd      bool
		description string
	}{
		{quarantine*3/4 - time.Second, true, true, "before the end"},
		{quarantine * 3 / 4, false, true, "at the end of the reported time"},
		{quarantine, false, false, "after the longest time"},
	} {
		_, x := late.Held("x", now.Add(c.after))
		_, odd := late.Held("odd", now.Add(c.after))
		_, odd2 := late.Held("odd2", now.Add(c.after))
		if x != c.x || odd != c.odd || odd2 {
			t.Errorf("%s: held %t, %t and %t, want %t, %t and false", c.description, x, odd, odd2, c.x, c.odd)
		}
	}
}
