package experiment

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/guavagauge/guavagauge/policy"
)

const (
	firstTokenObjective    = 870 * time.Millisecond // from arrival until the caller has the first token
	tokenIntervalObjective = 40 * time.Millisecond  // mean interval between the tokens of an answer
	phaseLength            = 5 * time.Minute        // between changes of the request mix
	plainCallTokens        = 240                    // prompt of a call to the plain service; takes 20 ms
	sharedBlocks           = 2                      // leading blocks that prompts of a workspace share
)

type (
	deployment struct {
		name               string
		engines            int // per failure domain; each domain is a region
		interRegionLatency time.Duration
		clientLatency      time.Duration
	}

	// mix holds the mean lengths of prompts and answers, in tokens.
	mix struct{ prompt, answer float64 }

	scenario struct {
		name           string
		duration       time.Duration
		load           float64       // relative to the initial fleet's capacity under ideal conditions
		mixes          []mix         // one per phase; the last applies to the rest
		floodWorkspace int           // index of a workspace; -1 for none
		reclaimAt      time.Duration // of the notice to the first region; 0 for none
	}

	request struct {
		workspace      int
		region         int
		plain          bool
		arrivedAt      time.Duration
		prompt, answer int
		prefix         []uint64
		id             uint64

		prefillLeft               int // prompt tokens still to prefill
		cost                      int64
		emitted                   int
		transferred               bool // its prefill ran on another engine, and its KV cache has been moved
		attempts                  int
		firstTokenAt, lastTokenAt time.Duration
		latency                   time.Duration
		refused                   bool
		lost                      bool
	}
)

var (
	deployments = []deployment{
		{"Mwakyusa", 3, 30 * time.Millisecond, 3 * time.Millisecond},
		{"Mopani", 6, 30 * time.Millisecond, time.Millisecond},
	}
	longPrompts = mix{4000, 150}
	longAnswers = mix{600, 500}
	typicalMix  = mix{1500, 250}
	scenarios   = []scenario{
		{"swing", 3 * phaseLength, 0.75, []mix{longPrompts, longAnswers, longPrompts}, -1, 0},
		{"flood", 2 * phaseLength, 0.6, []mix{typicalMix}, 3, 0},
		{"reclaim", 2 * phaseLength, 0.6, []mix{typicalMix}, -1, 4 * time.Minute},
	}

	// A few large workspaces send most of the requests. As in real agreements,
	// quotas match the shares only roughly.
	requestShares = [8]float64{0.30, 0.25, 0.15, 0.10, 0.08, 0.05, 0.04, 0.03}
	quotas        = [8]int{4, 3, 2, 1, 1, 1, 1, 1}
)

// generate returns the requests of a scenario in order of arrival. They depend
// on no decision, so that all columns of the table are about the same work. The
// flooding workspace sends 12 times its share from minute 3 to minute 8. One
// request in four comes with a call to the plain service.
func generate(seed uint64, d deployment, s scenario) (all []*request) {
	random := rand.New(rand.NewPCG(seed, 1))
	for w := range requestShares {
		for at := time.Duration(0); ; {
			m := s.mixes[min(int(at/phaseLength), len(s.mixes)-1)]
			rate := s.load * float64(3*d.engines) / m.meanWork() * requestShares[w]
			if w == s.floodWorkspace && at > 3*time.Minute && at < 8*time.Minute {
				rate *= 12
			}
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			if at >= s.duration {
				break
			}
			all = append(all, m.newRequest(random, w, at))
			if random.IntN(4) == 0 {
				all = append(all, &request{
					workspace: w, region: random.IntN(3), plain: true, arrivedAt: at,
					prompt: plainCallTokens, answer: 1, id: random.Uint64(),
				})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b *request) int { return cmp.Compare(a.arrivedAt, b.arrivedAt) })
	return all
}

// meanWork returns the mean engine seconds of a request under ideal conditions.
func (m mix) meanWork() float64 {
	return m.prompt/prefillTokensPerSecond + m.answer*decodeSecondsPerToken
}

// newRequest returns a request of workspace w with random lengths, region and
// prefix.
func (m mix) newRequest(random *rand.Rand, w int, at time.Duration) *request {
	// Lengths are uniform from 0.5 to 1.5 times the mean. 60% of the prompts
	// start with one of four prefixes of the workspace.
	r := &request{workspace: w, region: random.IntN(3), arrivedAt: at, id: random.Uint64()}
	r.prompt = int(m.prompt * (0.5 + random.Float64()))
	r.answer = max(int(m.answer*(0.5+random.Float64())), 1)
	// Numbers of shared blocks are below 1<<16; all others are random.
	firstShared := uint64(w*4+random.IntN(4))<<8 + 1
	shared := random.Float64() < 0.6
	for block := range uint64(r.prompt / policy.BlockTokens) {
		if shared && block < sharedBlocks {
			r.prefix = append(r.prefix, firstShared+block)
		} else {
			r.prefix = append(r.prefix, random.Uint64())
		}
	}
	return r
}

// entryNode returns the entry node that the load balancer chose among the three
// of the region.
func (r *request) entryNode() int {
	return r.region*entryNodes/regions + int(r.id%(entryNodes/regions))
}
