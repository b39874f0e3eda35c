package experiment

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/guavagauge/guavagauge/policy"
)

const (
	firstTokenObjective = 870 * time.Millisecond
	paceObjective       = 40 * time.Millisecond // mean between tokens of a request
	phase               = 5 * time.Minute       // between swings
	deskTokens          = 240                   // a call of the plain service takes 20 ms
	sharedPieces        = 2                     // of a workspace's common prompts
)

type (
	deployment struct {
		name        string
		engines     int // per failure domain; each is a region
		betweenHops time.Duration
		clientHop   time.Duration
	}

	mix struct{ prompt, answer float64 } // means in tokens

	scenario struct {
		name    string
		length  time.Duration
		load    float64 // share of the fleet's ideal capacity
		mixes   []mix   // one after the other, every phase
		flood   int     // workspace; -1 for none
		reclaim time.Duration
	}

	request struct {
		workspace      int
		region         int
		desk           bool
		arrived        time.Duration
		prompt, answer int
		prefix         []uint64
		id             uint64

		left        int // prompt tokens to prefill
		cost        int64
		emitted     int
		moved       bool // prefilled on another engine
		attempts    int
		first, last time.Duration
		hop         time.Duration
		refused     bool
		lost        bool
	}
)

var (
	deployments = []deployment{
		{"Mwakyusa", 3, 30 * time.Millisecond, 3 * time.Millisecond},
		{"Mopani", 6, 30 * time.Millisecond, time.Millisecond},
	}
	longPrompts = mix{4000, 150}
	longAnswers = mix{600, 500}
	usual       = mix{1500, 250}
	scenarios   = []scenario{
		{"swing", 3 * phase, 0.75, []mix{longPrompts, longAnswers, longPrompts}, -1, 0},
		{"flood", 2 * phase, 0.6, []mix{usual}, 3, 0},
		{"reclaim", 2 * phase, 0.6, []mix{usual}, -1, 4 * time.Minute},
	}

	// A few large workspaces send most of the work. Quotas follow the shares
	// only roughly, as agreements do.
	shares = [8]float64{0.30, 0.25, 0.15, 0.10, 0.08, 0.05, 0.04, 0.03}
	quotas = [8]int{4, 3, 2, 1, 1, 1, 1, 1}
)

// generate returns the requests in the order of their arrival. It doesn't
// depend on any decision, so that all columns see the same work.
func generate(seed uint64, d deployment, s scenario) (all []*request) {
	random := rand.New(rand.NewPCG(seed, 1))
	for w := range shares {
		for at := time.Duration(0); ; {
			m := s.mixes[min(int(at/phase), len(s.mixes)-1)]
			rate := s.load * float64(3*d.engines) / m.work() * shares[w]
			if w == s.flood && at > 3*time.Minute && at < 8*time.Minute {
				rate *= 12
			}
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			if at >= s.length {
				break
			}
			all = append(all, m.request(random, w, at))
			if random.IntN(4) == 0 {
				all = append(all, &request{
					workspace: w, region: random.IntN(3), desk: true, arrived: at,
					prompt: deskTokens, answer: 1, id: random.Uint64(),
				})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b *request) int { return cmp.Compare(a.arrived, b.arrived) })
	return all
}

// work returns the mean engine seconds of a request under ideal conditions.
func (m mix) work() float64 {
	return m.prompt/prefillPerSecond + m.answer*decodeSeconds
}

func (m mix) request(random *rand.Rand, w int, at time.Duration) *request {
	// Sizes from half to 1.5 of the mean; more than half of the prompts start
	// with one of four texts of the workspace.
	r := &request{workspace: w, region: random.IntN(3), arrived: at, id: random.Uint64()}
	r.prompt = int(m.prompt * (0.5 + random.Float64()))
	r.answer = max(int(m.answer*(0.5+random.Float64())), 1)
	common := uint64(w*4+random.IntN(4))<<8 + 1
	shared := random.Float64() < 0.6
	for piece := range uint64(r.prompt / policy.BlockTokens) {
		if shared && piece < sharedPieces {
			r.prefix = append(r.prefix, common+piece)
		} else {
			r.prefix = append(r.prefix, random.Uint64())
		}
	}
	return r
}

// node is the entry node that the load balancer chose, of three in the region.
func (r *request) node() int { return r.region*entryNodes/regions + int(r.id%(entryNodes/regions)) }
