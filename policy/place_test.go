package policy_test

import (
	"fmt"
	"testing"

	"github.com/guavagauge/guavagauge/policy"
	"github.com/guavagauge/guavagauge/rendezvous"
)

func candidates(n int) []policy.Candidate {
	all := make([]policy.Candidate, n)
	for i := range all {
		all[i] = policy.Candidate{
			Hash: rendezvous.Hash(fmt.Sprint("upstream-", i)), Queued: int64(i * 37 % 900), Running: 500, Slots: 8,
			Domain: fmt.Sprint("domain-", i%4), Region: fmt.Sprint("region-", i%2), NetworkCost: int64(i % 4 * 10),
		}
	}
	return all
}

// Guards against memory allocations by Place, which runs for each request.
func TestPlaceDoesNotAllocate(t *testing.T) {
	all, request := candidates(64), policy.PlaceRequest{Prefix: []uint64{42}, Domain: "domain-1", Region: "region-1", Cost: 100}
	var buffer [policy.MaxChoices]policy.Choice
	if n := testing.AllocsPerRun(100, func() { policy.Place(buffer[:0], request, all, policy.Goodput()) }); n != 0 {
		t.Errorf("Place allocates %v times, want 0", n)
	}
}

func BenchmarkPlace64Candidates(b *testing.B) {
	all, request := candidates(64), policy.PlaceRequest{Prefix: []uint64{42}, Domain: "domain-1", Region: "region-1", Cost: 100}
	var buffer [policy.MaxChoices]policy.Choice
	b.ReportAllocs()
	for b.Loop() {
		request.Prefix[0]++
		policy.Place(buffer[:0], request, all, policy.Goodput())
	}
}
